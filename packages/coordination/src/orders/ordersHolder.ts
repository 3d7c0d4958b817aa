/**
 * Brings every backend server to the state that the configuration specifies. A lease selects one instance as the holder of
 * this role, but safety does not depend on the lease. Orders are absolute states with rising fencing numbers: a server that
 * checks the number rejects orders of a former holder. The state of a server that ignores the number is read back, and the
 * order is repeated until the state matches.
 */
import type { Milliseconds } from '../common/index.js'
import type { EngineState } from '../platform/index.js'
import { fencingNumberOf, ORDERS_PER_EPOCH } from './fencingNumber.js'
import type { DesiredState, OrdersEffect, OrdersMessage } from './messages.js'

/** Interval at which the daemon sends `tick`. */
export const ORDERS_TICK_INTERVAL: Milliseconds = 200

/** Most replicas that load weights concurrently; with more, the weight store slows down. */
export const MAXIMUM_CONCURRENT_LOADS = 3

/**
 * How long a new holder sends no orders to servers that ignore fencing numbers. It covers the lease of a former holder and
 * the longest expected pause of its process.
 */
export const FORMER_HOLDER_WAIT: Milliseconds = 15_000

const READ_BACK_INTERVAL: Milliseconds = 30_000
const UNSETTLED_READ_INTERVAL: Milliseconds = 400
const CALL_TIMEOUT: Milliseconds = 5_000
const LOAD_TIMEOUT: Milliseconds = 10_000

interface Term {
  epoch: number
  acquiredAt: Milliseconds
  heldUntil: Milliseconds
}

interface Progress {
  desired: DesiredState
  /** `unread` until a read of the server in this term has been answered or has failed. */
  phase: 'unread' | 'differs' | 'loading' | 'settled' | 'unreadable'
  /** Until then the answer to a call in flight is awaited, and no further call to the server is started. */
  awaitedUntil: Milliseconds
  nextReadAt: Milliseconds
  /** When a load is considered lost, so that a server that has stopped does not occupy a load slot. */
  loadDeadline: Milliseconds
}

/** Progress of one backend server, for operators. */
export interface OrdersProgress {
  server: string
  phase: Progress['phase']
  weightVersion: string
}

/** Decides the orders to the backend servers of one environment, while this instance holds the role. */
export class OrdersHolder {
  private _term: Term | undefined
  private _lastEpoch = 0
  private _nextSequence = 1
  private _progress = new Map<string, Progress>()

  /** The epoch in which this instance holds the role; undefined while it does not. */
  get epoch (): number | undefined {
    return this._term?.epoch
  }

  get progress (): OrdersProgress[] {
    return [...this._progress.values()].map(({ desired, phase }) => (
      { server: desired.server, phase, weightVersion: desired.weightVersion }))
  }

  /** Processes one message and returns the effects for the daemon to carry out. */
  handle (message: OrdersMessage, now: Milliseconds): OrdersEffect[] {
    // A holder whose lease expired during a pause loses its term here, before it can issue an order.
    if (this._term !== undefined && message.kind !== 'role-renewed' && now >= this._term.heldUntil) this._term = undefined
    switch (message.kind) {
      case 'configured': return this._configure(message.desired, now)
      case 'role-acquired': return this._acquire(message.epoch, message.heldUntil, now)
      case 'role-renewed': return this._renew(message.heldUntil, now)
      case 'role-lost': return this._lose()
      case 'tick': return this._dueEffects(now)
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
      const progress = former.get(state.server) ?? createProgress(state, now)
      return [state.server, { ...progress, desired: state }]
    }))
    for (const progress of this._progress.values()) {
      if (progress.phase !== 'settled') continue
      progress.phase = 'differs'
      progress.nextReadAt = now
    }
    return this._dueEffects(now)
  }

  private _acquire (epoch: number, heldUntil: Milliseconds, now: Milliseconds): OrdersEffect[] {
    // A lease that expired and was acquired again by the same instance, with no other holder in between, keeps its epoch.
    // The sequence then continues, so that no fencing number is used twice.
    if (epoch !== this._lastEpoch) this._nextSequence = 1
    this._lastEpoch = epoch
    this._term = { epoch, acquiredAt: now, heldUntil }
    for (const [server, progress] of this._progress) this._progress.set(server, createProgress(progress.desired, now))
    return this._dueEffects(now)
  }

  /** A renewal that arrives after the lease expired does not restore the term: another instance may have held it since. */
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
    const agrees = matchesDesired(state, progress.desired)
    if (agrees && !state.loading) settle(progress, now)
    else if (state.loading) this._markLoading(progress, now)
    else markDiffering(progress, now)
    return this._dueEffects(now)
  }

  private _markLoading (progress: Progress, now: Milliseconds): void {
    if (progress.phase !== 'loading') progress.loadDeadline = now + LOAD_TIMEOUT
    progress.phase = 'loading'
    progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
  }

  private _onUnreadable (server: string, now: Milliseconds): OrdersEffect[] {
    const progress = this._progress.get(server)
    if (progress === undefined || this._term === undefined) return []
    progress.awaitedUntil = now
    progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
    // A server that was loading may still do so; it occupies its load slot until the load deadline.
    if (progress.phase !== 'loading' || now >= progress.loadDeadline) progress.phase = 'unreadable'
    return this._dueEffects(now)
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

  private _dueEffects (now: Milliseconds): OrdersEffect[] {
    if (this._term === undefined) return []
    const effects: OrdersEffect[] = []
    for (const progress of this._progress.values()) {
      if (now < progress.awaitedUntil) continue
      const effect = this._effectFor(progress, this._term, now)
      if (effect === undefined) continue
      progress.awaitedUntil = now + CALL_TIMEOUT
      effects.push(effect)
    }
    return effects
  }

  private _effectFor (progress: Progress, term: Term, now: Milliseconds): OrdersEffect | undefined {
    if (progress.phase === 'differs' && this._mayOrder(progress, term, now)) return this._createOrder(progress, term, now)
    if (now < progress.nextReadAt) return undefined
    progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
    return { kind: 'read-state', server: progress.desired.server }
  }

  private _mayOrder (progress: Progress, term: Term, now: Milliseconds): boolean {
    if (this._nextSequence >= ORDERS_PER_EPOCH) return false
    if (!progress.desired.checksFencing && now < term.acquiredAt + FORMER_HOLDER_WAIT) return false
    return this._hasLoadSlot(progress.desired.model, now)
  }

  /** Loads that a former holder started count too, so nothing is loaded until every server was read or failed to answer. */
  private _hasLoadSlot (model: string, now: Milliseconds): boolean {
    const all = [...this._progress.values()]
    if (all.some(progress => progress.phase === 'unread')) return false
    const loading = all.filter(progress => progress.phase === 'loading' && now < progress.loadDeadline)
    if (loading.length >= MAXIMUM_CONCURRENT_LOADS) return false
    const ofModel = all.filter(progress => progress.desired.model === model)
    const loadingOfModel = loading.filter(progress => progress.desired.model === model)
    // At least half of a model's replicas continue serving while the others load (a single replica loads, too).
    return loadingOfModel.length < Math.max(1, Math.floor(ofModel.length / 2))
  }

  private _createOrder (progress: Progress, term: Term, now: Milliseconds): OrdersEffect {
    const { server, model, weightVersion, adapters, role } = progress.desired
    progress.phase = 'loading'
    progress.loadDeadline = now + LOAD_TIMEOUT
    progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
    const fencingNumber = fencingNumberOf(term.epoch, this._nextSequence++)
    return { kind: 'order', server, order: { fencingNumber, model, weightVersion, adapters, role } }
  }
}

function createProgress (desired: DesiredState, now: Milliseconds): Progress {
  return { desired, phase: 'unread', awaitedUntil: now, nextReadAt: now, loadDeadline: now }
}

function settle (progress: Progress, now: Milliseconds): void {
  progress.phase = 'settled'
  progress.nextReadAt = now + READ_BACK_INTERVAL
}

function markDiffering (progress: Progress, now: Milliseconds): void {
  progress.phase = 'differs'
  progress.nextReadAt = now + UNSETTLED_READ_INTERVAL
}

function matchesDesired (state: EngineState, desired: DesiredState): boolean {
  return state.model === desired.model &&
    state.weightVersion === desired.weightVersion &&
    state.role === desired.role &&
    state.adapters.length === desired.adapters.length &&
    desired.adapters.every(adapter => state.adapters.includes(adapter))
}
