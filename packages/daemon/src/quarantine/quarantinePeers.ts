/** Quarantine calls between instances. */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect'
import type { Member, Milliseconds, QuarantineEntry } from '@wasabihead/coordination'
import { QuarantineService } from '../peers/gen/wasabihead/v1/quarantine_pb.js'
import { PeerRoutes, type PeerConnections } from '../peers/index.js'
import { entryFromWire, entryToWire } from './entryConversions.js'
import type { QuarantineController } from './quarantineController.js'

const CALL_TIMEOUT: Milliseconds = 500

/** Exchanges entries with other instances. */
export class QuarantinePeerClient {
  constructor (private readonly _connections: PeerConnections, private readonly _environment: string) {}

  /** Sends entries to one instance. A failure is ignored, since each entry is sent several times. */
  async sendEntries (target: Member, entries: readonly QuarantineEntry[]): Promise<void> {
    await this._connections.call(QuarantineService, target.peerAddress, async client => {
      await client.spread({ environment: this._environment, entries: entries.map(entryToWire) }, { timeoutMs: CALL_TIMEOUT })
    })
  }

  /** Fetches all entries of one instance; undefined if it does not answer. */
  async fetch (target: Member): Promise<QuarantineEntry[] | undefined> {
    const answer = await this._connections.call(QuarantineService, target.peerAddress, async client => {
      const { entries } = await client.fetchEntries({ environment: this._environment }, { timeoutMs: CALL_TIMEOUT })
      return entries.flatMap(entryFromWire)
    })
    return answer.isOk ? answer.value : undefined
  }
}

/** Serves the quarantine calls of other instances. Calls from another environment are refused. */
export class QuarantinePeerRoutes extends PeerRoutes {
  constructor (private readonly _environment: string, private readonly _controller: QuarantineController) {
    super()
  }

  override register (router: ConnectRouter): void {
    router.service(QuarantineService, {
      spread: ({ environment, entries }) => {
        this._checkEnvironment(environment)
        this._controller.receive(entries.flatMap(entryFromWire))
        return {}
      },
      fetchEntries: ({ environment }) => {
        this._checkEnvironment(environment)
        return { entries: this._controller.allEntries.map(entryToWire) }
      }
    })
  }

  private _checkEnvironment (environment: string): void {
    if (environment === this._environment) return
    throw new ConnectError(`This instance belongs to "${this._environment}", not "${environment}"`, Code.FailedPrecondition)
  }
}
