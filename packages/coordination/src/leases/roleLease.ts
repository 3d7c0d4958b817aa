/**
 * One holder for a role, chosen by compare-and-swap on the role's key. The key is never deleted and holds the epoch, which
 * rises with each new holder: it is the fencing number of everything that is done in the role. The holder renews by
 * writing the key; a candidate takes over when it has seen the key unchanged for the time to live on its own clock, so no
 * two hosts' clocks are compared.
 */
import * as z from 'zod'
import type { CompareAndSwapOutcome } from '../platform/index.js'
import { instanceIdentitySchema, isSameInstance, type InstanceIdentity, type Milliseconds } from '../common/index.js'
import { HeldLease } from './heldLease.js'

/** Parts of the time to live: between two looks at another's role, and after a call that failed. */
const READ_SHARE = 1 / 3
const RETRY_SHARE = 1 / 10

/** The value of a role's key. */
export const roleRecordSchema = z.strictObject({
  holder: instanceIdentitySchema,
  /** Fencing number: no two holders ever have the same, and a later holder has a higher one. */
  epoch: z.number().int().positive(),
  /** Rises with each renewal, and names the write where its answer was lost. */
  renewal: z.number().int().nonnegative(),
  /** Set when the holder has given the role back, so that nobody has to wait. */
  isReleased: z.boolean()
})

/** The value of a role's key. */
export type RoleRecord = z.infer<typeof roleRecordSchema>

/** A message to the keeper. */
export type LeaseMessage =
  | { kind: 'tick' }
  /** Whether this instance should hold the role if it can, as by its rank. */
  | { kind: 'want', isWanted: boolean }
  | { kind: 'role-read', record: RoleRecord | undefined, keyRevision: number }
  | { kind: 'role-written', outcome: CompareAndSwapOutcome }
  /** A read or a write gave no result; an ambiguous write may still land. */
  | { kind: 'call-failed' }

/** What the daemon has to do: at most one call at a time, answered by `role-read`, `role-written` or `call-failed`. */
export type LeaseEffect =
  | { kind: 'read-role' }
  | { kind: 'write-role', record: RoleRecord, expectedRevision: number }

interface RoleView {
  record: RoleRecord | undefined
  keyRevision: number
}

/** The decisions of one candidate for one role. */
export class LeaseKeeper {
  private readonly _lease: HeldLease
  private _isWanted = false
  private _isCalling = false
  private _nextCallAt: Milliseconds = 0
  private _nextReadAt: Milliseconds = 0
  private _view: RoleView | undefined
  /** Since when this instance has seen the key unchanged, on the clock for waiting. */
  private _unchangedSince: Milliseconds = 0
  private _formerHeldUntil: Milliseconds = -Infinity
  private _sent: { record: RoleRecord, at: Milliseconds } | undefined

  /**
   * @param _self the run of this instance
   * @param timeToLive how long a silent holder keeps the role
   */
  constructor (private readonly _self: InstanceIdentity, readonly timeToLive: Milliseconds) {
    this._lease = new HeldLease(timeToLive)
  }

  /** The fencing number while the role is surely held, else undefined. */
  epoch (now: Milliseconds): number | undefined {
    return this._lease.isHeld(now) ? this._view?.record?.epoch : undefined
  }

  /** Until when the role is surely held, on the local monotonic clock. */
  get heldUntil (): Milliseconds {
    return this._lease.heldUntil
  }

  /** Until when the holder before this one may have acted, on the clock for waiting; -Infinity where there was none. */
  get formerHeldUntil (): Milliseconds {
    return this._formerHeldUntil
  }

  /**
   * Takes one message; gives the call to make, if any.
   * @param now counts whatever may have ended the own lease, as suspensions of the machine
   * @param waitingNow never runs ahead: another holder's time has passed only once it surely has
   */
  handle (message: LeaseMessage, now: Milliseconds, waitingNow = now): LeaseEffect[] {
    switch (message.kind) {
      case 'tick': break
      case 'want':
        this._isWanted = message.isWanted
        break
      case 'role-read':
        this._isCalling = false
        this._see({ record: message.record, keyRevision: message.keyRevision }, waitingNow)
        break
      case 'role-written':
        this._isCalling = false
        this._finishWrite(message.outcome, waitingNow)
        break
      case 'call-failed':
        // The same write may be sent again: it is bound to the same revision of the key, so only one of the two can win.
        this._isCalling = false
        this._nextCallAt = now + this.timeToLive * RETRY_SHARE
    }
    return this._isCalling || now < this._nextCallAt ? [] : this._next(now, waitingNow)
  }

  private _next (now: Milliseconds, waitingNow: Milliseconds): LeaseEffect[] {
    const view = this._view
    const isOwn = view?.record !== undefined && !view.record.isReleased && isSameInstance(view.record.holder, this._self)
    if (!this._isWanted && !isOwn) return []
    if (view === undefined) return this._read(now)
    if (isOwn) return this._keep(view, view.record as RoleRecord, now)
    const isFree = view.record === undefined || view.record.isReleased || waitingNow - this._unchangedSince >= this.timeToLive
    if (isFree) {
      this._formerHeldUntil = this._actedUntil(view)
      const epoch = (view.record?.epoch ?? 0) + 1
      return this._write(view, { holder: this._self, epoch, renewal: 0, isReleased: false }, now)
    }
    return now >= this._nextReadAt ? this._read(now) : []
  }

  /** A renewal was sent before it was seen; a holder that gives the role back stops before it writes so. */
  private _actedUntil ({ record }: RoleView): Milliseconds {
    if (record === undefined) return -Infinity
    return record.isReleased ? this._unchangedSince : this._unchangedSince + HeldLease.surelyHeldFor(this.timeToLive)
  }

  /** Winning against the revision that was last seen shows that nobody else held the role meanwhile: the epoch stays. */
  private _keep (view: RoleView, own: RoleRecord, now: Milliseconds): LeaseEffect[] {
    const renewed = { ...own, renewal: own.renewal + 1 }
    if (!this._isWanted) {
      this._lease.lose()
      return this._write(view, { ...renewed, isReleased: true }, now)
    }
    return this._lease.isRenewalDue(now) ? this._write(view, renewed, now) : []
  }

  private _read (now: Milliseconds): LeaseEffect[] {
    this._isCalling = true
    this._nextReadAt = now + this.timeToLive * READ_SHARE
    return [{ kind: 'read-role' }]
  }

  private _write (view: RoleView, record: RoleRecord, now: Milliseconds): LeaseEffect[] {
    this._isCalling = true
    this._sent = { record, at: now }
    return [{ kind: 'write-role', record, expectedRevision: view.keyRevision }]
  }

  private _see (view: RoleView, waitingNow: Milliseconds): void {
    if (view.keyRevision !== this._view?.keyRevision) this._unchangedSince = waitingNow
    this._view = view
  }

  private _finishWrite (outcome: CompareAndSwapOutcome, waitingNow: Milliseconds): void {
    const sent = this._sent
    if (outcome.kind === 'lost' || sent === undefined) {
      this._lease.lose()
      this._view = undefined
      return
    }
    this._see({ record: sent.record, keyRevision: outcome.revision }, waitingNow)
    if (!sent.record.isReleased) this._lease.confirm(sent.at)
  }
}
