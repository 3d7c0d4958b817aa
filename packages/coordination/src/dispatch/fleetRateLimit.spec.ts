/** Simulates the requests that a replica with a rate limit receives, over fleet sizes, rates and faults. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { MILLISECONDS_PER_SECOND, SeededRandom, type Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'
import { RatePacer, ReplicaLimits } from './index.js'

const REPLICA: Replica = {
  id: 'r', service: 's', address: '10.0.0.1:1', zone: 'z', slots: 48, isDraining: false, weightVersions: {}, startedAt: 1
}
const WINDOW: Milliseconds = 4_000
/** Requests before this time do not count, since the first statements are still being propagated. */
const CONVERGENCE_TIME: Milliseconds = 3_000
/** Requests of an instance count from this time after it received its first answer. */
const ANSWER_GRACE_PERIOD: Milliseconds = 500
const ALLOWED_SHARE = 1.5
const ALLOWED_EXTRA = 5
const LEAST_USED_SHARE = 0.8
const STEP: Milliseconds = 5
const HEARTBEAT_INTERVAL: Milliseconds = 250
const INSTANCES_FOR_EACH_INTERVAL = 20
const LONGEST_ROUND_INTERVALS = 4
/** Number of seeds. To run more: WASABIHEAD_PROPERTY_SEEDS=40 node packages/coordination/dist/dispatch/fleetRateLimit.spec.js */
const SEEDS = Number(process.env.WASABIHEAD_PROPERTY_SEEDS ?? 2)
/** Fewest requests that the replica must be able to accept in a run, so that the used share is meaningful. */
const FEWEST_PLACES = 40
const SHORTEST_RUN: Milliseconds = 20_000
/** Callers that arrive in rushes send nothing during the first half of each period. */
const RUSH_PERIOD: Milliseconds = 6_000

/** Decides whether an instance may send the replica a request. */
abstract class Policy {
  abstract trySend (names: readonly string[] | undefined, now: Milliseconds): boolean
  abstract onAnswer (rate: number | undefined, sentAt: Milliseconds, now: Milliseconds): void
}

class SharedLimitPolicy extends Policy {
  readonly limits: ReplicaLimits

  constructor (name: string) {
    super()
    this.limits = new ReplicaLimits(name)
  }

  override trySend (names: readonly string[] | undefined, now: Milliseconds): boolean {
    if (this.limits.nextSendAt(REPLICA, names, now) > now) return false
    this.limits.reserveSend(REPLICA, names, now)
    return true
  }

  override onAnswer (rate: number | undefined, sentAt: Milliseconds, now: Milliseconds): void {
    this.limits.onAnswer(REPLICA, rate, sentAt, now)
  }
}

/** Does not read the stated rate, as in a09e26f. */
class IgnoredLimitPolicy extends Policy {
  override trySend (): boolean {
    return true
  }

  override onAnswer (): void {
    // Answers are ignored.
  }
}

/** Each instance keeps to its own share of the rate, given by `_partOf`, without owners. */
class IndependentPolicy extends Policy {
  private readonly _pacer = new RatePacer()
  private _rate: number | undefined

  constructor (private readonly _partOf: (instances: number) => number, private readonly _burst: number) {
    super()
  }

  override trySend (names: readonly string[] | undefined, now: Milliseconds): boolean {
    if (this._rate === undefined) return true
    const interval = MILLISECONDS_PER_SECOND / (this._rate * this._partOf(names?.length ?? 1))
    this._pacer.configure(interval, this._burst, now)
    if (this._pacer.nextAt > now) return false
    this._pacer.reserve(now)
    return true
  }

  override onAnswer (rate: number | undefined): void {
    this._rate = rate
  }
}

interface Instance {
  name: string
  policy: Policy
  /** Names of all instances known to this one; undefined before it has read the store. */
  names: readonly string[] | undefined
  startsAt: Milliseconds
  frozenUntil: Milliseconds
  cutUntil: Milliseconds
  firstAnswerAt: Milliseconds
}

interface Fleet {
  instances: number
  rate: number
  seed: number
  makePolicy: (name: string) => Policy
  faults: Partial<Record<'joins' | 'restarts' | 'freezes' | 'cuts' | 'lateUpdates' | 'changes' | 'rushes', boolean>>
}

/** Simulates one replica with a rate limit and a fleet with more demand than the replica accepts. */
class FleetReplay {
  readonly arrivals: { at: Milliseconds, isCounted: boolean }[] = []
  readonly length: Milliseconds
  private readonly _random: SeededRandom
  private readonly _fleet: Instance[] = []
  private readonly _scheduled = new Map<number, (() => void)[]>()
  private _rate: number
  /** Number of requests that the replica could have accepted since the convergence time. */
  private _capacity = 0
  /** The stated rate at each step. */
  private readonly _rates: number[] = []

  constructor (private readonly _settings: Fleet) {
    this._random = new SeededRandom(_settings.seed)
    this._rate = _settings.rate
    this.length = Math.max(SHORTEST_RUN, CONVERGENCE_TIME + FEWEST_PLACES * MILLISECONDS_PER_SECOND / _settings.rate)
    const names = Array.from({ length: _settings.instances }, (_, index) => `i${index}`)
    for (const name of names) this._add(name, 0, names)
  }

  play (): this {
    const { rate, instances } = this._settings
    const demand = 4 * rate + 2 * instances
    for (let now = 0; now < this.length; now += STEP) {
      for (const action of this._scheduled.get(now / STEP) ?? []) action()
      this._scheduled.delete(now / STEP)
      this._injectFaults(now)
      this._rates.push(this._rate)
      if (now >= CONVERGENCE_TIME) this._capacity += this._rate * STEP / MILLISECONDS_PER_SECOND
      const isQuiet = this._settings.faults.rushes === true && now % RUSH_PERIOD < RUSH_PERIOD / 2
      for (let wanted = isQuiet ? 0 : poisson(demand * STEP / MILLISECONDS_PER_SECOND, this._random); wanted > 0; wanted--) {
        this._sendRequest(this._random.pick(this._fleet), now)
      }
      if (now % HEARTBEAT_INTERVAL === 0) this._sendUpdates(now)
    }
    return this
  }

  /** The largest excess over the allowed requests in any window. Instances that have received no answer yet are not counted. */
  get worstExcess (): number {
    const times = this.arrivals.filter(({ at, isCounted }) => isCounted && at >= CONVERGENCE_TIME).map(({ at }) => at)
    let worst = -Infinity
    let end = 0
    for (const [begin, from] of times.entries()) {
      while (end < times.length && (times[end] as number) < from + WINDOW) end++
      // A rate stated shortly before the window may still be in use, since later statements may not have been received yet.
      const highest = Math.max(...this._rates.slice(Math.max(0, from - CONVERGENCE_TIME) / STEP | 0, (from + WINDOW) / STEP | 0))
      const allowed = ALLOWED_SHARE * highest * WINDOW / MILLISECONDS_PER_SECOND + ALLOWED_EXTRA
      worst = Math.max(worst, end - begin - allowed)
    }
    return worst
  }

  /** The share of the replica's capacity that was used. */
  get usedShare (): number {
    return this.arrivals.filter(({ at }) => at >= CONVERGENCE_TIME).length / this._capacity
  }

  private _add (name: string, now: Milliseconds, names: readonly string[] | undefined): Instance {
    const instance = {
      name, policy: this._settings.makePolicy(name), names, startsAt: now, frozenUntil: 0, cutUntil: 0, firstAnswerAt: Infinity
    }
    this._fleet.push(instance)
    return instance
  }

  private _schedule (at: Milliseconds, action: () => void): void {
    const step = Math.ceil(at / STEP)
    const actions = this._scheduled.get(step) ?? []
    actions.push(action)
    this._scheduled.set(step, actions)
  }

  private _sendRequest (instance: Instance, now: Milliseconds): void {
    const random = this._random
    if (now < instance.startsAt || now < instance.frozenUntil || !instance.policy.trySend(instance.names, now)) return
    const { policy } = instance
    this.arrivals.push({ at: now, isCounted: now - instance.firstAnswerAt >= ANSWER_GRACE_PERIOD })
    const rate = this._rate
    const answer = (at: Milliseconds): void => {
      if (at < instance.frozenUntil) return this._schedule(instance.frozenUntil, () => { answer(instance.frozenUntil) })
      if (instance.policy !== policy) return
      policy.onAnswer(rate, now, at)
      instance.firstAnswerAt = Math.min(instance.firstAnswerAt, at)
    }
    const answersAt = now + 20 + random.integer(80)
    this._schedule(answersAt, () => { answer(Math.ceil(answersAt / STEP) * STEP) })
  }

  private _sendUpdates (now: Milliseconds): void {
    const random = this._random
    const intervals = Math.min(LONGEST_ROUND_INTERVALS, Math.ceil(this._fleet.length / INSTANCES_FOR_EACH_INTERVAL))
    if (now / HEARTBEAT_INTERVAL % intervals !== 0) return
    const { lateUpdates = false } = this._settings.faults
    for (const instance of this._fleet) {
      const { policy } = instance
      if (!(policy instanceof SharedLimitPolicy) || isDisconnected(instance, now)) continue
      const updates = policy.limits.updates(now)
      if (updates.length === 0) continue
      for (const other of this._fleet) {
        if (other === instance || (lateUpdates && random.next() < 0.3)) continue
        const arrivesAt = now + random.integer(100) + (lateUpdates && random.next() < 0.1 ? random.integer(800) : 0)
        this._schedule(arrivesAt, () => {
          const at = Math.ceil(arrivesAt / STEP) * STEP
          // Updates that arrive at a frozen process are dropped.
          if (isDisconnected(other, at) || !(other.policy instanceof SharedLimitPolicy)) return
          for (const update of updates) other.policy.limits.receive(update, at)
        })
      }
    }
  }

  private _injectFaults (now: Milliseconds): void {
    const random = this._random
    const { joins, restarts, freezes, cuts, changes } = this._settings.faults
    const happens = (eachSeconds: number): boolean => random.next() < STEP / (eachSeconds * MILLISECONDS_PER_SECOND)
    if (joins === true && happens(8)) this._join(now, 1 + random.integer(3))
    if (restarts === true && happens(4)) this._restart(random.pick(this._fleet), now)
    if (restarts === true && happens(30)) for (const instance of this._fleet) this._restart(instance, now)
    if (freezes === true && happens(3)) random.pick(this._fleet).frozenUntil = now + 500 + random.integer(8_000)
    if (cuts === true && happens(6)) {
      const until = now + 2_000 + random.integer(15_000)
      for (const instance of this._fleet) if (random.next() < 0.5) instance.cutUntil = until
    }
    if (changes === true && happens(8)) this._rate = Math.max(0.1, this._settings.rate * (0.3 + 0.7 * random.next()))
  }

  /** Existing instances learn of new ones within two seconds; new instances know all that have registered. */
  private _join (now: Milliseconds, count: number): void {
    const others = [...this._fleet]
    const names = [...others.map(({ name }) => name), ...Array.from({ length: count }, (_, index) => `joined-${now}-${index}`)]
    for (const name of names.slice(others.length)) this._add(name, now, names)
    for (const other of others) {
      this._schedule(now + this._random.integer(2_000), () => { other.names = [...new Set([...other.names ?? [], ...names])] })
    }
  }

  private _restart (instance: Instance, now: Milliseconds): void {
    const { names } = instance
    instance.policy = this._settings.makePolicy(instance.name)
    instance.startsAt = now + 400 + this._random.integer(600)
    instance.firstAnswerAt = Infinity
    instance.names = undefined
    this._schedule(instance.startsAt + this._random.integer(1_000), () => {
      instance.names ??= names ?? this._fleet.map(({ name }) => name)
    })
  }
}

/** Whether the instance cannot exchange updates with its peers. */
function isDisconnected ({ startsAt, frozenUntil, cutUntil }: Instance, now: Milliseconds): boolean {
  return now < startsAt || now < frozenUntil || now < cutUntil
}

function poisson (mean: number, random: SeededRandom): number {
  let count = 0
  for (let product = random.next(); product > Math.exp(-mean); product *= random.next()) count++
  return count
}

function play (fleet: Omit<Fleet, 'seed'>): { seed: number, excess: number, used: number }[] {
  return Array.from({ length: SEEDS }, (_, index) => {
    const seed = index + 1
    const replay = new FleetReplay({ ...fleet, seed }).play()
    return { seed, excess: replay.worstExcess, used: replay.usedShare }
  })
}

const owned = (name: string): Policy => new SharedLimitPolicy(name)
const sizes: [instances: number, rates: number[]][] = [
  [1, [0.1, 1.2, 20]], [4, [0.1, 1.2, 20, 300]], [34, [0.5, 1.2, 50]], [78, [1.2, 40, 300]], [340, [1.2, 30, 1_000]]
]
const calm = sizes.flatMap(([instances, rates]) => rates.map(rate => ({ instances, rate })))
const disturbed = calm.filter(({ instances, rate }) => instances < 340 || rate < 1_000)

for (const { instances, rate } of calm) {
  test(`should use most of a rate of ${rate} a second from ${instances} instances, and not exceed it`, () => {
    for (const { seed, excess, used } of play({ instances, rate, makePolicy: owned, faults: {} })) {
      assert.ok(excess <= 0, `seed ${seed}: ${excess} over what is allowed`)
      assert.ok(used >= LEAST_USED_SHARE, `seed ${seed}: only ${used} of the rate was used`)
    }
  })
}

const disturbances: { title: string, faults: Fleet['faults'] }[] = [
  { title: 'callers rush in after a pause', faults: { rushes: true } },
  { title: 'instances join', faults: { joins: true } },
  { title: 'instances restart, alone and together', faults: { restarts: true } },
  { title: 'instances are frozen', faults: { freezes: true } },
  { title: 'parts of the fleet are partitioned', faults: { cuts: true } },
  { title: 'updates from peers are lost and late', faults: { lateUpdates: true } },
  { title: 'the stated rate changes', faults: { changes: true } },
  {
    title: 'all of these faults happen',
    faults: { joins: true, restarts: true, freezes: true, cuts: true, lateUpdates: true, changes: true, rushes: true }
  }
]
for (const { title, faults } of disturbances) {
  test(`should keep to a stated rate over all instances while ${title}`, () => {
    for (const { instances, rate } of disturbed) {
      for (const { seed, excess } of play({ instances, rate, makePolicy: owned, faults })) {
        assert.ok(excess <= 0, `${instances} instances, ${rate} a second, seed ${seed}: ${excess} over what is allowed`)
      }
    }
  })
}

// Partitioned instances probed a limit at the whole rate, in addition to the requests of its owners.
test('should keep to a stated rate while partitioned instances probe it (340 instances, 1.2 a second, seed 9)', () => {
  const faults = { joins: true, restarts: true, freezes: true, cuts: true, lateUpdates: true, changes: true, rushes: true }
  const { worstExcess } = new FleetReplay({ instances: 340, rate: 1.2, seed: 9, makePolicy: owned, faults }).play()
  assert.ok(worstExcess <= 0, `${worstExcess} over what is allowed`)
})

// Verifies the check itself: each of these policies exceeds the rate, or leaves most of it unused.
const part = (instances: number): number => 1 / instances
const brokenVariants: { title: string, instances: number, rate: number, makePolicy: () => Policy }[] = [
  { title: 'the stated rate is not read', instances: 4, rate: 1.2, makePolicy: () => new IgnoredLimitPolicy() },
  { title: 'each of 4 instances takes the whole rate', instances: 4, rate: 1.2, makePolicy: () => new IndependentPolicy(() => 1, 1) },
  { title: 'each of 78 instances takes an equal part, with bursts', instances: 78, rate: 1.2, makePolicy: () => new IndependentPolicy(part, 4) },
  { title: 'each of 340 instances takes an equal part', instances: 340, rate: 30, makePolicy: () => new IndependentPolicy(part, 30) }
]
for (const { title, instances, rate, makePolicy } of brokenVariants) {
  test(`should notice that ${title}`, () => {
    const runs = play({ instances, rate, makePolicy, faults: {} })
    assert.ok(runs.some(({ excess, used }) => excess > 0 || used < LEAST_USED_SHARE), JSON.stringify(runs))
  })
}

test.run()
