/** Client and server of the calls between instances about backend servers that are leaving. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Result } from 'true-myth'
import type { LeavingWord, Milliseconds } from '@wasabihead/coordination'
import { PeerRoutes, type PeerConnections, type PeerUnreachableError } from '../peers/index.js'
import { LeavingService } from '../peers/gen/wasabihead/v1/leaving_pb.js'
import type { LeavingLoop } from './leavingLoop.js'

const CALL_TIMEOUT: Milliseconds = 1_000

/** Sends reports to other instances and requests theirs. */
export class LeavingPeerClient {
  constructor (private readonly _connections: PeerConnections, private readonly _environment: string) {}

  /** Sends names of leaving servers to a peer. A lost report is not repeated: it arrives from another instance or by `list`. */
  async sendLeaving (address: string, servers: readonly string[]): Promise<void> {
    await this._connections.call(LeavingService, address, async client => {
      await client.tellLeaving({ environment: this._environment, servers: [...servers] }, { timeoutMs: CALL_TIMEOUT })
    })
  }

  /** Requests the reports that a peer retains, with their ages in milliseconds. */
  async requestReports (address: string): Promise<Result<LeavingWord[], PeerUnreachableError>> {
    return await this._connections.call(LeavingService, address, async client => {
      const { words } = await client.listLeaving({ environment: this._environment }, { timeoutMs: CALL_TIMEOUT })
      return words.map(({ server, ageMilliseconds }) => ({ server, age: ageMilliseconds }))
    })
  }
}

/** Receives reports from other instances and lists the retained ones; calls of another environment have no effect. */
export class LeavingPeerRoutes extends PeerRoutes {
  constructor (private readonly _environment: string, private readonly _loop: LeavingLoop) {
    super()
  }

  override register (router: ConnectRouter): void {
    router.service(LeavingService, {
      tellLeaving: request => {
        if (request.environment === this._environment) this._loop.receive(request.servers)
        return {}
      },
      listLeaving: request => {
        const words = request.environment === this._environment ? this._loop.reports : []
        return { words: words.map(({ server, age }) => ({ server, ageMilliseconds: Math.ceil(age) })) }
      }
    })
  }
}
