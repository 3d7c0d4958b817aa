/**
 * Elects at most one holder of a role by compare-and-swap on the role's key. The key is never deleted. It holds the epoch,
 * which increases with each new holder and serves as the fencing number of every action in the role. The holder renews the
 * lease by writing the key. A candidate takes over once it has observed the key unchanged for the time to live on its own clock,
 * so the clocks of two hosts are never compared.
 *
 * A service that comes back from an older copy may have lost records of later holders. Each era of the service therefore has
 * epochs of its own, above those of the eras before, and a record of an earlier era does not show who held the role last.
 */
import * as z from 'zod'
import { NO_ERA, type CompareAndSwapOutcome } from '../platform/index.js'
import { instanceIdentitySchema, isSameInstance, type InstanceIdentity, type Milliseconds } from '../common/index.js'
import { HeldLease } from './heldLease.js'

/** Share of the time to live between two reads while another instance holds the role. */
const READ_INTERVAL_SHARE = 1 / 3
/** Share of the time to live after which a failed call is retried. */
const RETRY_DELAY_SHARE = 1 / 10
const EPOCHS_PER_ERA = 2 ** 32
/** Epochs of later eras would not be exact as numbers. */
const HIGHEST_ERA = 2 ** 20
const HIGHEST_EPOCH = (HIGHEST_ERA + 1) * EPOCHS_PER_ERA

/** The value of a role's key. */
export const roleRecordSchema = z.strictObject({
  holder: instanceIdentitySchema,
  /** Fencing number, unique to one term of a holder; later holders have higher numbers. */
  epoch: z.number().int().positive(),
  /** Increases with each renewal, and identifies the write if its answer is lost. */
  renewal: z.number().int().nonnegative(),
  /** Whether the holder has released the role, so that a candidate can take it without waiting. */
  isReleased: z.boolean()
})

/** The value of a role's key. */
export type RoleRecord = z.infer<typeof roleRecordSchema>

/** Input of a candidate. */
export type LeaseMessage =
  | { kind: 'tick' }
  /** Whether this instance should hold the role if it can, for example by its rank among the members. */
  | { kind: 'want', isWanted: boolean }
  /** `era` is that of the service in which the key was read; absent where it states none. */
  | { kind: 'role-read', record: RoleRecord | undefined, keyRevision: number, era?: number }
  | { kind: 'role-written', outcome: CompareAndSwapOutcome }
  /** A read or a write gave no result; an ambiguous write may still take effect. */
  | { kind: 'call-failed' }
  /** Another instance knows of this epoch, of which the service may have lost the record. */
  | { kind: 'epoch-seen', epoch: number }

/** A call to make, at most one at a time. Its result is passed in as `role-read`, `role-written` or `call-failed`. */
export type LeaseEffect =
  | { kind: 'read-role' }
  | { kind: 'write-role', record: RoleRecord, expectedRevision: number }

interface RoleView {
  record: RoleRecord | undefined
  keyRevision: number
}

/** Decides for one candidate for one role when to acquire, renew and release its lease. */
export class LeaseRenewer {
  private readonly _lease: HeldLease
  private _isWanted = false
  private _isCalling = false
  private _nextCallAt: Milliseconds = 0
  private _nextReadAt: Milliseconds = 0
  private _view: RoleView | undefined
  /** Since when this instance has observed the key unchanged, on the takeover clock. */
  private _unchangedSince: Milliseconds = 0
  private _formerHeldUntil: Milliseconds = -Infinity
  private _sentWrite: { record: RoleRecord, at: Milliseconds } | undefined
  /** The era of the service; undefined before its first answer. */
  private _era: number | undefined
  /** When this instance noticed last that the service may have lost records, on the takeover clock. */
  private _lossNoticedAt: Milliseconds = -Infinity
  private _highestEpoch = 0
  /** Whether the record that was observed last is certainly that of the last holder. */
  private _hasLatestRecord = false

  /**
   * @param _self this instance in its current incarnation
   * @param timeToLive how long a holder keeps the role without renewing it
   */
  constructor (private readonly _self: InstanceIdentity, readonly timeToLive: Milliseconds) {
    this._lease = new HeldLease(timeToLive)
  }

  /** The fencing number while the role is safely held, else undefined. */
  epoch (now: Milliseconds): number | undefined {
    return this._lease.isHeld(now) ? this._view?.record?.epoch : undefined
  }

  /** The highest fencing number that is known to have been given to a holder; 0 where none is. */
  get highestEpoch (): number {
    return this._highestEpoch
  }

  /** Until when the role is safely held, on the local monotonic clock; -Infinity while it is not held. */
  get heldUntil (): Milliseconds {
    return this._lease.heldUntil
  }

  /** Until when the previous holder may have acted, on the takeover clock; -Infinity where there was none. */
  get formerHeldUntil (): Milliseconds {
    return this._formerHeldUntil
  }

  /**
   * Handles one message and returns the call to make, if any.
   * @param now time for this instance's own lease; includes time during which the machine was suspended
   * @param takeoverNow time for waiting until another holder's lease has expired; must never run ahead of real time
   */
  handle (message: LeaseMessage, now: Milliseconds, takeoverNow = now): LeaseEffect[] {
    switch (message.kind) {
      case 'tick': break
      case 'want':
        this._isWanted = message.isWanted
        break
      case 'role-read':
        this._isCalling = false
        this._observeEra(message.era ?? NO_ERA, takeoverNow)
        this._observe({ record: message.record, keyRevision: message.keyRevision }, takeoverNow)
        break
      case 'role-written':
        this._isCalling = false
        this._finishWrite(message.outcome, takeoverNow)
        break
      case 'call-failed':
        // The same write may be sent again: both expect the same revision of the key, so at most one of them succeeds.
        this._isCalling = false
        this._nextCallAt = now + this.timeToLive * RETRY_DELAY_SHARE
        break
      case 'epoch-seen':
        this._observeEpoch(message.epoch, takeoverNow)
    }
    return this._isCalling || now < this._nextCallAt ? [] : this._nextCall(now, takeoverNow)
  }

  private _nextCall (now: Milliseconds, takeoverNow: Milliseconds): LeaseEffect[] {
    const view = this._view
    const isOwn = view?.record !== undefined && !view.record.isReleased && isSameInstance(view.record.holder, this._self)
    const isHolder = isOwn && this._isLatest(view.record)
    if (!this._isWanted && !isHolder) return []
    if (view === undefined) return this._read(now)
    if (isHolder) return this._renewOrRelease(view, view.record as RoleRecord, now)
    if (takeoverNow >= this._freeAt(view)) {
      this._formerHeldUntil = this._mayHaveActedUntil(view)
      return this._write(view, { holder: this._self, epoch: this._nextEpoch(view), renewal: 0, isReleased: false }, now)
    }
    return now >= this._nextReadAt ? this._read(now) : []
  }

  /** When a candidate may take the role, on the takeover clock, if the key does not change before. */
  private _freeAt ({ record }: RoleView): Milliseconds {
    const expiresAt = this._unchangedSince + this.timeToLive
    // The key may also have been replaced by a write that an earlier holder sent in an earlier era.
    if (!this._isLatest(record)) return Math.max(expiresAt, this._lossNoticedAt + this.timeToLive)
    return record === undefined || record.isReleased ? -Infinity : expiresAt
  }

  /** Every renewal was sent before it was observed here, and a holder stops acting before it writes its release. */
  private _mayHaveActedUntil ({ record }: RoleView): Milliseconds {
    const safeDuration = HeldLease.safeDuration(this.timeToLive)
    // A holder whose record was lost cannot have renewed its lease since then.
    if (!this._isLatest(record)) return Math.max(this._unchangedSince, this._lossNoticedAt) + safeDuration
    if (record === undefined) return -Infinity
    return record.isReleased ? this._unchangedSince : this._unchangedSince + safeDuration
  }

  /**
   * Within an era, only the revision of the key is sure to rise: a write that an earlier holder sent in an earlier era may have
   * replaced the record of a holder of this era.
   */
  private _nextEpoch ({ record, keyRevision }: RoleView): number {
    const known = Math.max(record?.epoch ?? 0, this._highestEpoch)
    if (this._epochsBefore === 0) return known + 1
    return Math.max(known, this._epochsBefore + Math.min(keyRevision, EPOCHS_PER_ERA - 1)) + 1
  }

  /** All epochs of earlier eras are at most this number. */
  private get _epochsBefore (): number {
    return Math.min(this._era ?? NO_ERA, HIGHEST_ERA) * EPOCHS_PER_ERA
  }

  /** Whether the record is certainly that of the last holder: no later one was lost with an earlier era. */
  private _isLatest (record: RoleRecord | undefined): boolean {
    const epoch = record?.epoch ?? 0
    return epoch >= this._highestEpoch && (epoch > this._epochsBefore || this._epochsBefore === 0)
  }

  /** Keeps the epoch: a write that succeeds on the last observed revision proves that there was no other holder in between. */
  private _renewOrRelease (view: RoleView, own: RoleRecord, now: Milliseconds): LeaseEffect[] {
    const renewed = { ...own, renewal: own.renewal + 1 }
    if (!this._isWanted) {
      this._lease.invalidate()
      return this._write(view, { ...renewed, isReleased: true }, now)
    }
    return this._lease.isRenewalDue(now) ? this._write(view, renewed, now) : []
  }

  private _read (now: Milliseconds): LeaseEffect[] {
    this._isCalling = true
    this._nextReadAt = now + this.timeToLive * READ_INTERVAL_SHARE
    return [{ kind: 'read-role' }]
  }

  private _write (view: RoleView, record: RoleRecord, now: Milliseconds): LeaseEffect[] {
    this._isCalling = true
    this._sentWrite = { record, at: now }
    return [{ kind: 'write-role', record, expectedRevision: view.keyRevision }]
  }

  private _observe (view: RoleView, takeoverNow: Milliseconds): void {
    if (view.keyRevision !== this._view?.keyRevision) this._unchangedSince = takeoverNow
    this._view = view
    const isLatest = this._isLatest(view.record)
    if (this._hasLatestRecord && !isLatest) this._lossNoticedAt = takeoverNow
    this._hasLatestRecord = isLatest
    this._observeEpoch(view.record?.epoch ?? 0, takeoverNow)
  }

  private _observeEra (era: number, takeoverNow: Milliseconds): boolean {
    if (era === this._era) return false
    this._era = era
    this._lossNoticedAt = takeoverNow
    this._lease.invalidate()
    this._view = undefined
    return true
  }

  private _observeEpoch (epoch: number, takeoverNow: Milliseconds): void {
    if (epoch <= this._highestEpoch || epoch > HIGHEST_EPOCH) return
    this._highestEpoch = epoch
    if (epoch <= (this._view?.record?.epoch ?? 0)) return
    // There is or was a later holder, whose record this instance has not read yet, or the service has lost.
    this._lease.invalidate()
    this._lossNoticedAt = takeoverNow
  }

  private _finishWrite (outcome: CompareAndSwapOutcome, takeoverNow: Milliseconds): void {
    const sent = this._sentWrite
    // A write that was applied in another era may have replaced a later record than the one that was read.
    const isOtherEra = this._observeEra(outcome.era ?? NO_ERA, takeoverNow)
    if (outcome.kind === 'lost' || sent === undefined || isOtherEra) {
      this._lease.invalidate()
      this._view = undefined
      return
    }
    this._observe({ record: sent.record, keyRevision: outcome.revision }, takeoverNow)
    if (!sent.record.isReleased) this._lease.confirm(sent.at)
  }
}
