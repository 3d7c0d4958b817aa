/**
 * Elects at most one holder of a role by compare-and-swap on the role's key. The key is never deleted. It holds the epoch,
 * which increases with each new holder and serves as the fencing number of every action in the role. The holder renews the
 * lease by writing the key. A candidate takes over once it has observed the key unchanged for the time to live on its own clock,
 * so the clocks of two hosts are never compared.
 */
import * as z from 'zod'
import type { CompareAndSwapOutcome } from '../platform/index.js'
import { instanceIdentitySchema, isSameInstance, type InstanceIdentity, type Milliseconds } from '../common/index.js'
import { HeldLease } from './heldLease.js'

/** Share of the time to live between two reads while another instance holds the role. */
const READ_INTERVAL_SHARE = 1 / 3
/** Share of the time to live after which a failed call is retried. */
const RETRY_DELAY_SHARE = 1 / 10

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
  | { kind: 'role-read', record: RoleRecord | undefined, keyRevision: number }
  | { kind: 'role-written', outcome: CompareAndSwapOutcome }
  /** A read or a write gave no result; an ambiguous write may still take effect. */
  | { kind: 'call-failed' }

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
    }
    return this._isCalling || now < this._nextCallAt ? [] : this._nextCall(now, takeoverNow)
  }

  private _nextCall (now: Milliseconds, takeoverNow: Milliseconds): LeaseEffect[] {
    const view = this._view
    const isOwn = view?.record !== undefined && !view.record.isReleased && isSameInstance(view.record.holder, this._self)
    if (!this._isWanted && !isOwn) return []
    if (view === undefined) return this._read(now)
    if (isOwn) return this._renewOrRelease(view, view.record as RoleRecord, now)
    const isFree = view.record === undefined || view.record.isReleased || takeoverNow - this._unchangedSince >= this.timeToLive
    if (isFree) {
      this._formerHeldUntil = this._mayHaveActedUntil(view)
      const epoch = (view.record?.epoch ?? 0) + 1
      return this._write(view, { holder: this._self, epoch, renewal: 0, isReleased: false }, now)
    }
    return now >= this._nextReadAt ? this._read(now) : []
  }

  /** Every renewal was sent before it was observed here, and a holder stops acting before it writes its release. */
  private _mayHaveActedUntil ({ record }: RoleView): Milliseconds {
    if (record === undefined) return -Infinity
    return record.isReleased ? this._unchangedSince : this._unchangedSince + HeldLease.safeDuration(this.timeToLive)
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
  }

  private _finishWrite (outcome: CompareAndSwapOutcome, takeoverNow: Milliseconds): void {
    const sent = this._sentWrite
    if (outcome.kind === 'lost' || sent === undefined) {
      this._lease.invalidate()
      this._view = undefined
      return
    }
    this._observe({ record: sent.record, keyRevision: outcome.revision }, takeoverNow)
    if (!sent.record.isReleased) this._lease.confirm(sent.at)
  }
}
