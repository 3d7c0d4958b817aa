/** Pools of HTTP connections, one for each origin, that can be dropped when a connection of the pool is found silent. */
import http from 'node:http'

const MAXIMUM_FREE_SOCKETS = 16

/** Keeps one pool for each origin. */
export class HttpConnections {
  private readonly _agents = new Map<string, http.Agent>()

  /** The pool of the URL's origin. */
  agentFor (url: string): http.Agent {
    const { origin } = new URL(url)
    const known = this._agents.get(origin)
    if (known !== undefined) return known
    const agent = new http.Agent({ keepAlive: true, maxFreeSockets: MAXIMUM_FREE_SOCKETS })
    this._agents.set(origin, agent)
    return agent
  }

  /** A pool for one call, whose connection is new and closed after it. */
  single (): http.Agent {
    return new http.Agent({ keepAlive: false })
  }

  /** Drops the pool of the URL's origin. Connections in use are closed as their calls end, and serve no other call. */
  drop (url: string): void {
    const { origin } = new URL(url)
    const agent = this._agents.get(origin)
    if (agent === undefined) return
    this._agents.delete(origin)
    agent.maxFreeSockets = 0
    for (const socket of Object.values(agent.freeSockets).flat()) socket?.destroy()
  }
}

/** The pools of this process; connections belong to the process, whichever adapter uses them. */
export const httpConnections = new HttpConnections()
