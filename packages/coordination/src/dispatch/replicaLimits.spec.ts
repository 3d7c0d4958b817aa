import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'
import { RetryDelays, RatePacer, ReplicaLimits } from './index.js'

const replica = (change: Partial<Replica> = {}): Replica => ({
  id: 'r', service: 's', address: '10.0.0.1:1', zone: 'z', slots: 8, isDraining: false, weightVersions: {}, startedAt: 1, ...change
})
const ALONE = ['self']

type Answer = [rate: number | undefined, sentAt: Milliseconds, receivedAt: Milliseconds]

const statements: { title: string, answers: Answer[], expected: number | undefined }[] = [
  { title: 'the rate that it stated', answers: [[2, 0, 10]], expected: 2 },
  { title: 'no rate if it never stated one', answers: [[undefined, 0, 10]], expected: undefined },
  { title: 'the end of the limit, stated in an answer to a later request', answers: [[2, 0, 10], [undefined, 20, 30]], expected: undefined },
  { title: 'the rate, although an earlier answer is received after it', answers: [[2, 5, 10], [undefined, 4, 30]], expected: 2 },
  { title: 'a higher rate stated in an answer to a later request', answers: [[2, 0, 10], [3, 20, 30]], expected: 3 },
  { title: 'the lower of two rates whose order is not known', answers: [[2, 0, 10], [3, 0, 11]], expected: 2 },
  { title: 'a lower rate at once', answers: [[2, 20, 30], [1, 0, 31]], expected: 1 },
  { title: 'a rate stated again after its end', answers: [[2, 0, 10], [undefined, 20, 30], [2, 40, 50]], expected: 2 }
]
for (const { title, answers, expected } of statements) {
  test(`should record for a replica ${title}`, () => {
    const limits = new ReplicaLimits('self')
    for (const answer of answers) limits.onAnswer(replica(), ...answer)
    assert.is(limits.rateOf(replica()), expected)
  })
}

interface ReceivedUpdate {
  rate: number | undefined
  heardAge: Milliseconds
  sentAge: Milliseconds
  at: Milliseconds
}

const receivedUpdates: { title: string, own: Answer[], news: ReceivedUpdate[], expected: number | undefined }[] = [
  { title: 'a rate', own: [], news: [{ rate: 2, heardAge: 5, sentAge: 50, at: 100 }], expected: 2 },
  { title: 'nothing older than its own answer', own: [[undefined, 0, 1], [3, 80, 90]], news: [{ rate: 2, heardAge: 50, sentAge: 60, at: 100 }], expected: 3 },
  { title: 'an end that surely came after its own answer', own: [[3, 0, 10]], news: [{ rate: undefined, heardAge: 0, sentAge: 20, at: 2_000 }], expected: undefined },
  { title: 'no end that may have come before its own answer', own: [[3, 0, 10]], news: [{ rate: undefined, heardAge: 0, sentAge: 20, at: 900 }], expected: 3 }
]
for (const { title, own, news, expected } of receivedUpdates) {
  test(`should accept from another instance ${title}`, () => {
    const limits = new ReplicaLimits('self')
    for (const answer of own) limits.onAnswer(replica(), ...answer)
    for (const { at, ...statement } of news) limits.receive({ run: 'r/1', ...statement }, at)
    assert.is(limits.rateOf(replica()), expected)
  })
}

test('should report only its own answers to other instances, for a while', () => {
  const limits = new ReplicaLimits('self')
  limits.receive({ run: 'other/1', rate: 1, heardAge: 0, sentAge: 10 }, 0)
  limits.onAnswer(replica(), 2, 0, 10)
  assert.equal(limits.updates(1_010), [{ run: 'r/1', rate: 2, heardAge: 1_000, sentAge: 1_010 }])
  limits.onAnswer(replica(), undefined, 1_020, 1_030)
  assert.equal(limits.updates(1_030).map(({ rate }) => rate), [undefined])
  assert.equal(limits.updates(4_100), [])
})

interface PlaceCase {
  title: string
  rate: number
  instances: readonly string[] | undefined
  change?: Partial<Replica>
  expected: (at: Milliseconds) => boolean
}

const places: PlaceCase[] = [
  { title: 'after one interval of the rate', rate: 2, instances: ALONE, expected: at => at === 500 },
  { title: 'never while the instances are unknown', rate: 2, instances: undefined, expected: at => at === Infinity },
  { title: 'never at a rate of zero', rate: 0, instances: ALONE, expected: at => at === Infinity },
  { title: 'at once at a rate beyond any load', rate: 1e12, instances: ALONE, expected: at => at < 0.001 },
  { title: 'at once to a replica that restarted under its id', rate: 2, instances: ALONE, change: { startedAt: 2 }, expected: at => at === -Infinity }
]
for (const { title, rate, instances, change, expected } of places) {
  test(`should allow the first send ${title}`, () => {
    const limits = new ReplicaLimits('self')
    limits.onAnswer(replica(), rate, 0, 0)
    const at = limits.nextSendAt(replica(change), instances, 0)
    assert.ok(expected(at), String(at))
  })
}

test('should reserve each send once, and later ones in advance', () => {
  const limits = new ReplicaLimits('self')
  limits.onAnswer(replica(), 2, 0, 0)
  assert.equal([0, 0, 0].map(now => limits.reserveSend(replica(), ALONE, now)), [500, 1_000, 1_500])
  assert.is(limits.nextSendAt(replica(), ALONE, 100), 2_000)
})

test('should let a few instances own a low rate, the same ones from the view of each', () => {
  const names = Array.from({ length: 34 }, (_, index) => `i${index}`)
  const owners = names.filter(name => {
    const limits = new ReplicaLimits(name)
    limits.onAnswer(replica(), 1.2, 0, 0)
    return Number.isFinite(limits.nextSendAt(replica(), names, 0))
  })
  assert.is(owners.length, 3)
})

// Instances that own no share of a rate get no answers, and could never learn that the limit has ended.
test('should probe a limit that no instance received an answer about for long, all instances together within the rate', () => {
  const names = Array.from({ length: 40 }, (_, index) => `i${index}`)
  const fleet = names.map(name => new ReplicaLimits(name))
  for (const limits of fleet) limits.receive({ run: 'r/1', rate: 0, heardAge: 0, sentAge: 0 }, 0)
  const trials: Milliseconds[] = []
  for (let now = 0; now < 300_000; now += 100) {
    for (const limits of fleet) {
      if (limits.nextSendAt(replica(), names, now) > now) continue
      limits.reserveSend(replica(), names, now)
      trials.push(now)
    }
  }
  const most = Math.max(...trials.map(begin => trials.filter(at => at >= begin && at < begin + 4_000).length))
  assert.ok((trials[0] ?? 0) >= 10_000 && trials.length >= 10, `${trials.length} trials from ${trials[0]} on`)
  assert.ok(most <= 5, `${most} trials within 4 s`)
})

test('should retain a bounded number of replicas, the latest ones', () => {
  const limits = new ReplicaLimits('self')
  for (let startedAt = 1; startedAt <= 5_000; startedAt++) limits.onAnswer(replica({ startedAt }), 2, startedAt, startedAt)
  assert.equal([1, 5_000].map(startedAt => limits.rateOf(replica({ startedAt }))), [undefined, 2])
})

test('should keep to a rate that goes up and down', () => {
  const pacer = new RatePacer()
  const sent: Milliseconds[] = []
  for (let now = 0; now < 10_000; now += 10) {
    pacer.configure(now % 1_000 < 500 ? 100 : 1_000, 1.5, now)
    if (pacer.nextAt > now) continue
    pacer.reserve(now)
    sent.push(now)
  }
  assert.ok(sent.length <= 10 * 6, `${sent.length} sent, of 5 in each fast half of a second`)
})

test('should give refused callers different retry delays, up to the maximum delay', () => {
  const times = new RetryDelays()
  assert.equal([1, 2, 3].map(() => times.next('s', 2, 4, 0)), [2_000, 4_000, 6_000])
  assert.is(times.next('s', 2, 4, 100_000), 2_000, 'a new queue')
  assert.is(times.next('other', 0.001, 4, 0), 30_000)
  assert.is(times.next('none', 0, 4, 0), 30_000)
})

test.run()
