/** Frees parts that no request can use any more in managed stores, which evict nothing by themselves. */
import { StaleSpaces, type Milliseconds, type StaleSpaceSettings } from '@wasabihead/coordination'
import { callAddress } from '../channels/index.js'
import type { GatewayState } from '../requests/index.js'

export interface StoreCollectorSettings extends StaleSpaceSettings {
  interval: Milliseconds
  callTimeout: Milliseconds
}

const MAXIMUM_PARTS_PER_CALL = 200

/** Runs on every instance, but frees parts only while its instance holds the rollout role. */
export class StoreCollector {
  private readonly _spaces: StaleSpaces
  private _timer: NodeJS.Timeout | undefined

  constructor (
    private readonly _state: GatewayState,
    private readonly _settings: StoreCollectorSettings,
    private readonly _isHolder: () => boolean
  ) {
    this._spaces = new StaleSpaces(_state.catalog, _settings)
  }

  /** Starts a collection at each interval, until stopped. */
  start (): void {
    this._timer = setInterval(() => { this._state.log.detach('store-collection', this._collect()) }, this._settings.interval)
  }

  /** Starts no further collection; a running one ends by itself. */
  stop (): void {
    clearInterval(this._timer)
  }

  private async _collect (): Promise<void> {
    const { storedParts, fronts, suspensionAwareNow } = this._state
    for (const address of storedParts.addresses) {
      await this._free(address, salt => this._spaces.hasReplacedWeights(salt, suspensionAwareNow()))
      const until = this._freeUntil
      if (until === undefined) continue
      const { peers } = fronts
      await this._free(address, salt => this._spaces.hasUnusedGroup(salt, peers, suspensionAwareNow()), until)
    }
  }

  private async _free (address: string, isStale: (salt: string) => boolean, until?: Milliseconds): Promise<void> {
    if (!this._isHolder()) return
    const { storedParts, log, replicaProtocol } = this._state
    // Many parts have the same salt.
    const verdicts = new Map<string, boolean>()
    const stale = storedParts.partsOf(address, salt => {
      const verdict = verdicts.get(salt) ?? isStale(salt)
      verdicts.set(salt, verdict)
      return verdict
    })
    if (stale === undefined || stale.parts.length === 0) return
    const parts = stale.parts.slice(0, MAXIMUM_PARTS_PER_CALL)
    const outcome = await callAddress(
      this._state, { id: address, address }, replicaProtocol.freeCall(parts, stale.epoch, until), this._settings.callTimeout
    )
    const result = outcome.isAnswered ? `status ${outcome.status}` : outcome.reason
    log.change('parts-freed', { address, parts: parts.length, salt: parts[0]?.[0], epoch: stale.epoch, result })
  }

  /** On the clock of the stores; undefined until a store has reported it. */
  private get _freeUntil (): Milliseconds | undefined {
    const { storedParts, now, suspensionAwareNow } = this._state
    return storedParts.storeClockAt(now() + this._spaces.freeUntil - suspensionAwareNow())
  }
}
