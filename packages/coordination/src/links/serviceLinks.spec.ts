import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import { ServiceLinks } from './index.js'

const replicas = (count: number): string[] => Array.from({ length: count }, (_, index) => `r${index}`)
const random = new SeededRandom(1)

interface Step {
  at: number
  /** Replica to which no connection could be opened. */
  fails?: string
  isConnected?: true
  isSent?: true
  hasBytes?: true
}

function run (steps: readonly Step[], count: number): ServiceLinks {
  const links = new ServiceLinks()
  for (const { at, fails, isConnected, isSent, hasBytes } of steps) {
    if (fails !== undefined) links.onConnectFailed('s', fails, replicas(count), at)
    if (isConnected) links.onConnected('s', at)
    if (isSent) links.onSent('s', at)
    if (hasBytes) links.onBytes('s', at)
  }
  return links
}

const failures = (count: number, at = 0): Step[] => replicas(count).map(fails => ({ at, fails }))

const verdicts: { title: string, replicas: number, steps: Step[], isCutOff: boolean }[] = [
  { title: 'be cut off where no replica of three can be connected to', replicas: 3, steps: failures(3), isCutOff: true },
  { title: 'not be cut off where one of three is not known to fail', replicas: 3, steps: failures(2), isCutOff: false },
  { title: 'be cut off where eight of a hundred fail and none is reached', replicas: 100, steps: failures(8), isCutOff: true },
  { title: 'not be cut off where seven of a hundred fail', replicas: 100, steps: failures(7), isCutOff: false },
  { title: 'not be cut off by the same replica again and again', replicas: 3, steps: [...failures(1), ...failures(1, 100), ...failures(1, 200)], isCutOff: false },
  { title: 'not be cut off where another replica is reached in between', replicas: 3, steps: [...failures(2), { at: 50, isConnected: true }, { at: 60, fails: 'r2' }], isCutOff: false },
  { title: 'not be cut off by failures that are long past', replicas: 3, steps: [...failures(2), { at: 2_001, fails: 'r2' }], isCutOff: false },
  { title: 'not count a replica that may not be used', replicas: 2, steps: [{ at: 0, fails: 'gone' }, { at: 0, fails: 'r0' }], isCutOff: false },
  { title: 'be reached again by the first connection', replicas: 3, steps: [...failures(3), { at: 900, isConnected: true }], isCutOff: false },
  { title: 'be reached again by the first connection where its links flap', replicas: 3, steps: [...failures(3), { at: 900, isConnected: true }, ...failures(3, 1_800), { at: 2_700, isConnected: true }], isCutOff: false }
]
for (const { title, replicas: count, steps, isCutOff } of verdicts) {
  test(`a service should ${title}`, () => {
    assert.is(run(steps, count).cutOffAt('s') !== undefined, isCutOff)
  })
}

const flaps = (times: number): Step[] => Array.from({ length: times }, (_, index): Step[] => (
  [...failures(3, index * 2_000), { at: index * 2_000 + 1_000, isConnected: true }])).flat()
const preferences: { title: string, cuts: number, until: number }[] = [
  { title: 'while it is cut off only', cuts: 1, until: 0 },
  { title: 'for half a second after a second cut', cuts: 2, until: 500 },
  { title: 'for a second after a third cut', cuts: 3, until: 1_000 },
  { title: 'for two seconds at most', cuts: 8, until: 2_000 }
]
for (const { title, cuts, until } of preferences) {
  test(`should prefer peers for a service whose links flap ${title}`, () => {
    const links = run(flaps(cuts), 3)
    const returnedAt = cuts * 2_000 - 1_000
    assert.equal([returnedAt + until / 2, returnedAt + until].map(at => links.prefersPeers('s', at)), [until > 0, false])
    links.onConnectFailed('s', 'r0', ['r0'], returnedAt + 6_000)
    assert.is(links.prefersPeers('s', returnedAt + 6_000), true)
  })
}

const probes: { title: string, replicas: number, steps: Step[], at: number, expected: number }[] = [
  { title: 'no replica while nothing fails', replicas: 13, steps: [{ at: 0, isSent: true }, { at: 100, hasBytes: true }], at: 900, expected: 0 },
  { title: 'no replica after the failure of one while others answer', replicas: 13, steps: [{ at: 0, hasBytes: true }, ...failures(1, 5)], at: 10, expected: 0 },
  { title: 'the others after the failure of one where none was heard of for long', replicas: 13, steps: [{ at: 0, hasBytes: true }, ...failures(1, 600)], at: 610, expected: 7 },
  { title: 'as many others as a verdict needs after the failure of two', replicas: 13, steps: failures(2), at: 10, expected: 6 },
  { title: 'the only other one of three', replicas: 3, steps: failures(2), at: 10, expected: 1 },
  { title: 'none where a connection was opened just now', replicas: 13, steps: [{ at: 0, isConnected: true }, ...failures(2, 10)], at: 20, expected: 0 },
  { title: 'one where requests have waited for 500 ms without a byte', replicas: 3, steps: [{ at: 0, isSent: true }], at: 500, expected: 1 },
  { title: 'none once a connection was opened since requests wait', replicas: 3, steps: [{ at: 0, isSent: true }, { at: 600, isConnected: true }], at: 1_200, expected: 0 },
  { title: 'none where a replica has sent bytes since', replicas: 3, steps: [{ at: 0, isSent: true }, { at: 300, hasBytes: true }, { at: 400, isSent: true }], at: 600, expected: 0 },
  { title: 'one while the service is cut off', replicas: 13, steps: failures(8), at: 400, expected: 1 }
]
for (const { title, replicas: count, steps, at, expected } of probes) {
  test(`should probe ${title}`, () => {
    const links = run(steps, count)
    assert.is(links.probes('s', replicas(count), random, at).length, expected)
    if (expected > 0) assert.is(links.probes('s', replicas(count), random, at + 249).length, 0, 'once in each interval')
  })
}

test.run()
