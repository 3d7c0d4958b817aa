/** Proof: a role has at most one holder at a time, and each holder a higher fencing number than those before. */
import {
  LeaseRenewer, roleRecordSchema, SeededRandom, type LeaseEffect, type LeaseMessage, type Milliseconds
} from '@wasabihead/coordination'
import { FAULTLESS, SimulatedKeyValue, VirtualTime, type SimulatedAnswer } from '@wasabihead/experiments'
import { Proof, type ProofRun, type Violation } from './proof.js'

const CANDIDATES = 4
const TIME_TO_LIVE: Milliseconds = 9_000
const DISTURBED: Milliseconds = 200_000
const RUN_LENGTH: Milliseconds = DISTURBED + 4 * TIME_TO_LIVE
const FAULTS = 20
const LONGEST_FAULT: Milliseconds = 25_000
const TICK: Milliseconds = 100
const ROLE_KEY = 'role'

/** An instance, running at this moment, believes that it holds the role. */
export interface HoldingEvent {
  at: Milliseconds
  holder: string
  epoch: number
}

/** Checks a history of moments in which the role was held, ordered by time. */
export function checkRoleHistory (events: readonly HoldingEvent[], end: Milliseconds): Violation[] {
  const violations: Violation[] = []
  const holders = new Map<number, HoldingEvent>()
  events.forEach((event, index) => {
    const before = events[index - 1]
    const first = holders.get(event.epoch) ?? event
    holders.set(event.epoch, first)
    if (first.holder !== event.holder) violations.push(violation('two holders have one epoch', first, event))
    if (before === undefined) return
    if (before.epoch > event.epoch) violations.push(violation('an older epoch is held after a newer one', before, event))
    if (before.at === event.at && before.holder !== event.holder) violations.push(violation('two hold the role at once', before, event))
  })
  if (events.at(-1)?.at !== end) violations.push(violation('nobody holds the role at the end', ...events.slice(-1)))
  return violations
}

function violation (problem: string, ...events: HoldingEvent[]): Violation {
  return { problem, evidence: events.map(event => JSON.stringify(event)) }
}

/** Proves the promise about roles. */
export class RoleLeaseProof extends Proof {
  override readonly name = 'role-lease'
  override readonly promise = 'A role has at most one holder at a time, and each holder a higher fencing number'
  override readonly failures = ['freezes of holders', 'service outages', 'lost answers', 'late writes', 'roles given back']

  /** @param _renewalDelay broken variant: counts leases from this long after the renewal was sent */
  constructor (private readonly _renewalDelay: Milliseconds = 0) {
    super()
  }

  override run (seed: number): ProofRun {
    const run = new RoleRun(seed, this._renewalDelay)
    const violations = checkRoleHistory(run.perform(), RUN_LENGTH)
    return { counts: run.counts, violations }
  }
}

interface Candidate {
  host: string
  keeper: LeaseRenewer
  isFrozen: boolean
  deferred: LeaseMessage[]
}

class RoleRun {
  readonly counts: Record<string, number> = {}
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _keyValue: SimulatedKeyValue
  private readonly _candidates: Candidate[]
  private readonly _events: HoldingEvent[] = []

  constructor (seed: number, private readonly _renewalDelay: Milliseconds) {
    this._random = new SeededRandom(seed)
    this._keyValue = new SimulatedKeyValue(this._time, this._random)
    this._candidates = Array.from({ length: CANDIDATES }, (_, index) => {
      const host = `entry-${index}`
      return { host, keeper: new LeaseRenewer({ host, incarnation: 1 }, TIME_TO_LIVE), isFrozen: false, deferred: [] }
    })
  }

  perform (): readonly HoldingEvent[] {
    for (const candidate of this._candidates) this._tell(candidate, { kind: 'want', isWanted: true })
    for (let at = 0; at <= RUN_LENGTH; at += TICK) this._time.after(at, () => { this._tick() })
    for (let count = 0; count < FAULTS; count++) {
      this._time.after(this._random.next() * (DISTURBED - LONGEST_FAULT), () => { this._disturb() })
    }
    this._time.runUntil(RUN_LENGTH)
    return this._events
  }

  private _tick (): void {
    for (const candidate of this._candidates) {
      if (candidate.isFrozen) continue
      this._tell(candidate, { kind: 'tick' })
      const epoch = candidate.keeper.epoch(this._time.now - this._renewalDelay)
      if (epoch !== undefined) this._events.push({ at: this._time.now, holder: candidate.host, epoch })
    }
  }

  private _disturb (): void {
    const candidate = this._random.pick(this._candidates)
    this._random.pick([
      () => { this._freeze(this._candidates.find(({ keeper }) => keeper.epoch(this._time.now) !== undefined) ?? candidate) },
      () => { this._disturbService() },
      () => { this._giveBack(candidate) }
    ])()
  }

  private _freeze (candidate: Candidate): void {
    if (candidate.isFrozen) return
    this._count('freezes')
    candidate.isFrozen = true
    this._later(() => {
      candidate.isFrozen = false
      for (const message of candidate.deferred.splice(0)) this._tell(candidate, message)
    })
  }

  private _disturbService (): void {
    this._count('service faults')
    this._keyValue.faults = {
      isDown: this._random.next() < 0.3, maximumDelay: 1_500, lostAnswerShare: 0.3, lostCallShare: 0.1, lateWriteShare: 0.3
    }
    this._later(() => { this._keyValue.faults = FAULTLESS })
  }

  private _giveBack (candidate: Candidate): void {
    this._count('given back')
    this._tell(candidate, { kind: 'want', isWanted: false })
    this._later(() => { this._tell(candidate, { kind: 'want', isWanted: true }) })
  }

  private _tell (candidate: Candidate, message: LeaseMessage): void {
    if (candidate.isFrozen) {
      candidate.deferred.push(message)
      return
    }
    for (const effect of candidate.keeper.handle(message, this._time.now)) this._perform(candidate, effect)
  }

  private _perform (candidate: Candidate, effect: LeaseEffect): void {
    const finish = <Value>(answer: SimulatedAnswer<Value>, toMessage: (value: Value) => LeaseMessage): void => {
      this._tell(candidate, answer.kind === 'answered' ? toMessage(answer.value) : { kind: 'call-failed' })
    }
    if (effect.kind === 'read-role') {
      return this._keyValue.read(ROLE_KEY, answer => {
        finish(answer, entry => ({
          kind: 'role-read',
          record: entry === undefined ? undefined : roleRecordSchema.parse(JSON.parse(entry.value)),
          keyRevision: entry?.revision ?? 0
        }))
      })
    }
    this._count('writes')
    const { record, expectedRevision } = effect
    this._keyValue.compareAndSwap({ key: ROLE_KEY, value: JSON.stringify(record), expectedRevision }, answer => {
      finish(answer, outcome => ({ kind: 'role-written', outcome }))
    })
  }

  private _later (action: () => void): void {
    this._time.after(this._random.next() * LONGEST_FAULT, action)
  }

  private _count (name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1
  }
}
