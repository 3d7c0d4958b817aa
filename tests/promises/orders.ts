/**
 * Proof: orders of a former holder never undo those of its successor, and in the end every server runs what the
 * configuration asks, with at most three concurrent loads in one term. Holders freeze past the end of their lease and
 * thaw, orders arrive late, answers are lost, servers restart empty, and some servers ignore fencing numbers.
 */
import {
  FORMER_HOLDER_WAIT, MAXIMUM_CONCURRENT_LOADS, ORDERS_PER_EPOCH, ORDERS_TICK_INTERVAL, OrdersHolder, SeededRandom,
  type DesiredState, type EngineOrder, type EngineState, type OrdersEffect, type OrdersMessage
} from '@wasabihead/coordination'
import { VirtualTime } from '@wasabihead/experiments'
import { Proof, type ProofRun, type Violation } from './proof.js'

const HOLDERS = 3
const SERVERS = 9
const LEASE_LENGTH = 10_000
const RENEWAL_INTERVAL = 3_000
const FAULTS_END = 120_000
const RUN_END = FAULTS_END + 4 * FORMER_HOLDER_WAIT
const LOAD_TIME = 400
const MAXIMUM_DELAY = 3_000

/** One event at a server. */
export type OrdersEvent =
  | { kind: 'took', at: number, server: string, checksFencing: boolean, fencingNumber: number }
  | { kind: 'load-began' | 'load-ended', at: number, server: string, epoch: number }
  | { kind: 'final', at: number, server: string, runs: string, wanted: string }

/** Checks a history against the promise alone, not how it is kept. */
export function checkOrders (history: readonly OrdersEvent[]): Violation[] {
  return [...findStaleOrders(history), ...findTooManyLoads(history), ...findWrongFinalStates(history)]
}

function findStaleOrders (history: readonly OrdersEvent[]): Violation[] {
  const highest = new Map<string, number>()
  return history.flatMap((event): Violation[] => {
    if (event.kind !== 'took' || !event.checksFencing) return []
    const former = highest.get(event.server) ?? 0
    highest.set(event.server, Math.max(former, event.fencingNumber))
    if (event.fencingNumber > former) return []
    return [{ problem: 'a server that checks numbers took an old order', evidence: [JSON.stringify(event)] }]
  })
}

function findTooManyLoads (history: readonly OrdersEvent[]): Violation[] {
  const loading = new Map<number, Set<string>>()
  return history.flatMap((event): Violation[] => {
    if (event.kind !== 'load-began' && event.kind !== 'load-ended') return []
    const ofTerm = loading.get(event.epoch) ?? new Set()
    loading.set(event.epoch, ofTerm)
    if (event.kind === 'load-ended') ofTerm.delete(event.server)
    else ofTerm.add(event.server)
    if (ofTerm.size <= MAXIMUM_CONCURRENT_LOADS) return []
    return [{ problem: `${ofTerm.size} loads of one term at a time`, evidence: [JSON.stringify(event)] }]
  })
}

function findWrongFinalStates (history: readonly OrdersEvent[]): Violation[] {
  return history.flatMap((event): Violation[] => event.kind === 'final' && event.runs !== event.wanted
    ? [{ problem: 'a server does not run what the configuration asks', evidence: [JSON.stringify(event)] }]
    : [])
}

/** Creates the holder under test; the spec passes broken variants. */
export type HolderFactory = () => Pick<OrdersHolder, 'handle' | 'epoch'>

class SimulatedServer {
  state: EngineState
  private _generation = 0

  constructor (
    readonly name: string, readonly checksFencing: boolean,
    private readonly _time: VirtualTime, private readonly _history: OrdersEvent[]
  ) {
    this.state = emptyState(1)
  }

  /** Applies an order and returns the new state, or undefined if the order is refused for its fencing number. */
  apply (order: EngineOrder): EngineState | undefined {
    if (this.checksFencing && order.fencingNumber < this.state.fencingNumber) return undefined
    const { fencingNumber } = order
    this._history.push({ kind: 'took', at: this._time.now, server: this.name, checksFencing: this.checksFencing, fencingNumber })
    const loads = order.weightVersion !== this.state.weightVersion
    this.state = { ...this.state, ...order, loading: this.state.loading || loads }
    if (loads) this._load(Math.floor(fencingNumber / ORDERS_PER_EPOCH))
    return this.state
  }

  /** Restarts empty under a new incarnation; the fencing number is lost too. */
  restart (): void {
    this._generation += 1
    this.state = emptyState(this.state.incarnation + 1)
    for (const epoch of new Set(this._loadingEpochs)) this._end(epoch)
  }

  private _loadingEpochs: number[] = []

  private _load (epoch: number): void {
    const generation = this._generation
    this._loadingEpochs.push(epoch)
    this._history.push({ kind: 'load-began', at: this._time.now, server: this.name, epoch })
    this._time.after(LOAD_TIME, () => {
      if (generation !== this._generation) return
      this.state = { ...this.state, loading: false }
      this._end(epoch)
    })
  }

  private _end (epoch: number): void {
    this._loadingEpochs = this._loadingEpochs.filter(other => other !== epoch)
    this._history.push({ kind: 'load-ended', at: this._time.now, server: this.name, epoch })
  }
}

function emptyState (incarnation: number): EngineState {
  return { incarnation, fencingNumber: 0, model: 'policy', weightVersion: 'none', adapters: [], role: 'serve', loading: false }
}

class OrdersSimulation {
  readonly history: OrdersEvent[] = []
  readonly counts = { orders: 0, terms: 0, freezes: 0, restarts: 0, lostAnswers: 0 }
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _servers: SimulatedServer[]
  private readonly _holders: Array<ReturnType<HolderFactory>>
  private readonly _frozen = new Set<number>()
  private readonly _queued = new Map<number, OrdersMessage[]>()
  private _holderIndex = -1
  private _epoch = 0
  private _leaseEnd = 0
  private _version = 1

  constructor (seed: number, makeHolder: HolderFactory) {
    this._random = new SeededRandom(seed)
    this._servers = Array.from({ length: SERVERS }, (_, index) =>
      new SimulatedServer(`engine-${index}`, index % 3 !== 0, this._time, this.history))
    this._holders = Array.from({ length: HOLDERS }, makeHolder)
  }

  run (): void {
    this._configure()
    this._every(ORDERS_TICK_INTERVAL, () => { this._holders.forEach((_, index) => { this._deliver(index, { kind: 'tick' }) }) })
    this._every(RENEWAL_INTERVAL, () => { this._renewOrAcquireRole() })
    this._every(7_000, () => { this._injectFault() })
    this._time.runUntil(RUN_END)
    for (const { name, state } of this._servers) {
      this.history.push({ kind: 'final', at: this._time.now, server: name, runs: state.weightVersion, wanted: `v${this._version}` })
    }
  }

  private _every (interval: number, perform: () => void): void {
    this._time.after(interval, () => {
      perform()
      this._every(interval, perform)
    })
  }

  private _configure (): void {
    const desired = this._servers.map(({ name, checksFencing }): DesiredState => (
      { server: name, model: 'policy', weightVersion: `v${this._version}`, adapters: [], role: 'serve', checksFencing }))
    this._holders.forEach((_, index) => { this._deliver(index, { kind: 'configured', desired }) })
  }

  private _renewOrAcquireRole (): void {
    const heldUntil = this._time.now + LEASE_LENGTH
    if (this._holderIndex >= 0 && !this._frozen.has(this._holderIndex) && this._time.now < this._leaseEnd) {
      this._leaseEnd = heldUntil
      return this._deliver(this._holderIndex, { kind: 'role-renewed', heldUntil })
    }
    if (this._time.now < this._leaseEnd) return
    const candidates = this._holders.map((_, index) => index).filter(index => !this._frozen.has(index))
    if (candidates.length === 0) return
    this._holderIndex = this._random.pick(candidates)
    this._epoch += 1
    this.counts.terms += 1
    this._leaseEnd = heldUntil
    this._deliver(this._holderIndex, { kind: 'role-acquired', epoch: this._epoch, heldUntil })
  }

  private _injectFault (): void {
    if (this._time.now > FAULTS_END) {
      for (const index of [...this._frozen]) this._thaw(index)
      return
    }
    const choice = this._random.integer(4)
    if (choice === 0) this._freezeHolder()
    else if (choice === 1) this._restartServer()
    else if (choice === 2) this._changeVersion()
    else for (const index of [...this._frozen]) this._thaw(index)
  }

  private _freezeHolder (): void {
    if (this._holderIndex < 0 || this._frozen.size >= HOLDERS - 1) return
    this.counts.freezes += 1
    this._frozen.add(this._holderIndex)
  }

  private _thaw (index: number): void {
    this._frozen.delete(index)
    const queued = this._queued.get(index) ?? []
    this._queued.delete(index)
    for (const message of queued) this._deliver(index, message)
  }

  private _restartServer (): void {
    this.counts.restarts += 1
    this._random.pick(this._servers).restart()
  }

  private _changeVersion (): void {
    this._version += 1
    this._configure()
  }

  private _deliver (index: number, message: OrdersMessage): void {
    if (this._frozen.has(index)) {
      if (message.kind !== 'tick') this._queued.set(index, [...this._queued.get(index) ?? [], message])
      return
    }
    for (const effect of this._holders[index]?.handle(message, this._time.now) ?? []) this._send(index, effect)
  }

  private _send (index: number, effect: OrdersEffect): void {
    const server = this._servers.find(({ name }) => name === effect.server) as SimulatedServer
    this._time.after(this._delay(), () => {
      const answer = this._performAt(server, effect)
      const isLost = this._time.now < FAULTS_END && this._random.next() < 0.1
      if (isLost) this.counts.lostAnswers += 1
      const message: OrdersMessage = isLost ? this._lostAnswer(effect) : answer
      this._time.after(isLost ? MAXIMUM_DELAY : this._delay(), () => { this._deliver(index, message) })
    })
  }

  private _performAt (server: SimulatedServer, effect: OrdersEffect): OrdersMessage {
    if (effect.kind === 'read-state') return { kind: 'state-read', server: server.name, state: server.state }
    this.counts.orders += 1
    const state = server.apply(effect.order)
    return state === undefined
      ? { kind: 'order-refused', server: server.name }
      : { kind: 'order-answered', server: server.name, state }
  }

  private _lostAnswer (effect: OrdersEffect): OrdersMessage {
    return effect.kind === 'order'
      ? { kind: 'order-ambiguous', server: effect.server }
      : { kind: 'state-unreadable', server: effect.server }
  }

  private _delay (): number {
    const isSlow = this._time.now < FAULTS_END && this._random.next() < 0.05
    return isSlow ? this._random.next() * MAXIMUM_DELAY : this._random.next() * 10
  }
}

/** Proves the promise about orders with frozen holders, late orders, lost answers and restarts. */
export class OrdersProof extends Proof {
  override readonly name = 'orders'
  override readonly promise = 'Orders of a former holder never undo a successor\'s, and every server ends as configured'
  override readonly failures = [
    'holder frozen past its lease', 'orders that land late', 'lost answers', 'servers that restart empty',
    'servers that ignore fencing numbers', 'changes during all of these'
  ]

  constructor (private readonly _makeHolder: HolderFactory = () => new OrdersHolder()) {
    super()
  }

  override run (seed: number): ProofRun {
    const simulation = new OrdersSimulation(seed, this._makeHolder)
    simulation.run()
    return { counts: simulation.counts, violations: checkOrders(simulation.history) }
  }
}
