/** The leaving slice between instances. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Milliseconds } from '@wasabihead/coordination'
import { PeerRoutes, type PeerConnections } from '../peers/index.js'
import { LeavingService } from '../peers/gen/wasabihead/v1/leaving_pb.js'
import type { LeavingLoop } from './leavingLoop.js'

const CALL_TIMEOUT: Milliseconds = 1_000

/** Tells other instances. */
export class LeavingPeerClient {
  constructor (private readonly _connections: PeerConnections, private readonly _environment: string) {}

  /** Tells an instance; a word that is lost is told by another, or at the next refresh. */
  async tell (address: string, servers: readonly string[]): Promise<void> {
    await this._connections.call(LeavingService, address, async client => {
      await client.tellLeaving({ environment: this._environment, servers: [...servers] }, { timeoutMs: CALL_TIMEOUT })
    })
  }
}

/** Serves the words of other instances. */
export class LeavingPeerRoutes extends PeerRoutes {
  constructor (private readonly _environment: string, private readonly _loop: LeavingLoop) {
    super()
  }

  override register (router: ConnectRouter): void {
    router.service(LeavingService, {
      tellLeaving: request => {
        if (request.environment === this._environment) this._loop.hear(request.servers)
        return {}
      }
    })
  }
}
