/**
 * Brings every backend server to the state that the configuration asks for. One instance holds the role, chosen by lease;
 * safety does not rest on the lease. Orders are absolute states under rising fencing numbers: a server that checks the
 * number refuses a former holder, and a server that ignores it is read back and ordered again until it agrees.
 */
import type { Milliseconds } from '../common/index.js'
import type { EngineState } from '../platform/index.js'
import { fencingNumberOf, ORDERS_PER_EPOCH } from './fencingNumber.js'
import type { DesiredState, OrdersEffect, OrdersMessage } from './messages.js'

/** How often the driver sends a tick. */
export const ORDERS_TICK_INTERVAL: Milliseconds = 200

/** Most replicas that load weights at once; the weight store slows down beyond it. */
export const MAXIMUM_CONCURRENT_LOADS = 3

/** How long a new holder leaves servers that ignore fencing alone: a former holder's lease and its largest pause. */
export const FORMER_HOLDER_WAIT: Milliseconds = 15_000

const READ_BACK_INTERVAL: Milliseconds = 30_000
const UNSETTLED_READ_INTERVAL: Milliseconds = 400
const CALL_WAIT: Milliseconds = 5_000
const LOAD_WAIT: Milliseconds = 10_000

interface Term {
  epoch: number
  acquiredAt: Milliseconds
  heldUntil: Milliseconds
}

interface Progress {
  desired: DesiredState
  /** `unread` until the server was read in this term, whether or not it answered. */
  phase: 'unread' | 'differs' | 'loading' | 'settled' | 'unreadable'
  /** An effect is out and its answer is awaited until then. */
  awaitedUntil: Milliseconds
  nextReadAt: Milliseconds
  /** When the load is given up as lost, so that a dead server does not keep a load slot. */
  loadEndsAt: Milliseconds
}

/** A read-out for operators. */
export interface OrdersProgress {
  server: string
  phase: Progress['phase']
  weightVersion: string
}

/** Decides the orders of one environment. */
export class OrdersHolder {
  private _term: Term | undefined
  private _lastEpoch = 0
  private _nextSequence = 1
  private _progress = new Map<string, Progress>()

  /** The epoch held, or undefined. */
  get epoch (): number | undefined {
    return this._term?.epoch
  }

  /** How far each server is. */
  get progress (): OrdersProgress[] {
    return [...this._progress.values()].map(({ desired, phase }) => (
      { server: desired.server, phase, weightVersion: desired.weightVersion }))
  }

  /** Handles one message. */
  handle (message: OrdersMessage, now: Milliseconds): OrdersEffect[] {
    // A holder that was paused past its lease finds out here, before it can order anything.
    if (this._term !== undefined && message.kind !== 'role-renewed' && now >= this._term.heldUntil) this._term = undefined
    switch (message.kind) {
      case 'configured': return this._configure(message.desired, now)
      case 'role-acquired': return this._acquire(message.epoch, message.heldUntil, now)
      case 'role-renewed': return this._renew(message.heldUntil, now)
      case 'role-lost': return this._lose()
      case 'tick': return this._act(now)
      case 'state-read': return this._onState(message.server, message.state, now)
      case 'order-answered': return this._onState(message.server, message.state, now)
      case 'state-unreadable': return this._onUnreadable(message.server, now)
      case 'order-refused': return this._onRefused(message.server, now)
      case 'order-ambiguous': return this._onAmbiguous(message.server, now)
    }
  }

  private _configure (desired: readonly DesiredState[], now: Milliseconds): OrdersEffect[] {
    const former = this._progress
    this._progress = new Map(desired.map(state => {
      const progress = former.get(state.server) ?? fresh(state, now)
      return [state.server, { ...progress, desired: state }]
    }))
    for (const progress of this._progress.values()) {
      if (progress.phase !== 'settled') continue
      progress.phase = 'differs'
      progress.nextReadAt = now
    }
    return this._act(now)
  }

  private _acquire (epoch: number, heldUntil: Milliseconds, now: Milliseconds): OrdersEffect[] {
    // A lease that lapsed and was won back without another holder keeps its epoch; its numbers must not come again.
    if (epoch !== this._lastEpoch) this._nextSequence = 1
    this._lastEpoch = epoch
    this._term = { epoch, acquiredAt: now, heldUntil }
    for (const [server, progress] of this._progress) this._progress.set(server, fresh(progress.desired, now))
    return this._act(now)
  }

  /** A renewal that comes after the lease lapsed does not bring the term back: another may have held it since. */
  private _renew (heldUntil: Milliseconds, now: Milliseconds): OrdersEffect[] {
    if (this._term !== undefined && now >= this._term.heldUntil) this._term = undefined
    if (this._term !== undefined) this._term.heldUntil = heldUntil
    return []
  }

  private _lose (): OrdersEffect[] {
    this._term = undefined
    return []
  }

  private _onState (server: string, state: EngineState, now: Milliseconds): OrdersEffect[] {
    const progress = this._progress.get(server)
    if (progress === undefined || this._term === undefined) return []
    progress.awaitedUntil = now
    const agrees = isAsDesired(state, progress.desired)
    if (agrees && !state.loading) settle(progress, now)
    else if (state.loading) this._noteLoading(progress, now)
    else markDiffering(progress, now)
    return this._act(now)
  }

  private _noteLoading (progress: Progress, now: Milliseconds): void {
    if (progress.phase !== 'loading') progress.loadEndsAt = now + LOAD_WAIT
    progress.phase = 'loading'
    progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
  }

  private _onUnreadable (server: string, now: Milliseconds): OrdersEffect[] {
    const progress = this._progress.get(server)
    if (progress === undefined || this._term === undefined) return []
    progress.awaitedUntil = now
    progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
    // A server that was loading may still be: it keeps its slot until the load is given up.
    if (progress.phase !== 'loading' || now >= progress.loadEndsAt) progress.phase = 'unreadable'
    return this._act(now)
  }

  private _onRefused (server: string, now: Milliseconds): OrdersEffect[] {
    const progress = this._progress.get(server)
    if (progress === undefined || this._term === undefined) return []
    progress.awaitedUntil = now
    progress.phase = 'unreadable'
    progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
    return []
  }

  private _onAmbiguous (server: string, now: Milliseconds): OrdersEffect[] {
    const progress = this._progress.get(server)
    if (progress === undefined || this._term === undefined) return []
    progress.awaitedUntil = now
    progress.nextReadAt = now
    return []
  }

  private _act (now: Milliseconds): OrdersEffect[] {
    if (this._term === undefined) return []
    const effects: OrdersEffect[] = []
    for (const progress of this._progress.values()) {
      if (now < progress.awaitedUntil) continue
      const effect = this._effectFor(progress, this._term, now)
      if (effect === undefined) continue
      progress.awaitedUntil = now + CALL_WAIT
      effects.push(effect)
    }
    return effects
  }

  private _effectFor (progress: Progress, term: Term, now: Milliseconds): OrdersEffect | undefined {
    if (progress.phase === 'differs' && this._mayOrder(progress, term, now)) return this._order(progress, term, now)
    if (now < progress.nextReadAt) return undefined
    progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
    return { kind: 'read-state', server: progress.desired.server }
  }

  private _mayOrder (progress: Progress, term: Term, now: Milliseconds): boolean {
    if (this._nextSequence >= ORDERS_PER_EPOCH) return false
    if (!progress.desired.checksFencing && now < term.acquiredAt + FORMER_HOLDER_WAIT) return false
    return this._hasLoadSlot(progress.desired.model, now)
  }

  /** A former holder's loads count too, so that nothing is loaded until every server was read or did not answer. */
  private _hasLoadSlot (model: string, now: Milliseconds): boolean {
    const all = [...this._progress.values()]
    if (all.some(progress => progress.phase === 'unread')) return false
    const loading = all.filter(progress => progress.phase === 'loading' && now < progress.loadEndsAt)
    if (loading.length >= MAXIMUM_CONCURRENT_LOADS) return false
    const ofModel = all.filter(progress => progress.desired.model === model)
    const loadingOfModel = loading.filter(progress => progress.desired.model === model)
    // Half of a model's replicas go on serving while the others load.
    return loadingOfModel.length < Math.max(1, Math.floor(ofModel.length / 2))
  }

  private _order (progress: Progress, term: Term, now: Milliseconds): OrdersEffect {
    const { server, model, weightVersion, adapters, role } = progress.desired
    progress.phase = 'loading'
    progress.loadEndsAt = now + LOAD_WAIT
    progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
    const fencingNumber = fencingNumberOf(term.epoch, this._nextSequence++)
    return { kind: 'order', server, order: { fencingNumber, model, weightVersion, adapters, role } }
  }
}

function fresh (desired: DesiredState, now: Milliseconds): Progress {
  return { desired, phase: 'unread', awaitedUntil: now, nextReadAt: now, loadEndsAt: now }
}

function settle (progress: Progress, now: Milliseconds): void {
  progress.phase = 'settled'
  progress.nextReadAt = now + READ_BACK_INTERVAL
}

function markDiffering (progress: Progress, now: Milliseconds): void {
  progress.phase = 'differs'
  progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
}

function isAsDesired (state: EngineState, desired: DesiredState): boolean {
  return state.model === desired.model &&
    state.weightVersion === desired.weightVersion &&
    state.role === desired.role &&
    state.adapters.length === desired.adapters.length &&
    desired.adapters.every(adapter => state.adapters.includes(adapter))
}
