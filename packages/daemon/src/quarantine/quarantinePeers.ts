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

  /** All that one instance knows; undefined where it gives no answer. */
  async fetch (target: Member): Promise<QuarantineEntry[] | undefined> {
    const answer = await this._connections.call(QuarantineService, target.peerAddress, async client => {
      const { entries } = await client.fetchEntries({ environment: this._environment }, { timeoutMs: SPREAD_TIMEOUT })
      return entries.flatMap(entryFromWire)
    })
    return answer.isOk ? answer.value : undefined
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
        this._check(environment)
        this._keeper.hear(entries.flatMap(entryFromWire))
        return {}
      },
      fetchEntries: ({ environment }) => {
        this._check(environment)
        return { entries: this._keeper.allEntries.map(entryToWire) }
      }
    })
  }

  private _check (environment: string): void {
    if (environment === this._environment) return
    throw new ConnectError(`This instance belongs to "${this._environment}", not "${environment}"`, Code.FailedPrecondition)
  }
}
