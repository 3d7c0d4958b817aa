/** A request that crashes replicas, sent again and again through a fleet whose instances restart and are cut off. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom, type Milliseconds } from '../common/index.js'
import { RepeatedCrashes } from './index.js'

const REQUEST = 'f'
const INSTANCES = 5
const SEEDS = 50
const STEP: Milliseconds = 50
const LENGTH: Milliseconds = 50_000
const HEARTBEAT_INTERVAL: Milliseconds = 250
const READ_INTERVAL: Milliseconds = 1_000
const WRITE_INTERVAL: Milliseconds = 500
/** Replicas come back after some seconds. */
const SEND_INTERVAL: Milliseconds = 2_000
/** Whoever was undisturbed for so long must know; the same time is given from the third crash on. */
const CONTACT: Milliseconds = 3_000
const CRASHES_TO_STOP = 3
const MOST_LATE_SENDS = 3

interface Run {
  crashes: RepeatedCrashes
  startsAt: Milliseconds
  /** Neither peers nor the store are reached until then. */
  cutUntil: Milliseconds
}

type Disturb = (fleet: CrashReplay, now: Milliseconds) => void

class CrashReplay {
  readonly runs: Run[] = []
  /** Sends by instances that were undisturbed, later than they had to know. */
  lateSends = 0
  /** Written at, by request. */
  private readonly _records = new Map<string, Milliseconds>()
  private _thirdCrashAt = Infinity
  private _crashes = 0

  constructor (readonly random: SeededRandom, private readonly _disturb: Disturb) {
    for (let index = 0; index < INSTANCES; index++) this.start(index, 0)
  }

  start (index: number, at: Milliseconds): void {
    this.runs[index] = { crashes: new RepeatedCrashes(), startsAt: at, cutUntil: at }
  }

  play (): void {
    for (let now = 0; now < LENGTH; now += STEP) {
      this._disturb(this, now)
      const reachable = this.runs.filter(run => now >= run.startsAt && now >= run.cutUntil)
      for (const run of reachable) this._exchange(run, reachable, now)
      if (now % SEND_INTERVAL === 0) this._send(now)
    }
  }

  private _exchange (run: Run, reachable: readonly Run[], now: Milliseconds): void {
    const age = now - run.startsAt
    if (age % HEARTBEAT_INTERVAL === 0) {
      const others = reachable.filter(other => other !== run)
      for (const report of run.crashes.news(now)) for (const { crashes } of others) crashes.hear(report, now)
    }
    if (age % WRITE_INTERVAL === 0) {
      for (const fingerprint of run.crashes.unwrittenStops(now)) {
        this._records.set(fingerprint, this._records.get(fingerprint) ?? now)
        run.crashes.onStopWritten(fingerprint)
      }
    }
    // An instance that hears its peers does not read the store again for a key of our own.
    const isOwnRead = age === 0 || now - run.cutUntil < READ_INTERVAL
    if (isOwnRead) run.crashes.hearStops([...this._records].map(([fingerprint, revision]) => ({ fingerprint, revision })), now)
  }

  private _send (now: Milliseconds): void {
    const run = this.random.pick(this.runs)
    if (now < run.startsAt || run.crashes.isStopped(REQUEST, now)) return
    const isUndisturbed = now - run.startsAt >= CONTACT && now - run.cutUntil >= CONTACT
    if (isUndisturbed && now - this._thirdCrashAt > CONTACT) this.lateSends += 1
    this._crashes += 1
    if (this._crashes === CRASHES_TO_STOP) this._thirdCrashAt = now
    run.crashes.record({ fingerprint: REQUEST, replicaRun: `r/${this._crashes}` }, now)
  }
}

const disturbances: { title: string, disturb: Disturb }[] = [
  { title: 'where nothing happens', disturb: () => {} },
  {
    title: 'when every process restarts after it was stopped, each by itself',
    disturb: (fleet, now) => { if (now >= 10_000 && now % 5_000 === 0) fleet.start(now / 5_000 % INSTANCES, now) }
  },
  {
    title: 'when all processes restart again and again after it was stopped',
    disturb: (fleet, now) => {
      if (now >= 10_000 && now % 10_000 === 0) for (let index = 0; index < INSTANCES; index++) fleet.start(index, now)
    }
  },
  {
    title: 'when each instance is cut off from the others while it crashes replicas',
    disturb: (fleet, now) => {
      if (now === 0) for (const run of fleet.runs) run.cutUntil = 4_000 + fleet.random.integer(4) * 4_000
    }
  }
]
// A process that started, or was cut off while crashes were told, sent a stopped request to three more replicas (issue 14).
for (const { title, disturb } of disturbances) {
  test(`should send a request that crashes replicas to few more ${title}`, () => {
    const worst = Math.max(...Array.from({ length: SEEDS }, (_, seed) => {
      const replay = new CrashReplay(new SeededRandom(seed), disturb)
      replay.play()
      return replay.lateSends
    }))
    assert.ok(worst <= MOST_LATE_SENDS, `${worst} sends after it had to be known`)
  })
}

test('should take back a stop after the request ran whole, though the store still lists it', () => {
  const crashes = new RepeatedCrashes()
  const listing = [{ fingerprint: 'f', revision: 7 }]
  crashes.hearStops(listing, 0)
  assert.is(crashes.isStopped('f', 1), true)
  crashes.clear('f')
  assert.equal(crashes.takeLiftedStops(), ['f'])
  crashes.hearStops(listing, 2)
  assert.is(crashes.isStopped('f', 3), false)
  crashes.hearStops([{ fingerprint: 'f', revision: 9 }], 4)
  assert.is(crashes.isStopped('f', 5), true)
})

test('should forget a listed stop after a crash\'s lifetime, though its own copy of the store is older', () => {
  const crashes = new RepeatedCrashes()
  crashes.hearStops([{ fingerprint: 'f', revision: 7 }], 0)
  crashes.hearStops([{ fingerprint: 'f', revision: 7 }], 50_000)
  assert.equal([60_000, 60_001].map(now => crashes.isStopped('f', now)), [true, false])
})

test('should have a stop written by those that counted a crash of it, until it is written', () => {
  const [own, other] = [new RepeatedCrashes(), new RepeatedCrashes()]
  for (const replicaRun of ['a/1', 'b/1', 'c/1']) {
    own.record({ fingerprint: 'f', replicaRun }, 0)
    other.hear({ fingerprint: 'f', replicaRun }, 0)
  }
  assert.equal([own.unwrittenStops(1), other.unwrittenStops(1)], [['f'], []])
  own.onStopWritten('f')
  assert.equal(own.unwrittenStops(2), [])
})

test.run()
