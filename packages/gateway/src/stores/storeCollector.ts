/** Frees the parts of replaced weight versions in managed stores, which drop nothing by themselves. */
import { spaceOf, type Milliseconds } from '@wasabihead/coordination'
import { callAddress } from '../channels/index.js'
import type { GatewayState } from '../requests/index.js'

/** Settings of the collector. */
export interface StoreCollectorSettings {
  interval: Milliseconds
  /** Parts of a version are freed only this long after a newer one was surely named, when no fetch of them can be under way. */
  freeAfter: Milliseconds
  callTimeout: Milliseconds
}

/** Most parts freed by one call. */
const MAXIMUM_PARTS = 200

/** Runs on every instance, and frees only while its instance holds the rollout role. */
export class StoreCollector {
  private _timer: NodeJS.Timeout | undefined

  constructor (
    private readonly _state: GatewayState,
    private readonly _settings: StoreCollectorSettings,
    private readonly _isHolder: () => boolean
  ) {}

  /** Starts. */
  start (): void {
    this._timer = setInterval(() => { this._state.log.detach('store-collection', this._round()) }, this._settings.interval)
  }

  /** Stops. */
  stop (): void {
    clearInterval(this._timer)
  }

  private async _round (): Promise<void> {
    const { storedParts, log, replicaProtocol, channels } = this._state
    for (const address of storedParts.addresses) {
      if (!this._isHolder()) return
      const stale = storedParts.partsOf(address, salt => this._isStale(salt))
      if (stale === undefined || stale.parts.length === 0) continue
      const parts = stale.parts.slice(0, MAXIMUM_PARTS)
      const outcome = await callAddress(
        channels, { id: address, address }, replicaProtocol.freeCall(parts, stale.epoch), this._settings.callTimeout
      )
      const result = outcome.isAnswered ? `status ${outcome.status}` : outcome.reason
      log.change('parts-freed', { address, parts: parts.length, epoch: stale.epoch, result })
    }
  }

  /** Whether a newer version was named long ago and every replica of the model has it. */
  private _isStale (salt: string): boolean {
    const { catalog, beliefNow } = this._state
    const space = spaceOf(salt)
    if (space === undefined) return false
    const required = catalog.versionCertainlyAnnouncedBy(space.model, beliefNow() - this._settings.freeAfter)
    if (required === undefined || space.weightVersion >= required) return false
    return catalog.replicas.every(({ weightVersions }) => (weightVersions[space.model] ?? required) >= required)
  }
}
