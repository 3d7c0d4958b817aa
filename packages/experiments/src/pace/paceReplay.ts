/** Replays what a fleet sends a replica that starts during traffic, on the decisions alone: no network, no clock. */
import {
  intervalsForRound, SeededRandom, SharedServerPace, type Milliseconds, type PacedSend, type Replica
} from '@wasabihead/coordination'

const STEP: Milliseconds = 5
const HEARTBEAT_INTERVAL: Milliseconds = 250
const TICK_INTERVAL: Milliseconds = 500
const REQUESTS_PER_INSTANCE = 10.6
const REQUESTS_PER_REPLICA = 120
const SLOTS = 48
const SERVICE_TIME: Milliseconds = 200
const REFUSAL_TIME: Milliseconds = 5
const LENGTH: Milliseconds = 30_000
const STARTS_AT: Milliseconds = 3_000
/** A new registration reaches the instances within this time. */
const REGISTRATION_LAG: Milliseconds = 800
/** While cold, a replica crashes above this many requests in a second, and refuses those beyond the smaller number. */
const COLD_CRASH = 20
const COLD_ACCEPTED = 10
const COLD_TIME: Milliseconds = 3_000
const DOWN_TIME: Milliseconds = 2_000
const SECOND: Milliseconds = 1_000
const RAMP: Milliseconds = 10_000
const OBJECTIVE: Milliseconds = 1_000
/** Costs of the selection of prompts. */
const SLOT_WAIT: Milliseconds = 400
const JITTER_PER_INSTANCE: Milliseconds = 3
const INSTANCES_WITHOUT_JITTER = 6

/** How an instance limits a replica that has started. */
export abstract class StartPolicy {
  abstract begin (replica: Replica, now: Milliseconds): void
  abstract maySend (replica: Replica, names: readonly string[], now: Milliseconds): boolean
  abstract onSent (replica: Replica, now: Milliseconds): PacedSend | undefined
  abstract onEnd (
    replica: Replica, send: PacedSend | undefined, sentAt: Milliseconds, isRefused: boolean, now: Milliseconds
  ): void

  tick (_now: Milliseconds): void {}
}

/** No limit, as before. */
export class NoPace extends StartPolicy {
  override begin (): void {}
  override maySend (): boolean { return true }
  override onSent (): undefined {}
  override onEnd (): void {}
}

/** Admits a share of the requests that rises with time. */
export class TimedStart extends StartPolicy {
  private readonly _begunAt = new Map<number, Milliseconds>()

  constructor (private readonly _random: SeededRandom) { super() }
  override begin ({ startedAt }: Replica, now: Milliseconds): void { this._begunAt.set(startedAt, now) }
  override maySend ({ id, startedAt }: Replica, _names: readonly string[], now: Milliseconds): boolean {
    const begunAt = id === STARTED ? this._begunAt.get(startedAt) : undefined
    return begunAt === undefined || this._random.next() < (now - begunAt) / RAMP
  }

  override onSent (): undefined {}
  override onEnd (): void {}
}

/** Each instance limits its own requests in flight: one more after as many answers, half after a refusal. */
export class OwnWindow extends StartPolicy {
  private _window = Infinity
  private _inFlight = 0

  override begin (): void {
    this._window = 1
    this._inFlight = 0
  }

  override maySend ({ id }: Replica): boolean { return id !== STARTED || this._inFlight < Math.floor(this._window) }
  override onSent ({ id }: Replica): undefined { if (id === STARTED) this._inFlight += 1 }
  override onEnd ({ id }: Replica, _send: undefined, _sentAt: Milliseconds, isRefused: boolean): void {
    if (id !== STARTED) return
    this._inFlight = Math.max(0, this._inFlight - 1)
    this._window = isRefused ? Math.max(1, this._window / 2) : this._window + 1 / this._window
  }
}

/** The pace as it is built. */
export class SharedPace extends StartPolicy {
  readonly pace: SharedServerPace

  constructor (name: string) {
    super()
    this.pace = new SharedServerPace(name, { heartbeatInterval: HEARTBEAT_INTERVAL })
  }

  override begin (replica: Replica, now: Milliseconds): void { this.pace.begin(replica, 'started', now) }
  override maySend (replica: Replica, names: readonly string[], now: Milliseconds): boolean {
    return this.pace.maySend(replica, names, now)
  }

  override onSent (replica: Replica, now: Milliseconds): PacedSend | undefined { return this.pace.onSent(replica, now) }
  override onEnd (
    replica: Replica, send: PacedSend | undefined, sentAt: Milliseconds, isRefused: boolean, now: Milliseconds
  ): void {
    const time = { elapsed: now - sentAt, expected: undefined, objective: OBJECTIVE }
    if (!isRefused) this.pace.onFirstByte(replica, send, time, now)
    this.pace.onEnd(replica, send, isRefused ? 'refused' : 'answered', sentAt, now)
  }

  override tick (now: Milliseconds): void { this.pace.tick(now) }
}

const STARTED = 'started'

interface Instance {
  name: string
  policy: StartPolicy
  /** Requests that this instance has at each replica, and those of the others as its last heartbeats told. */
  own: number[]
  others: number[]
  /** Start of the run that this instance knows of; -Infinity for none. */
  known: number
}

/** Figures of one replay. */
export interface PaceFigures {
  /** From the start of the replica until a second in which it got nine tenths of its share. */
  timeToShare: Milliseconds | undefined
  /** Most requests in a second at the replica while it was cold; it crashes at 21. */
  mostWhileCold: number
  crashes: number
  failures: number
  requests: number
}

/** One fleet, and one replica that starts while the others serve. */
export class PaceReplay {
  private readonly _random: SeededRandom
  private readonly _names: string[]
  private readonly _fleet: Instance[]
  private readonly _replicas: Replica[]
  private readonly _events = new Map<number, (() => void)[]>()
  private readonly _arrivals: Milliseconds[] = []
  private _running: ((isLost: boolean) => void)[] = []
  private _crashes = 0
  private _mostWhileCold = 0
  private _failures = 0
  private _requests = 0

  constructor (
    private readonly _instances: number, private readonly _isCold: boolean, seed: number,
    makePolicy: (name: string, random: SeededRandom) => StartPolicy
  ) {
    this._random = new SeededRandom(seed)
    const replicas = Math.max(2, Math.round(_instances * REQUESTS_PER_INSTANCE / REQUESTS_PER_REPLICA))
    this._replicas = Array.from({ length: replicas }, (_, index): Replica => ({
      id: index === 0 ? STARTED : `r${index}`,
      service: 's',
      address: '10.0.0.1:1',
      zone: 'z',
      slots: SLOTS,
      isDraining: false,
      weightVersions: {},
      startedAt: 0
    }))
    this._names = Array.from({ length: _instances }, (_, index) => `i${index}`)
    this._fleet = this._names.map(name => ({
      name,
      policy: makePolicy(name, this._random),
      own: this._replicas.map(() => 0),
      others: this._replicas.map(() => 0),
      known: -Infinity
    }))
  }

  play (): PaceFigures {
    const perStep = this._instances * REQUESTS_PER_INSTANCE * STEP / SECOND
    const round = intervalsForRound(this._instances - 1) * HEARTBEAT_INTERVAL
    this._start(STARTS_AT)
    let due = 0
    for (let now = 0; now < LENGTH; now += STEP) {
      for (const event of this._events.get(now) ?? []) event()
      this._events.delete(now)
      for (due += perStep * 2 * this._random.next(); due >= 1; due--) {
        this._request(this._random.pick(this._fleet), now, new Set())
      }
      if (now % round === 0) this._sendHeartbeats(now)
      if (now % TICK_INTERVAL === 0) for (const { policy } of this._fleet) policy.tick(now)
    }
    return {
      timeToShare: this._timeToShare(),
      mostWhileCold: this._mostWhileCold,
      crashes: this._crashes,
      failures: this._failures,
      requests: this._requests
    }
  }

  private _start (now: Milliseconds): void {
    this._replicas[0] = { ...this._replicas[0] as Replica, startedAt: now }
    const replica = this._replicas[0]
    for (const instance of this._fleet) {
      this._at(now + this._random.integer(REGISTRATION_LAG), at => {
        instance.known = replica.startedAt
        instance.policy.begin(replica, at)
      })
    }
  }

  private _request (instance: Instance, now: Milliseconds, tried: ReadonlySet<number>): void {
    if (tried.size === 0) this._requests += 1
    const usable = this._replicas.flatMap(({ startedAt }, index) => (
      tried.has(index) || (index === 0 && instance.known !== startedAt) ? [] : index))
    const free = usable.filter(index => instance.policy.maySend(this._replicas[index] as Replica, this._names, now))
    const jitter = Math.max(1, JITTER_PER_INSTANCE * (this._instances - INSTANCES_WITHOUT_JITTER))
    const cost = (index: number): Milliseconds => {
      const load = (instance.own[index] ?? 0) + (instance.others[index] ?? 0)
      return load + (load >= SLOTS ? SLOT_WAIT : 0) + jitter * this._random.next()
    }
    const [best] = (free.length > 0 ? free : usable).map(index => ({ index, cost: cost(index) }))
      .sort((left, right) => left.cost - right.cost)
    if (best === undefined) {
      this._failures += 1
      return
    }
    this._send(instance, best.index, now, tried)
  }

  private _send (instance: Instance, index: number, now: Milliseconds, tried: ReadonlySet<number>): void {
    const replica = this._replicas[index] as Replica
    const send = instance.policy.onSent(replica, now)
    instance.own[index] = (instance.own[index] ?? 0) + 1
    const isStarted = index === 0
    if (isStarted) this._arrivals.push(now)
    const isCold = isStarted && this._isCold && now < replica.startedAt + COLD_TIME
    const inSecond = isCold ? this._arrivals.filter(at => at > now - SECOND).length : 0
    this._mostWhileCold = Math.max(this._mostWhileCold, inSecond)
    const isRefused = isCold && inSecond > COLD_ACCEPTED
    let isOver = false
    const end = (isFailed: boolean, at: Milliseconds): void => {
      if (isOver) return
      isOver = true
      instance.own[index] = (instance.own[index] ?? 0) - 1
      instance.policy.onEnd(replica, send, now, isFailed, at)
    }
    const lose = (isLost: boolean): void => {
      if (isOver || !isLost) return
      end(true, now)
      // It may have run, and most requests must not run twice.
      this._failures += 1
    }
    if (isStarted) this._running.push(lose)
    this._at(now + (isRefused ? REFUSAL_TIME : SERVICE_TIME * (0.7 + 0.6 * this._random.next())), at => {
      if (isOver) return
      end(isRefused, at)
      if (isStarted) this._running = this._running.filter(running => running !== lose)
      if (isRefused) this._request(instance, at, new Set([...tried, index]))
    })
    if (isCold && inSecond > COLD_CRASH) this._crash(now)
  }

  private _crash (now: Milliseconds): void {
    this._crashes += 1
    const running = this._running
    this._running = []
    this._replicas[0] = { ...this._replicas[0] as Replica, startedAt: Infinity }
    for (const lose of running) lose(true)
    this._at(now + DOWN_TIME, at => { this._start(at) })
  }

  private _sendHeartbeats (now: Milliseconds): void {
    const total = this._replicas.map((_, index) => this._fleet.reduce((sum, { own }) => sum + (own[index] ?? 0), 0))
    for (const { policy, others, own } of this._fleet) {
      total.forEach((sum, index) => { others[index] = sum - (own[index] ?? 0) })
      if (!(policy instanceof SharedPace)) continue
      const updates = policy.pace.updates(now)
      if (updates.length === 0) continue
      for (const other of this._fleet) {
        if (other.policy === policy) continue
        this._at(now + this._random.integer(100), at => {
          if (!(other.policy instanceof SharedPace) || other.known !== this._replicas[0]?.startedAt) return
          for (const update of updates) {
            if (update.startedAt === other.known) other.policy.pace.receive(this._replicas[0], update, at)
          }
        })
      }
    }
  }

  private _timeToShare (): Milliseconds | undefined {
    const startedAt = this._replicas[0]?.startedAt ?? Infinity
    const share = this._instances * REQUESTS_PER_INSTANCE / this._replicas.length
    for (let from = startedAt; from + SECOND <= LENGTH; from += HEARTBEAT_INTERVAL) {
      const received = this._arrivals.filter(at => at >= from && at < from + SECOND).length
      if (received >= 0.9 * share) return from + SECOND - STARTS_AT
    }
    return undefined
  }

  private _at (time: Milliseconds, action: (at: Milliseconds) => void): void {
    const at = Math.ceil((time + 1) / STEP) * STEP
    const events = this._events.get(at) ?? []
    events.push(() => { action(at) })
    this._events.set(at, events)
  }
}
