/** Replays of the pace without a network: what one instance decides, and what all of them send together. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { rankByRendezvous, SeededRandom, type Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'
import { heartbeatSchema } from '../fronts/index.js'
import { ReplicaHealth, SharedServerPace, type AnswerTime, type PaceCause, type PacedEnd, type PaceUpdate } from './index.js'

const REPLICA: Replica = {
  id: 'r', service: 's', address: '10.0.0.1:1', zone: 'z', slots: 48, isDraining: false, weightVersions: {}, startedAt: 1
}
const PEER: Replica = { ...REPLICA, id: 'peer' }
const SELF = ['self']
const FAST: AnswerTime = { elapsed: 100, expected: undefined, objective: 1_000 }
const SLOW: AnswerTime = { ...FAST, elapsed: 400 }
const makePace = (name = 'self'): SharedServerPace => new SharedServerPace(name, { heartbeatInterval: 250 })

function begun (cause: PaceCause = 'started'): SharedServerPace {
  const pace = makePace()
  pace.begin(REPLICA, cause, 0)
  pace.maySend(REPLICA, SELF, 0)
  for (let index = 0; index < 20; index++) pace.onFirstByte(PEER, undefined, FAST, 0)
  return pace
}

/** Sends one request that is answered after its time, and ends. */
function exchange (pace: SharedServerPace, time: AnswerTime, end: PacedEnd, now: Milliseconds): void {
  const send = pace.onSent(REPLICA, now)
  if (end === 'answered') pace.onFirstByte(REPLICA, send, time, now + time.elapsed)
  pace.onEnd(REPLICA, send, end, now, now + time.elapsed)
}

const first: { cause: PaceCause, window: number }[] = [
  { cause: 'started', window: 4 }, { cause: 'weights-loaded', window: 4 }, { cause: 'unreachable', window: 2 },
  { cause: 'links-returned', window: 24 }
]
for (const { cause, window } of first) {
  test(`should begin with ${window} requests where the cause is ${cause}`, () => {
    const pace = begun(cause)
    assert.is(pace.windowOf(REPLICA), window)
    for (let sent = 0; sent < window; sent++) {
      assert.ok(pace.maySend(REPLICA, SELF, 0), `request ${sent}`)
      pace.onSent(REPLICA, 0)
    }
    assert.not(pace.maySend(REPLICA, SELF, 0))
  })
}

// Guards against a flood of fast refusals: a window of requests in flight alone limits no rate.
test('should count a request for half a second that was refused at once', () => {
  const pace = begun()
  for (let sent = 0; sent < 4; sent++) pace.onEnd(REPLICA, pace.onSent(REPLICA, 0), 'inconclusive', 0, 5)
  assert.equal([499, 500].map(now => pace.maySend(REPLICA, SELF, now)), [false, true])
})

const answers: { title: string, times: AnswerTime[], end?: PacedEnd, window: number | undefined }[] = [
  { title: 'double after an answer as fast as those of its peers', times: [FAST], window: 8 },
  { title: 'end where it limits nothing any more', times: Array<AnswerTime>(8).fill(FAST), window: undefined },
  { title: 'stay after one slow answer', times: [SLOW], window: 4 },
  { title: 'shrink after two slow answers', times: [SLOW, SLOW], window: 2 },
  { title: 'stay where answers are somewhat slower than those of its peers', times: Array<AnswerTime>(5).fill({ ...FAST, elapsed: 200 }), window: 4 },
  { title: 'grow by few where it was slow before', times: [FAST, FAST, SLOW, SLOW, FAST, FAST], window: 18 },
  { title: 'shrink after a refusal', times: [FAST], end: 'refused', window: 2 },
  { title: 'keep one request after many refusals', times: Array<AnswerTime>(9).fill(FAST), end: 'refused', window: 1 },
  { title: 'keep two requests where trials fail', times: Array<AnswerTime>(9).fill(FAST), end: 'unreachable', window: 2 },
  { title: 'stay after an end that says nothing of the replica', times: [FAST], end: 'inconclusive', window: 4 }
]
for (const { title, times, end = 'answered', window } of answers) {
  test(`should ${title}`, () => {
    const pace = begun()
    for (const [index, time] of times.entries()) exchange(pace, time, end, 1_000 * (index + 1))
    assert.equal([pace.windowOf(REPLICA), pace.isEmpty], [window, window === undefined])
  })
}

const silences: { title: string, ends: [PacedEnd, sentAt: number, at: number][], window: number | undefined }[] = [
  { title: 'was silent for a second', ends: [['unreachable', 0, 600], ['unreachable', 500, 1_100]], window: undefined },
  { title: 'was unreachable for longer', ends: [['unreachable', 0, 600], ['unreachable', 900, 1_500]], window: 2 },
  { title: 'answered in between', ends: [['unreachable', 0, 600], ['answered', 500, 700], ['unreachable', 900, 1_500]], window: undefined }
]
for (const { title, ends, window } of silences) {
  test(`should ${window === undefined ? 'not limit' : 'limit'} a replica that ${title}`, () => {
    const pace = makePace()
    for (const [end, sentAt, at] of ends) pace.onEnd(REPLICA, pace.onSent(REPLICA, sentAt), end, sentAt, at)
    assert.is(pace.windowOf(REPLICA), window)
  })
}

const again: { title: string, causes: [PaceCause, at: number][], window: number | undefined }[] = [
  { title: 'keep the pace of a start while other causes follow', causes: [['started', 0], ['links-returned', 9_000], ['unreachable', 9_000]], window: 4 },
  { title: 'use half of the slots of a replica that was unreachable by own links', causes: [['unreachable', 0], ['links-returned', 9_000]], window: 24 },
  { title: 'begin for all once weights are loaded', causes: [['unreachable', 0], ['weights-loaded', 900]], window: 4 },
  { title: 'begin once where two instances tell of the same load', causes: [['weights-loaded', 0], ['weights-loaded', 900]], window: 4 }
]
for (const { title, causes, window } of again) {
  test(`should ${title}`, () => {
    const pace = makePace()
    for (const [cause, at] of causes) pace.begin(REPLICA, cause, at)
    assert.equal([pace.windowOf(REPLICA), pace.size], [window, 1])
  })
}

// Guards against the limit of a former run that applies to the one after it, or is never removed.
test('should limit each run of a replica by itself', () => {
  const pace = begun()
  const next = { ...REPLICA, startedAt: 2 }
  assert.equal([pace.windowOf(next), pace.maySend(next, ['other'], 0)], [undefined, true])
  pace.begin(next, 'started', 0)
  pace.forget(REPLICA)
  assert.equal([pace.windowOf(REPLICA), pace.windowOf(next), pace.size], [undefined, 4, 1])
})

const update = (change: Partial<PaceUpdate>): PaceUpdate => (
  { replicaId: 'r', startedAt: 1, epoch: 0, window: 8, age: 0, isForAll: true, ...change })
const received: { title: string, cause?: PaceCause, change: Partial<PaceUpdate>, window: number | undefined }[] = [
  { title: 'adopt a larger window of a peer', cause: 'started', change: {}, window: 8 },
  { title: 'keep its window where a peer has a smaller one', cause: 'started', change: { window: 2 }, window: 4 },
  { title: 'adopt a window that a peer has lowered', cause: 'started', change: { epoch: 1, window: 2 }, window: 2 },
  { title: 'end where it has ended at a peer', cause: 'started', change: { window: undefined }, window: undefined },
  { title: 'begin where a peer knows of a start', change: {}, window: 8 },
  // What one instance sees may be due to its own links.
  { title: 'not begin where only a peer takes the replica for unreachable', change: { isForAll: false }, window: undefined },
  { title: 'adopt what a peer learned of a replica that both took for unreachable', cause: 'unreachable', change: { isForAll: false }, window: 8 }
]
for (const { title, cause, change, window } of received) {
  test(`should ${title}`, () => {
    const pace = makePace()
    if (cause !== undefined) pace.begin(REPLICA, cause, 0)
    pace.receive(REPLICA, update(change), 100)
    assert.equal([pace.windowOf(REPLICA), pace.size], [window, window === undefined ? 0 : 1])
  })
}

test('should not begin again by an older update after it has ended', () => {
  const pace = begun()
  pace.receive(REPLICA, update({ window: undefined }), 100)
  pace.receive(REPLICA, update({}), 200)
  pace.begin(REPLICA, 'started', 300)
  assert.ok(pace.isEmpty)
})

// Guards against replicas that stay limited since the owners of their parts have no requests for the service.
test('should grow while nobody learns anything, and end', () => {
  const pace = begun()
  for (let now = 0; now <= 40_000; now += 500) pace.tick(now)
  assert.ok(pace.isEmpty)
})

// Guards against heartbeats that are dropped as a whole since a build reads the field in another way, or does not send it.
const fields: { title: string, paces: unknown, expected: unknown }[] = [
  { title: 'of an older build', paces: undefined, expected: undefined },
  { title: 'with a pace and an end', paces: [['r', 1, 0, 8, 20, true], ['q', 1, 2, null, 0, false]], expected: [['r', 1, 0, 8, 20, true], ['q', 1, 2, null, 0, false]] },
  { title: 'with a negative window', paces: [['r', 1, 0, -8, 20, true]], expected: undefined },
  { title: 'with text for paces', paces: 'none', expected: undefined }
]
for (const { title, paces, expected } of fields) {
  test(`should read a heartbeat ${title}`, () => {
    const from = { name: 'n', incarnation: 1, isLeaving: false }
    const heartbeat = {
      from, isReady: true, named: [], loads: {}, sent: [], stores: [], fetched: [], loading: [], loaded: [], crashes: [], paces
    }
    assert.equal(heartbeatSchema.parse(heartbeat).paces, expected)
  })
}

interface Member {
  name: string
  names: string[]
  pace: SharedServerPace
  open: { endsAt: Milliseconds, send: NonNullable<ReturnType<SharedServerPace['onSent']>> }[]
}

/**
 * Each instance sends as much as its pace allows, while windows differ: updates are lost, and answers are fast, slow or refused.
 * @returns the largest excess of the requests at the replica over the largest window that any instance has assumed so far. Each
 * instance that another one does not know of allows for one more part.
 */
function largestExcess (seed: number, isDivided: boolean): number {
  const random = new SeededRandom(seed)
  const size = 1 + random.integer(340)
  const all = Array.from({ length: size }, (_, index) => `i${index}`)
  const unknown = random.next() < 0.5 ? 0 : random.integer(Math.min(8, size))
  const fleet = all.map((name, index): Member => {
    const names = index < size / 2 ? all : all.filter((other, rank) => rank >= unknown || other === name)
    return { name, names: isDivided ? names : [name], pace: makePace(name), open: [] }
  })
  for (const { pace } of fleet) pace.begin(REPLICA, 'started', 0)
  let worst = -Infinity
  let largest = 0
  for (let now = 0; now < 6_000; now += 250) {
    for (const { pace, open } of fleet) {
      for (const { send } of open.filter(({ endsAt }) => endsAt <= now)) {
        const chance = random.next()
        if (chance < 0.6) pace.onFirstByte(REPLICA, send, { ...FAST, elapsed: now - send.sentAt }, now)
        pace.onEnd(REPLICA, send, chance < 0.95 ? 'answered' : 'refused', send.sentAt, now)
      }
    }
    for (const member of fleet) member.open = member.open.filter(({ endsAt }) => endsAt > now)
    for (const { pace } of fleet.filter(() => random.next() < 0.1)) {
      const updates = pace.updates(now)
      for (const other of fleet) {
        if (random.next() < 0.7) for (const change of updates) other.pace.receive(REPLICA, change, now)
      }
    }
    // Where an instance has ended the pace, the sum is not limited any more.
    if (fleet.some(({ pace }) => pace.isEmpty)) return worst
    for (const { pace, names, open } of fleet) {
      while (pace.maySend(REPLICA, names, now)) {
        const send = pace.onSent(REPLICA, now)
        if (send === undefined) break
        open.push({ send, endsAt: now + 250 + 250 * random.integer(8) })
      }
    }
    largest = Math.max(largest, ...fleet.map(({ pace }) => pace.windowOf(REPLICA) ?? 0))
    const atReplica = fleet.reduce((sum, { open }) => sum + open.length, 0)
    worst = Math.max(worst, atReplica - largest - unknown * (1 + Math.floor(largest / (size - unknown))))
  }
  return worst
}

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1)
test('should keep the requests of all instances together within the largest window that one of them assumes', () => {
  for (const seed of SEEDS) assert.ok(largestExcess(seed, true) <= 0, `seed ${seed}`)
})

// Verifies the check itself.
test('should exceed the window without the division between instances', () => {
  assert.ok(SEEDS.some(seed => largestExcess(seed, false) > 0))
})

/**
 * A replica is unreachable for all instances for a while, and for a part of them for good.
 * @returns trials in a second while it was unreachable for all, and how many instances limit it afterwards though they reach it
 */
function trialsOf (size: number, isPaced: boolean, cutOff: number): { perSecond: number, stillLimited: number } {
  const random = new SeededRandom(size)
  // Those that are cut off would be the owners of the trials if the owners did not change.
  const names = rankByRendezvous('r/1', Array.from({ length: size }, (_, index) => `i${index}`))
  const fleet = names.map((name, index) => ({ pace: makePace(name), health: new ReplicaHealth(), isCutOff: index < cutOff }))
  const answers: { at: Milliseconds, answer: () => void }[] = []
  let trials = 0
  for (let now = 0; now < 70_000; now += 100) {
    while (answers[0] !== undefined && answers[0].at <= now) answers.shift()?.answer()
    for (const { pace, health, isCutOff } of fleet) {
      const maySend = !isPaced || pace.maySend(REPLICA, names, now)
      if (random.next() < 0.5 || health.isExcluded('r', now) || !maySend) continue
      if (now > 10_000 && now < 30_000) trials += 1
      const isAnswered = now >= 30_000 && !isCutOff
      const send = pace.onSent(REPLICA, now)
      health.onSend('r')
      answers.push({
        at: now + 300,
        answer: () => {
          health.record('r', isAnswered ? 'answered' : 'unreachable', now + 300)
          if (isAnswered) pace.onFirstByte(REPLICA, send, FAST, now + 300)
          pace.onEnd(REPLICA, send, isAnswered ? 'answered' : 'unreachable', now, now + 300)
        }
      })
    }
    if (now % 500 === 0) for (const { pace } of fleet) pace.tick(now)
    if (now % 1_000 !== 0) continue
    for (const sender of fleet) {
      for (const news of sender.pace.updates(now)) for (const { pace } of fleet) pace.receive(REPLICA, news, now)
    }
  }
  return { perSecond: trials / 20, stillLimited: fleet.filter(({ pace, isCutOff }) => !isCutOff && !pace.isEmpty).length }
}

// Guards against a trial by each of 340 instances every few seconds, and against waiting for instances that are cut off.
const outages = [{ size: 4, cutOff: 0 }, { size: 34, cutOff: 12 }, { size: 340, cutOff: 0 }, { size: 340, cutOff: 120 }]
for (const { size, cutOff } of outages) {
  test(`should try an unreachable replica seldom over ${size} instances, and find that ${size - cutOff} reach it again`, () => {
    const { perSecond, stillLimited } = trialsOf(size, true, cutOff)
    assert.ok(perSecond <= 4, `${perSecond} trials a second; without a pace ${trialsOf(size, false, cutOff).perSecond}`)
    assert.is(stillLimited, 0)
  })
}

test.run()
