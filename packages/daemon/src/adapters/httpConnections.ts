/** Pools of HTTP connections, one for each origin. A pool is dropped when one of its connections stops answering. */
import http from 'node:http'
import type net from 'node:net'
import { ResetAwareSocket } from '@wasabihead/http'

const MAXIMUM_FREE_SOCKETS = 16

/** A pool whose connections fail where they are reset, so that an answer without a length that is cut does not look complete. */
class ResetAwareAgent extends http.Agent {
  override createConnection (options: net.NetConnectOpts): net.Socket {
    return ResetAwareSocket.open(options)
  }
}

/** Creates and drops the pools. A dropped pool serves no further call. */
export class HttpConnections {
  private readonly _agents = new Map<string, http.Agent>()

  /** Returns the pool of the URL's origin, creating it if needed. */
  agentFor (url: string): http.Agent {
    const { origin } = new URL(url)
    const existing = this._agents.get(origin)
    if (existing !== undefined) return existing
    const agent = new ResetAwareAgent({ keepAlive: true, maxFreeSockets: MAXIMUM_FREE_SOCKETS })
    this._agents.set(origin, agent)
    return agent
  }

  /** Creates a pool for one call: its connection is new and is closed after the call. */
  createSingleUseAgent (): http.Agent {
    return new ResetAwareAgent({ keepAlive: false })
  }

  /** Drops the pool of the URL's origin. Idle connections close now; those in use close when their calls end. */
  drop (url: string): void {
    const { origin } = new URL(url)
    const agent = this._agents.get(origin)
    if (agent === undefined) return
    this._agents.delete(origin)
    agent.maxFreeSockets = 0
    for (const socket of Object.values(agent.freeSockets).flat()) socket?.destroy()
  }
}

/** The pools of this process, shared by all adapters. */
export const httpConnections = new HttpConnections()
