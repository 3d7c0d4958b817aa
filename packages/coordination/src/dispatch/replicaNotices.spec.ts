import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Replica } from '../catalog/index.js'
import { ReplicaNotices } from './index.js'

const replica = (change: Partial<Replica> = {}): Replica => ({
  id: 'r', service: 's', address: '10.0.0.1:1', zone: 'z', slots: 8, isDraining: false, weightVersions: {}, startedAt: 1, ...change
})

const closures: { title: string, given: [delay: number, at: number][], asked: [now: number, isClosed: boolean][] }[] = [
  { title: 'until the end of the stated delay', given: [[1_500, 0]], asked: [[0, true], [1_499, true], [1_500, false]] },
  { title: 'until the latest of two ends, whichever answer came first', given: [[2_000, 0], [100, 10]], asked: [[1_999, true], [2_000, false]] },
  { title: 'not at all if it stated no delay', given: [[0, 0]], asked: [[0, false]] }
]
for (const { title, given, asked } of closures) {
  test(`should keep a replica closed ${title}`, () => {
    const notices = new ReplicaNotices()
    for (const [delay, at] of given) notices.onRetryAfter(replica(), delay, at)
    for (const [now, isClosed] of asked) assert.is(notices.isClosed(replica(), now), isClosed, `at ${now}`)
  })
}

const runs: { title: string, change: Partial<Replica>, isClosed: boolean }[] = [
  { title: 'keep a leaving replica closed for good', change: {}, isClosed: true },
  { title: 'keep it closed even if an outdated registration says that it is not draining', change: { isDraining: false, slots: 9 }, isClosed: true },
  { title: 'open a replica that left and restarted under its id', change: { startedAt: 2 }, isClosed: false },
  { title: 'keep other replicas open', change: { id: 'other' }, isClosed: false }
]
for (const { title, change, isClosed } of runs) {
  test(`should ${title}`, () => {
    const notices = new ReplicaNotices()
    notices.onLeaving(replica(), 0)
    notices.onRetryAfter(replica(), 500, 0)
    assert.is(notices.isClosed(replica(change), 3_600_000), isClosed)
  })
}

test('should report a leaving replica to other instances for a while, and not relay their reports', () => {
  const notices = new ReplicaNotices()
  assert.equal([notices.onLeaving(replica(), 0), notices.onLeaving(replica(), 10)], [true, false])
  assert.equal([notices.receive('other/1', 10), notices.receive('other/1', 20)], [true, false])
  assert.equal([notices.updates(2_900), notices.updates(3_100)], [['r/1'], []])
  assert.is(notices.isClosed(replica({ id: 'other' }), 20), true)
})

test('should retain a bounded number of leaving replicas, the latest ones', () => {
  const notices = new ReplicaNotices()
  for (let startedAt = 1; startedAt <= 5_000; startedAt++) notices.onLeaving(replica({ startedAt }), startedAt)
  const isClosed = (startedAt: number): boolean => notices.isClosed(replica({ startedAt }), 6_000)
  assert.equal([isClosed(1), isClosed(5_000)], [false, true])
})

test.run()
