/** Simulates the requests that a cold replica receives, over fleet sizes, rates, restarts, lags and cuts. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { MILLISECONDS_PER_SECOND, SeededRandom, type Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'
import { ColdReplicas } from './index.js'

const COLD_FOR: Milliseconds = 3_000
const STEP: Milliseconds = 5
const LENGTH: Milliseconds = 16_000
const FIRST_CRASH: Milliseconds = 3_000
const CRASH_INTERVAL: Milliseconds = 6_000
const REGISTRATION_LAG: Milliseconds = 800
const HEARTBEAT_INTERVAL: Milliseconds = 250
const OVERSHOOT = 1.5
const SLACK = 5
/** With demand there, a replica that states a rate is to get this share of it; rateLimits.md has the same aim. */
const LEAST_USED_SHARE = 0.8
/** To run more: WASABIHEAD_PROPERTY_SEEDS=40 node packages/coordination/dist/dispatch/fleetColdReplicas.spec.js */
const SEEDS = Number(process.env.WASABIHEAD_PROPERTY_SEEDS ?? 3)

interface Fleet {
  instances: number
  rate: number
  seed: number
  /** Whether each instance takes the whole rate, to check the check. */
  isUndivided?: boolean
  faults: Partial<Record<'keepsId' | 'storeCut' | 'views' | 'restarts' | 'freezes' | 'statements', boolean>>
}

interface Instance {
  name: string
  names: readonly string[] | undefined
  state: ColdReplicas
  /** The run that this instance knows. */
  listed: Replica
  stoppedUntil: Milliseconds
  isCut: boolean
}

/** One replica that crashes twice under traffic, and a fleet with more demand than the cold replica accepts. */
class ColdReplay {
  private readonly _random: SeededRandom
  private readonly _fleet: Instance[]
  private readonly _scheduled = new Map<number, (() => void)[]>()
  private readonly _arrivals: { sentAt: Milliseconds, at: Milliseconds }[] = []
  private _run: Replica
  private _startedAt = -Infinity
  private _isDown = false

  constructor (private readonly _settings: Fleet) {
    const { instances, seed, faults, isUndivided } = _settings
    this._random = new SeededRandom(seed)
    this._run = this._runOf(0, 0, undefined)
    const names = Array.from({ length: instances }, (_, index) => `i${index}`)
    // One of the instances has not heard of the second half of the fleet yet.
    const half = names.slice(0, Math.ceil(instances / 2))
    const view = (index: number): string[] => faults.views === true && index === 0 ? half : names
    this._fleet = names.map((name, index) => ({
      name,
      names: isUndivided === true ? [name] : view(index),
      state: this._newState(name),
      listed: this._run,
      stoppedUntil: 0,
      isCut: faults.storeCut === true && this._random.next() < 0.3
    }))
    for (const instance of this._fleet) this._list(instance, this._run, 0)
  }

  play (): this {
    for (let now = 0; now < LENGTH; now += STEP) {
      for (const action of this._scheduled.get(now / STEP) ?? []) action()
      this._scheduled.delete(now / STEP)
      if (now >= FIRST_CRASH && (now - FIRST_CRASH) % CRASH_INTERVAL === 0) this._crash(now)
      this._stopInstances(now)
      const demand = (6 * this._settings.rate + 2 * this._settings.instances) * STEP / MILLISECONDS_PER_SECOND
      for (let wanted = demand; wanted > 0; wanted--) {
        if (this._random.next() < wanted) this._send(this._random.pick(this._fleet), now)
      }
      if (now % HEARTBEAT_INTERVAL === 0) this._sendHeartbeats(now)
    }
    return this
  }

  /** The most requests at a cold replica that were sent and arrived within one second. */
  get mostInWindow (): number {
    return Math.max(0, ...this._arrivals.map(({ sentAt: begin }) => (
      this._arrivals.filter(({ sentAt, at }) => sentAt >= begin && at < begin + MILLISECONDS_PER_SECOND).length)))
  }

  /** Requests at cold replicas as a share of what they accept. */
  get usedShare (): number {
    const starts = Math.floor((LENGTH - FIRST_CRASH) / CRASH_INTERVAL)
    return this._arrivals.length / (starts * this._settings.rate * COLD_FOR / MILLISECONDS_PER_SECOND)
  }

  private _newState (name: string): ColdReplicas {
    const state = new ColdReplicas(name)
    state.configure([{ name: 's', coldFor: COLD_FOR, coldRate: this._settings.rate }])
    return state
  }

  private _runOf (count: number, startedAt: Milliseconds, coldLeft: number | undefined): Replica {
    const id = this._settings.faults.keepsId === true ? 'r' : `r${count}`
    return {
      id, service: 's', address: '10.0.0.1:1', zone: 'z', slots: 8, isDraining: false, weightVersions: {}, startedAt, coldLeft
    }
  }

  private _list (instance: Instance, run: Replica, now: Milliseconds): void {
    instance.listed = run
    instance.state.onListing([run], instance.names, now)
  }

  private _schedule (at: Milliseconds, action: (at: Milliseconds) => void): void {
    const step = Math.ceil(at / STEP)
    const actions = this._scheduled.get(step) ?? []
    actions.push(() => { action(step * STEP) })
    this._scheduled.set(step, actions)
  }

  /** The run ends, so that all connections break, and another one begins within a second. Instances read of it one by one. */
  private _crash (now: Milliseconds): void {
    const random = this._random
    this._isDown = true
    for (const instance of this._fleet) this._suspect(instance, now)
    const startsAt = Math.ceil((now + 100 + random.integer(900)) / STEP) * STEP
    this._schedule(startsAt, () => {
      this._run = this._runOf(startsAt, startsAt, this._settings.faults.statements === true ? COLD_FOR : undefined)
      this._startedAt = startsAt
      this._isDown = false
      const run = this._run
      for (const instance of this._fleet) {
        const readsAt = startsAt + REGISTRATION_LAG + random.integer(1_000) + (instance.isCut ? 1_500 : 0)
        if (instance.isCut && this._settings.faults.keepsId === true) continue
        const read = (at: Milliseconds): void => {
          if (at < instance.stoppedUntil) this._schedule(instance.stoppedUntil + STEP, read)
          else if (run === this._run) this._list(instance, run, at)
        }
        this._schedule(readsAt, read)
      }
    })
  }

  private _suspect (instance: Instance, now: Milliseconds): void {
    if (now >= instance.stoppedUntil) instance.state.suspect(instance.listed.id, 'restart-suspected', now)
    else this._schedule(instance.stoppedUntil, at => { instance.state.suspect(instance.listed.id, 'restart-suspected', at) })
  }

  private _stopInstances (now: Milliseconds): void {
    const { restarts, freezes } = this._settings.faults
    const random = this._random
    const happens = (): boolean => random.next() < STEP / MILLISECONDS_PER_SECOND
    if (freezes === true && happens()) random.pick(this._fleet).stoppedUntil = now + 300 + random.integer(4_000)
    if (restarts !== true || !happens()) return
    const instance = random.pick(this._fleet)
    const { names } = instance
    instance.stoppedUntil = now + 400 + random.integer(600)
    instance.state = this._newState(instance.name)
    instance.names = undefined
    this._schedule(instance.stoppedUntil + STEP, at => {
      // Its first listing says how long a run that is cold still is; without that a run would count as warm.
      const left = Math.max(0, this._startedAt + COLD_FOR - at)
      this._list(instance, { ...this._run, coldLeft: left }, at)
    })
    this._schedule(instance.stoppedUntil + random.integer(1_000), () => { instance.names = names })
  }

  private _send (instance: Instance, now: Milliseconds): void {
    const { state, listed, names } = instance
    if (now < instance.stoppedUntil || state.nextSendAt(listed, names, now) > now) return
    state.onSent(listed, now)
    this._schedule(now + this._random.integer(100), at => {
      if (this._isDown) return this._suspect(instance, at)
      // A request to another id is answered 421.
      if (listed.id !== this._run.id) return
      const left = Math.max(0, this._startedAt + COLD_FOR - at)
      // What was sent to the former run has ended with its connection.
      if (left > 0 && now >= this._startedAt) this._arrivals.push({ sentAt: now, at })
      if (this._settings.faults.statements === true) state.onAnswer(listed, left, now, at)
    })
  }

  private _sendHeartbeats (now: Milliseconds): void {
    for (const { state, stoppedUntil } of this._fleet) {
      const updates = now < stoppedUntil ? [] : state.updates(now)
      if (updates.length === 0) continue
      this._schedule(now + 20 + this._random.integer(300), at => {
        for (const other of this._fleet) {
          if (other.state === state || at < other.stoppedUntil) continue
          for (const update of updates) other.state.receive(update, at)
        }
      })
    }
  }
}

const cases: { title: string, faults: Fleet['faults'] }[] = [
  // A cold server got 19 requests in one second from 36 instances; 17 were allowed (rate 8).
  { title: 'it returns under another id, of which instances learn at different times', faults: {} },
  { title: 'it returns under its id', faults: { keepsId: true } },
  { title: 'it states how long it stays cold', faults: { statements: true, keepsId: true } },
  { title: 'a part of the fleet reads the store late', faults: { storeCut: true } },
  { title: 'an instance knows half of the fleet', faults: { views: true } },
  { title: 'instances restart and freeze', faults: { restarts: true, freezes: true } },
  { title: 'all of these faults happen', faults: { statements: true, storeCut: true, views: true, restarts: true, freezes: true } }
]
const sizes: [instances: number, rate: number][] = [[1, 8], [4, 10], [7, 8], [34, 0.5], [36, 8], [36, 10], [128, 8], [340, 10]]
for (const { title, faults } of cases) {
  test(`should keep to the rate of a cold replica over all instances where ${title}`, () => {
    for (const [instances, rate] of sizes) {
      for (let seed = 1; seed <= SEEDS; seed++) {
        const most = new ColdReplay({ instances, rate, seed, faults }).play().mostInWindow
        assert.ok(most <= rate * OVERSHOOT + SLACK, `${instances} instances, ${rate} a second, seed ${seed}: ${most} in a second`)
      }
    }
  })
}

for (const [instances, rate] of sizes.filter(([, perSecond]) => perSecond >= 8)) {
  // Guards against a bound that is kept by sending too little.
  test(`should use most of the ${rate} a second that a cold replica accepts from ${instances} instances`, () => {
    const { usedShare } = new ColdReplay({ instances, rate, seed: 1, faults: { keepsId: true } }).play()
    assert.ok(usedShare >= LEAST_USED_SHARE, `only ${usedShare} was used`)
  })
}

// Verifies the check itself.
test('should notice that each instance takes the whole rate', () => {
  const { mostInWindow } = new ColdReplay({ instances: 36, rate: 8, seed: 1, faults: {}, isUndivided: true }).play()
  assert.ok(mostInWindow > 8 * OVERSHOOT + SLACK, `${mostInWindow} in a second`)
})

test.run()
