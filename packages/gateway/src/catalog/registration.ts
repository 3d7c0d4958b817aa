/** Registers this instance in the store under a lease, so that peers find it or know that it exists. */
import { ABSENT_REVISION, type KeyValueService, type Milliseconds } from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

/** Settings of the registration. */
export interface RegistrationSettings {
  key: string
  timeToLive: Milliseconds
  renewEvery: Milliseconds
  /** After a registration that failed. */
  retryAfter: Milliseconds
}

/** Keeps the registration. */
export class Registration {
  private _leaseId: string | undefined
  private _timer: NodeJS.Timeout | undefined
  private _registeredAs: number | undefined
  private _isStopped = false

  constructor (
    private readonly _state: GatewayState,
    private readonly _store: KeyValueService,
    private readonly _settings: RegistrationSettings
  ) {}

  /** Starts, and goes on until stopped. */
  start (): void {
    this._state.log.detach('registration', this._round())
  }

  /** Withdraws the registration. */
  async withdraw (): Promise<void> {
    this._isStopped = true
    clearTimeout(this._timer)
    const read = await this._store.read(this._settings.key)
    if (read.isOk && read.value !== undefined) await this._store.remove(this._settings.key, read.value.revision)
  }

  private async _round (): Promise<void> {
    const isCurrent = this._registeredAs === this._state.fronts.self.incarnation
    if (this._leaseId === undefined || !isCurrent) await this._register()
    else await this._renew(this._leaseId)
    const delay = this._leaseId === undefined ? this._settings.retryAfter : this._settings.renewEvery
    if (!this._isStopped) this._timer = setTimeout(() => { this.start() }, delay)
  }

  private async _renew (leaseId: string): Promise<void> {
    const renewed = await this._store.keepLeaseAlive(leaseId)
    if (renewed.isErr && renewed.error.kind === 'platform-refused') {
      this._leaseId = undefined
      this._state.log.change('registration-lapsed', { detail: renewed.error.message })
    }
  }

  private async _register (): Promise<void> {
    const { key, timeToLive } = this._settings
    const lease = await this._store.grantLease(timeToLive)
    if (lease.isErr) return
    const { self } = this._state.fronts
    let expectedRevision = ABSENT_REVISION
    const known = await this._store.read(key)
    if (known.isOk && known.value !== undefined) expectedRevision = known.value.revision
    const written = await this._store.compareAndSwap({ key, expectedRevision, value: JSON.stringify(self), leaseId: lease.value })
    if (written.isErr || written.value.kind === 'lost') return
    this._leaseId = lease.value
    this._registeredAs = self.incarnation
    this._state.log.change('registered', { key, revision: written.value.revision })
  }
}
