/** Registers this instance in the store under a lease, so that peers find it or know that it exists. */
import {
  ABSENT_REVISION, isLeaseOutdated, registrationLease, type KeyValueService, type Milliseconds, type RegistrationLease
} from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

/** Settings of a registration. */
export interface RegistrationSettings {
  key: string
  timeToLive: Milliseconds
  renewEvery: Milliseconds
  /** Whether the lease lasts longer in a large fleet. */
  growsWithFleet?: boolean
  /** Delay after an attempt to register that failed, and after the lease has ended. */
  retryAfter: Milliseconds
}

/** Writes this instance's record under a lease, renews the lease and registers again after it has ended. */
export class Registration {
  private _leaseId: string | undefined
  private _lease: RegistrationLease
  private _timer: NodeJS.Timeout | undefined
  private _registeredIncarnation: number | undefined
  private _isCalling = false
  /** How often the store came back from an older copy. */
  private _returns = 0
  private _isStopped = false

  constructor (
    private readonly _state: GatewayState,
    private readonly _store: KeyValueService,
    private readonly _settings: RegistrationSettings
  ) {
    this._lease = _settings
  }

  /** Registers or renews at once, and then repeatedly until `withdraw` is called. */
  start (): void {
    this._state.log.detach('registration', this._registerOrRenew())
  }

  /** The store has lost the lease and the record, or may have: registers again after a delay. */
  registerAgain (delay: Milliseconds): void {
    this._leaseId = undefined
    this._returns += 1
    clearTimeout(this._timer)
    if (!this._isStopped && !this._isCalling) this._timer = setTimeout(() => { this.start() }, delay)
  }

  /** Stops the renewal and removes the record. If that fails, the record expires with its lease. */
  async withdraw (): Promise<void> {
    this._isStopped = true
    clearTimeout(this._timer)
    const read = await this._store.read(this._settings.key)
    if (read.isOk && read.value !== undefined) await this._store.remove(this._settings.key, read.value.revision)
  }

  private async _registerOrRenew (): Promise<void> {
    const isCurrent = this._registeredIncarnation === this._state.fronts.self.incarnation &&
      !isLeaseOutdated(this._lease, this._wantedLease)
    this._isCalling = true
    try {
      if (this._leaseId === undefined || !isCurrent) await this._register()
      else await this._renew(this._leaseId)
    } finally {
      this._isCalling = false
    }
    const delay = this._leaseId === undefined ? this._settings.retryAfter : this._lease.renewEvery
    if (!this._isStopped) this._timer = setTimeout(() => { this.start() }, delay)
  }

  private get _wantedLease (): RegistrationLease {
    const { fronts } = this._state
    return this._settings.growsWithFleet === true ? registrationLease(this._settings, fronts.knownSize) : this._settings
  }

  private async _renew (leaseId: string): Promise<void> {
    const renewed = await this._store.keepLeaseAlive(leaseId)
    if (renewed.isErr && renewed.error.kind === 'platform-refused') {
      this._leaseId = undefined
      this._state.log.change('registration-lapsed', { detail: renewed.error.message })
    }
  }

  private async _register (): Promise<void> {
    const { key } = this._settings
    const returns = this._returns
    const wanted = this._wantedLease
    const lease = await this._store.grantLease(wanted.timeToLive)
    if (lease.isErr) return
    const { self } = this._state.fronts
    let expectedRevision = ABSENT_REVISION
    const existing = await this._store.read(key)
    if (existing.isOk && existing.value !== undefined) expectedRevision = existing.value.revision
    const written = await this._store.compareAndSwap({ key, expectedRevision, value: JSON.stringify(self), leaseId: lease.value })
    if (written.isErr || written.value.kind === 'lost' || returns !== this._returns) return
    this._leaseId = lease.value
    this._lease = wanted
    this._registeredIncarnation = self.incarnation
    this._state.log.change('registered', { key, revision: written.value.revision })
  }
}
