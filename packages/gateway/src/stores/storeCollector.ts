/** Frees the parts of replaced weight versions in managed stores, which evict nothing by themselves. */
import { spaceOf, type Milliseconds } from '@wasabihead/coordination'
import { callAddress } from '../channels/index.js'
import type { GatewayState } from '../requests/index.js'

export interface StoreCollectorSettings {
  interval: Milliseconds
  /** How long after the latest possible announcement of a newer version parts are freed; no fetch is in flight by then. */
  freeAfter: Milliseconds
  callTimeout: Milliseconds
}

const MAXIMUM_PARTS_PER_CALL = 200

/** Runs on every instance, but frees parts only while its instance holds the rollout role. */
export class StoreCollector {
  private _timer: NodeJS.Timeout | undefined

  constructor (
    private readonly _state: GatewayState,
    private readonly _settings: StoreCollectorSettings,
    private readonly _isHolder: () => boolean
  ) {}

  /** Starts a collection at each interval, until stopped. */
  start (): void {
    this._timer = setInterval(() => { this._state.log.detach('store-collection', this._collect()) }, this._settings.interval)
  }

  /** Starts no further collection; a running one ends by itself. */
  stop (): void {
    clearInterval(this._timer)
  }

  private async _collect (): Promise<void> {
    const { storedParts, log, replicaProtocol } = this._state
    for (const address of storedParts.addresses) {
      if (!this._isHolder()) return
      const stale = storedParts.partsOf(address, salt => this._isStale(salt))
      if (stale === undefined || stale.parts.length === 0) continue
      const parts = stale.parts.slice(0, MAXIMUM_PARTS_PER_CALL)
      const outcome = await callAddress(
        this._state, { id: address, address }, replicaProtocol.freeCall(parts, stale.epoch), this._settings.callTimeout
      )
      const result = outcome.isAnswered ? `status ${outcome.status}` : outcome.reason
      log.change('parts-freed', { address, parts: parts.length, epoch: stale.epoch, result })
    }
  }

  /** Whether a newer version was announced long enough ago and every replica of the model has loaded it. */
  private _isStale (salt: string): boolean {
    const { catalog, suspensionAwareNow } = this._state
    const space = spaceOf(salt)
    if (space === undefined) return false
    const required = catalog.versionCertainlyAnnouncedBy(space.model, suspensionAwareNow() - this._settings.freeAfter)
    if (required === undefined || space.weightVersion >= required) return false
    return catalog.replicas.every(({ weightVersions }) => (weightVersions[space.model] ?? required) >= required)
  }
}
