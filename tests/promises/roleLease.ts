/** Proof: a role has at most one holder at a time, and each holder a higher fencing number than those before. */
import {
  LeaseRenewer, NO_ERA, roleRecordSchema, SeededRandom, type LeaseEffect, type LeaseMessage, type Milliseconds
} from '@wasabihead/coordination'
import { FAULTLESS, SimulatedKeyValue, VirtualTime, type SimulatedAnswer } from '@wasabihead/experiments'
import { Proof, type ProofRun, type Violation } from './proof.js'

const CANDIDATES = 4
const TIME_TO_LIVE: Milliseconds = 9_000
const FAULTS_END: Milliseconds = 200_000
const RUN_LENGTH: Milliseconds = FAULTS_END + 4 * TIME_TO_LIVE
const FAULTS = 20
const MAXIMUM_FAULT_LENGTH: Milliseconds = 25_000
const TICK_INTERVAL: Milliseconds = 100
const ROLE_KEY = 'role'
const MAXIMUM_COPY_AGE: Milliseconds = 12_000
/** Share of the messages between two instances that arrive, in each interval. */
const GOSSIP_SHARE = 0.1

/** Settings of the proof; each departure from the defaults is a broken variant. */
export interface RoleLeaseVariant {
  /** Counts each lease from this long after its renewal was sent. */
  renewalDelay: Milliseconds
  /** Whether instances are told in which era of the service a call took effect. */
  isEraKnown: boolean
}

/** A running instance considers itself the holder of the role at this moment. */
export interface HoldingEvent {
  at: Milliseconds
  holder: string
  epoch: number
}

/**
 * Checks a history of moments in which the role was held, ordered by time.
 * @param end the time of the last sample, at which the role must be held
 */
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

/** Proves the promise about roles with freezes, outages, lost answers and late writes. */
export class RoleLeaseProof extends Proof {
  override readonly name = 'role-lease'
  override readonly promise = 'A role has at most one holder at a time, and each holder a higher fencing number'
  override readonly failures = [
    'freezes of holders', 'service outages', 'lost answers', 'late writes', 'roles given back', 'returns of the service from an older copy'
  ]

  private readonly _variant: RoleLeaseVariant

  constructor (variant: Partial<RoleLeaseVariant> = {}) {
    super()
    this._variant = { renewalDelay: 0, isEraKnown: true, ...variant }
  }

  override run (seed: number): ProofRun {
    const run = new RoleRun(seed, this._variant)
    const violations = checkRoleHistory(run.perform(), RUN_LENGTH)
    return { counts: run.counts, violations }
  }
}

interface Candidate {
  host: string
  renewer: LeaseRenewer
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

  constructor (seed: number, private readonly _variant: RoleLeaseVariant) {
    this._random = new SeededRandom(seed)
    this._keyValue = new SimulatedKeyValue(this._time, this._random)
    this._candidates = Array.from({ length: CANDIDATES }, (_, index) => {
      const host = `entry-${index}`
      return { host, renewer: new LeaseRenewer({ host, incarnation: 1 }, TIME_TO_LIVE), isFrozen: false, deferred: [] }
    })
  }

  perform (): readonly HoldingEvent[] {
    for (const candidate of this._candidates) this._deliver(candidate, { kind: 'want', isWanted: true })
    for (let at = 0; at <= RUN_LENGTH; at += TICK_INTERVAL) this._time.after(at, () => { this._tick() })
    for (let count = 0; count < FAULTS; count++) {
      this._time.after(this._random.next() * (FAULTS_END - MAXIMUM_FAULT_LENGTH), () => { this._injectFault() })
    }
    this._time.runUntil(RUN_LENGTH)
    return this._events
  }

  private _tick (): void {
    this._keyValue.keepCopy()
    this._exchangeEpochs()
    for (const candidate of this._candidates) {
      if (candidate.isFrozen) continue
      this._deliver(candidate, { kind: 'tick' })
      const epoch = candidate.renewer.epoch(this._time.now - this._variant.renewalDelay)
      if (epoch !== undefined) this._events.push({ at: this._time.now, holder: candidate.host, epoch })
    }
  }

  private _injectFault (): void {
    const candidate = this._random.pick(this._candidates)
    this._random.pick([
      () => { this._freeze(this._candidates.find(({ renewer }) => renewer.epoch(this._time.now) !== undefined) ?? candidate) },
      () => { this._injectServiceFaults() },
      () => { this._releaseRole(candidate) },
      () => { this._restoreService() }
    ])()
  }

  /** The service is away for a moment and comes back from an older copy; sometimes a second time at once. */
  private _restoreService (): void {
    this._count('restores')
    this._keyValue.faults = { ...this._keyValue.faults, isDown: true }
    this._time.after(this._random.next() * 2_000, () => {
      this._keyValue.faults = { ...this._keyValue.faults, isDown: false }
      this._keyValue.restore(this._random.next() * MAXIMUM_COPY_AGE)
      if (this._random.next() < 0.3) this._restoreService()
    })
  }

  /** Some of the messages between instances arrive. */
  private _exchangeEpochs (): void {
    for (const from of this._candidates) {
      for (const to of this._candidates) {
        if (from.isFrozen || to.isFrozen || this._random.next() >= GOSSIP_SHARE) continue
        this._deliver(to, { kind: 'epoch-seen', epoch: from.renewer.highestEpoch })
      }
    }
  }

  private _freeze (candidate: Candidate): void {
    if (candidate.isFrozen) return
    this._count('freezes')
    candidate.isFrozen = true
    this._afterRandomDelay(() => {
      candidate.isFrozen = false
      for (const message of candidate.deferred.splice(0)) this._deliver(candidate, message)
    })
  }

  private _injectServiceFaults (): void {
    this._count('service faults')
    this._keyValue.faults = {
      isDown: this._random.next() < 0.3, maximumDelay: 1_500, lostAnswerShare: 0.3, lostCallShare: 0.1, lateWriteShare: 0.3
    }
    this._afterRandomDelay(() => { this._keyValue.faults = FAULTLESS })
  }

  private _releaseRole (candidate: Candidate): void {
    this._count('given back')
    this._deliver(candidate, { kind: 'want', isWanted: false })
    this._afterRandomDelay(() => { this._deliver(candidate, { kind: 'want', isWanted: true }) })
  }

  private _deliver (candidate: Candidate, message: LeaseMessage): void {
    if (candidate.isFrozen) {
      candidate.deferred.push(message)
      return
    }
    for (const effect of candidate.renewer.handle(message, this._time.now)) this._perform(candidate, effect)
  }

  private _perform (candidate: Candidate, effect: LeaseEffect): void {
    const finish = <Value>(answer: SimulatedAnswer<Value>, toMessage: (value: Value, era: number) => LeaseMessage): void => {
      const eraOf = (era: number): number => this._variant.isEraKnown ? era : NO_ERA
      this._deliver(candidate, answer.kind === 'answered' ? toMessage(answer.value, eraOf(answer.era)) : { kind: 'call-failed' })
    }
    if (effect.kind === 'read-role') {
      return this._keyValue.read(ROLE_KEY, answer => {
        finish(answer, (entry, era) => ({
          kind: 'role-read',
          record: entry === undefined ? undefined : roleRecordSchema.parse(JSON.parse(entry.value)),
          keyRevision: entry?.revision ?? 0,
          era
        }))
      })
    }
    this._count('writes')
    const { record, expectedRevision } = effect
    this._keyValue.compareAndSwap({ key: ROLE_KEY, value: JSON.stringify(record), expectedRevision }, answer => {
      finish(answer, (outcome, era) => ({ kind: 'role-written', outcome: { ...outcome, era } }))
    })
  }

  private _afterRandomDelay (action: () => void): void {
    this._time.after(this._random.next() * MAXIMUM_FAULT_LENGTH, action)
  }

  private _count (name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1
  }
}
