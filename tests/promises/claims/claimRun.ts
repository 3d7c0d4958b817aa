/** A seeded run of the claim log: callers, instances, the key-value service and the called service, all with faults. */
import {
  CLAIM_LIMITS, ClaimedAttempt, ClaimShard, SeededRandom,
  type AnswerLimits, type AttemptOutcome, type AttemptRules, type CallEnd, type ClaimLimits,
  type ClaimReply, type ClaimReport, type ClaimRequest,
  type InstanceIdentity, type Milliseconds
} from '@wasabihead/coordination'
import { FAULTLESS, SimulatedKeyValue, VirtualTime } from '@wasabihead/experiments'
import type { ClaimEvent } from './claimHistory.js'
import { ClaimInstance } from './claimInstance.js'

const HOSTS = ['entry-0', 'entry-1', 'entry-2']
const KEYS = 24
const FAULTS_END: Milliseconds = 900_000
const RUN_END: Milliseconds = 1_400_000
const CALL_TIMEOUT: Milliseconds = 5_000
const REQUEST_DEADLINE: Milliseconds = 10_000
const CALLER_TIMEOUT: Milliseconds = 15_000
const TICK_INTERVAL: Milliseconds = 1_000
const MAXIMUM_FREEZE: Milliseconds = 90_000
const MAXIMUM_CLOCK_SKEW: Milliseconds = 10_000

/** Small sizes and a short retention window, so that segments close, merge and expire within a run. */
export const RUN_LIMITS: ClaimLimits = {
  ...CLAIM_LIMITS,
  closeAtBytes: 1_500,
  segmentTargetBytes: 4_000,
  retentionWindow: 420_000,
  windowMargin: 40_000,
  largestPause: 200_000
}

/** Small sizes, so that every third answer (of LARGE_ANSWER_PARTS parts) is stored in chunks. */
export const RUN_ANSWER_LIMITS: AnswerLimits = { recordMaximumLength: 100, chunkLength: 50, maximumChunks: 8 }
const LARGE_ANSWER_PARTS = 60

/** Creates the decision code under test; deliberately broken variants replace it. */
export interface ClaimDecisionFactories {
  createShard (identity: InstanceIdentity): ClaimShard
  createAttempt (request: ClaimRequest, rules: AttemptRules): ClaimedAttempt
}

/** Creates the real decision code. */
export const REAL_DECISION_FACTORIES: ClaimDecisionFactories = {
  createShard: identity => new ClaimShard(identity, RUN_LIMITS),
  createAttempt: (request, rules) => new ClaimedAttempt(request, rules, RUN_ANSWER_LIMITS)
}

/** The result of a run: the events in order, and how often each action and fault happened. */
export interface ClaimRunResult {
  history: ClaimEvent[]
  counts: Record<string, number>
}

/** Whether a key belongs to an at-most-once request; all other keys belong to durable requests. */
export function isAtMostOnceKey (key: string): boolean {
  return Number.parseInt(key.slice(-1), 16) % 2 === 0
}

/** One run in virtual time; the same seed gives the same run. */
export class ClaimRun {
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _keyValue: SimulatedKeyValue
  private readonly _instances = new Map<string, ClaimInstance>()
  private readonly _history: ClaimEvent[] = []
  private readonly _counts = {
    asked: 0, ran: 0, freezes: 0, kills: 0, lostMessages: 0, outages: 0, resolutions: 0, segments: 0, chunks: 0, largeAnswers: 0
  }

  private readonly _callsByToken = new Map<string, string>()
  private readonly _answered = new Set<string>()
  private _nextIncarnation = 1

  constructor (seed: number, private readonly _parts: ClaimDecisionFactories = REAL_DECISION_FACTORIES) {
    this._random = new SeededRandom(seed)
    this._keyValue = new SimulatedKeyValue(this._time, this._random)
  }

  /** Runs to the end. Faults stop earlier, so that every accepted request can be answered. */
  run (): ClaimRunResult {
    for (const host of HOSTS) this._startInstance(host)
    for (let index = 0; index < KEYS; index++) this._startCaller(index)
    this._every(TICK_INTERVAL, () => {
      for (const instance of this._instances.values()) instance.step(() => { instance.tick() })
    })
    this._every(4_000, () => { this._injectFault() })
    this._every(2_000, () => { this._updateSomeViews() })
    this._every(20_000, () => { this._resolveRandomClaim() })
    this._time.after(FAULTS_END, () => { this._endFaults() })
    this._time.runUntil(RUN_END)
    const keys = this._keyValue.keys()
    this._counts.chunks = keys.filter(key => key.startsWith('answer/')).length
    this._counts.segments = keys.length - this._counts.chunks - 1
    return { history: this._history, counts: this._counts }
  }

  private get _hasFaults (): boolean {
    return this._time.now < FAULTS_END
  }

  private _every (interval: Milliseconds, perform: () => void): void {
    this._time.after(interval, () => {
      perform()
      this._every(interval, perform)
    })
  }

  private _startInstance (host: string): void {
    const identity = { host, incarnation: this._nextIncarnation++ }
    const skew = (this._random.next() * 2 - 1) * MAXIMUM_CLOCK_SKEW
    const instance = new ClaimInstance(identity, this._parts.createShard(identity), skew, {
      time: this._time,
      keyValue: this._keyValue,
      shouldFreeze: () => this._maybeFreeze(identity),
      callOwner: (from, call, answered) => { this._callOwner(from, call, answered) },
      askExecutor: (from, claim, denied) => {
        const executor = this._instances.get(claim.executor.host)
        this._deliver(() => {
          executor?.step(() => { if (executor.denies(claim)) this._deliver(() => { from.step(denied) }) })
        })
      },
      callService: (from, claim, ended) => { this._callService(from, claim, ended) },
      createAttempt: this._parts.createAttempt,
      onAccepted: claim => { this._record({ kind: 'accepted', key: claim.idempotencyKey, call: this._callOf(claim) }) }
    })
    this._instances.set(host, instance)
    this._updateView(instance)
  }

  private _maybeFreeze (identity: InstanceIdentity): boolean {
    if (!this._hasFaults || this._random.next() >= 0.004) return false
    this._freezeFor(this._instances.get(identity.host) as ClaimInstance)
    return true
  }

  private _freezeFor (instance: ClaimInstance): void {
    this._counts.freezes += 1
    instance.isFrozen = true
    this._time.after(this._random.next() * MAXIMUM_FREEZE, () => { instance.thaw() })
  }

  private _injectFault (): void {
    if (!this._hasFaults) return
    const host = this._random.pick(HOSTS)
    const instance = this._instances.get(host) as ClaimInstance
    switch (this._random.integer(5)) {
      case 0: return instance.isFrozen || !instance.isAlive ? undefined : this._freezeFor(instance)
      case 1: return this._kill(host, instance)
      case 2: return this._startOutage()
      default:
        this._keyValue.faults = {
          ...FAULTLESS, maximumDelay: 200, lostAnswerShare: 0.1, lostCallShare: 0.05, lateWriteShare: 0.1
        }
    }
  }

  private _kill (host: string, instance: ClaimInstance): void {
    if (!instance.isAlive || this._random.next() < 0.5) return
    this._counts.kills += 1
    instance.isAlive = false
    this._time.after(this._random.next() * 60_000, () => { this._startInstance(host) })
  }

  private _startOutage (): void {
    this._counts.outages += 1
    this._keyValue.faults = { ...FAULTLESS, isDown: true }
    this._time.after(this._random.next() * 10_000, () => { this._keyValue.faults = FAULTLESS })
  }

  private _endFaults (): void {
    this._keyValue.faults = FAULTLESS
    for (const instance of this._instances.values()) if (instance.isFrozen) instance.thaw()
  }

  /** While faults last, the instances' views of members and owner differ and are often wrong. */
  private _updateSomeViews (): void {
    for (const instance of this._instances.values()) {
      if (!this._hasFaults || this._random.next() < 0.3) this._updateView(instance)
    }
  }

  private _updateView (instance: ClaimInstance): void {
    const alive = [...this._instances.values()].filter(({ isAlive, isFrozen }) => isAlive && !isFrozen)
    instance.live = alive.map(({ identity }) => identity)
    const isWrong = this._hasFaults && this._random.next() < 0.2
    instance.assumedOwner = isWrong ? this._random.pick(HOSTS) : alive[0]?.identity.host ?? HOSTS[0] as string
  }

  private _callOwner (from: ClaimInstance, call: ClaimRequest | ClaimReport, answered: (reply: ClaimReply) => void): void {
    let isOver = false
    const answerOnce = (reply: ClaimReply): void => {
      if (isOver) return
      isOver = true
      from.step(() => { answered(reply) })
    }
    const owner = this._instances.get(from.assumedOwner)
    this._time.after(CALL_TIMEOUT, () => { answerOnce({ kind: 'ambiguous', retryAfter: 1_000 }) })
    if (owner === undefined) return
    this._deliver(() => {
      owner.step(() => { owner.serve(call, reply => { this._deliver(() => { answerOnce(reply) }) }) })
    })
  }

  /** Delivers a message after a delay, or loses it; some arrive after their sender has timed out. */
  private _deliver (perform: () => void): void {
    if (this._hasFaults && this._random.next() < 0.05) {
      this._counts.lostMessages += 1
      return
    }
    const isLate = this._hasFaults && this._random.next() < 0.03
    this._time.after(this._random.next() * (isLate ? 20_000 : 50), perform)
  }

  private _callService (from: ClaimInstance, claim: ClaimRequest, ended: (end: CallEnd) => void): void {
    const end = (result: CallEnd): void => { from.step(() => { ended(result) }) }
    if (this._hasFaults && this._random.next() < 0.1) return end({ kind: 'not-sent' })
    if (this._hasFaults && this._random.next() < 0.1) return this._time.after(CALL_TIMEOUT, () => { end({ kind: 'ambiguous' }) })
    this._counts.ran += 1
    const run = this._counts.ran
    this._record({ kind: 'ran', key: claim.idempotencyKey, call: this._callOf(claim), host: from.identity.host })
    const isLost = this._hasFaults && this._random.next() < 0.1
    const parts = Array.from({ length: run % 3 === 0 ? LARGE_ANSWER_PARTS : 1 }, (_, index) => index + 1).join(' ')
    const answer = { status: 200, body: `answer of ${claim.idempotencyKey}: run ${run}, parts ${parts}.` }
    this._time.after(this._random.next() * 2_000, () => { end(isLost ? { kind: 'ambiguous' } : { kind: 'answered', answer }) })
  }

  /** Callers retry a key until it is answered, also at two hosts at once and after the retention window. */
  private _startCaller (index: number): void {
    const startsAt = this._random.next() * FAULTS_END * 0.8
    const key = keyAt(startsAt, index)
    this._time.after(startsAt, () => { this._send(key) })
    this._time.after(startsAt, () => { this._send(key) })
    for (let again = 0; again < 3; again++) {
      this._time.after(startsAt + this._random.next() * 700_000, () => { this._send(key) })
    }
  }

  private _send (key: string): void {
    const host = this._random.pick(HOSTS)
    const instance = this._instances.get(host) as ClaimInstance
    const call = `call-${++this._counts.asked}`
    this._record({ kind: 'asked', key, call, host })
    let isOver = false
    const sendAgain = (delay: Milliseconds): void => {
      if (!this._answered.has(key)) this._time.after(delay, () => { this._send(key) })
    }
    instance.step(() => {
      const now = this._time.now
      instance.run(this._request(key, call, instance), now + REQUEST_DEADLINE, outcome => {
        this._recordOutcome(key, call, outcome)
        if (!isOver && outcome.kind === 'refused' && outcome.retryAfter !== undefined) sendAgain(outcome.retryAfter)
        isOver = true
      })
    })
    this._time.after(CALLER_TIMEOUT, () => {
      if (!isOver) sendAgain(this._random.next() * 5_000)
      isOver = true
    })
  }

  private _request (key: string, call: string, instance: ClaimInstance): ClaimRequest {
    const isAtMostOnce = isAtMostOnceKey(key)
    this._callsByToken.set(call, call)
    return {
      workspace: 'harrowgate',
      idempotencyKey: key,
      kind: isAtMostOnce ? 'uniform-order' : 'policy-summary',
      treatment: isAtMostOnce ? 'at-most-once' : 'durable',
      requestDigest: key,
      attemptToken: call,
      executor: instance.identity,
      recordedAt: instance.wallClock,
      deadlineAt: instance.wallClock + REQUEST_DEADLINE,
      ...(isAtMostOnce ? {} : { request: 'body' })
    }
  }

  private _recordOutcome (key: string, call: string, outcome: AttemptOutcome): void {
    if (outcome.kind === 'answered') {
      if (outcome.answer.body.length > RUN_ANSWER_LIMITS.recordMaximumLength) this._counts.largeAnswers += 1
      this._answered.add(key)
      return this._record({ kind: 'answered', key, call, answer: outcome.answer })
    }
    this._record({ kind: 'refused', key, call, reason: outcome.reason, notRun: outcome.notRun })
  }

  /** An operator checks at the service whether a request ran, and resolves its claim accordingly. */
  private _resolveRandomClaim (): void {
    const key = this._random.pick(this._history)?.key
    if (key === undefined || !isAtMostOnceKey(key)) return
    const hasRun = this._history.some(event => event.kind === 'ran' && event.key === key)
    this._counts.resolutions += 1
    const instance = this._instances.get(this._random.pick(HOSTS)) as ClaimInstance
    instance.step(() => {
      instance.resolve({ workspace: 'harrowgate', idempotencyKey: key, outcome: hasRun ? 'ran' : 'not-run', author: 'operator' })
    })
  }

  /** The call that a claim was made for. Work handed over to another instance has a new attempt token, of no call. */
  private _callOf (claim: ClaimRequest): string {
    return this._callsByToken.get(claim.attemptToken) ?? `handed over as ${claim.attemptToken}`
  }

  private _record (event: EventWithoutTime): void {
    this._history.push({ ...event, at: Math.round(this._time.now) })
  }
}

type WithoutTime<Event> = Event extends { at: number } ? Omit<Event, 'at'> : never
type EventWithoutTime = WithoutTime<ClaimEvent>

function keyAt (time: Milliseconds, index: number): string {
  const digits = Math.floor(time).toString(16).padStart(12, '0')
  return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-${index.toString(16).padStart(12, '0')}`
}
