/** The quarantine slice between instances. */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect'
import type { Member, Milliseconds, QuarantineEntry } from '@wasabihead/coordination'
import { QuarantineService } from '../peers/gen/wasabihead/v1/quarantine_pb.js'
import { PeerRoutes, type PeerConnections } from '../peers/index.js'
import { entryFromWire, entryToWire } from './entryConversions.js'
import type { QuarantineKeeper } from './quarantineKeeper.js'

const SPREAD_TIMEOUT: Milliseconds = 500

/** Tells entries to other instances. */
export class QuarantinePeerClient {
  constructor (private readonly _connections: PeerConnections, private readonly _environment: string) {}

  /** Tells entries to one instance. A lost message is made good by further ones. */
  async spread (target: Member, entries: readonly QuarantineEntry[]): Promise<void> {
    await this._connections.call(QuarantineService, target.peerAddress, async client => {
      await client.spread({ environment: this._environment, entries: entries.map(entryToWire) }, { timeoutMs: SPREAD_TIMEOUT })
    })
  }
}

/** Hears entries from other instances. Those of another environment are refused. */
export class QuarantinePeerRoutes extends PeerRoutes {
  constructor (private readonly _environment: string, private readonly _keeper: QuarantineKeeper) {
    super()
  }

  override register (router: ConnectRouter): void {
    router.service(QuarantineService, {
      spread: ({ environment, entries }) => {
        if (environment !== this._environment) {
          throw new ConnectError(`This instance belongs to "${this._environment}", not "${environment}"`, Code.FailedPrecondition)
        }
        this._keeper.hear(entries.flatMap(entryFromWire))
        return {}
      }
    })
  }
}
