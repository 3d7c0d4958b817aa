import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import type { Member } from '../membership/index.js'
import { LeavingPropagation } from './leavingPropagation.js'

const members = ['a', 'b', 'c', 'd'].map(createMember)

function createMember (host: string): Member {
  return {
    host, dataCentre: 'dc-0', configurationRevision: 0, incarnation: 1, version: 1, peerAddress: '', callerAddress: '', state: 'alive'
  }
}

function askedAtTick (spread: LeavingPropagation, self: Member, live: readonly Member[], now: number): string[] {
  return spread.handle({ kind: 'tick', self, live }, now).flatMap(effect => effect.kind === 'ask' ? [effect.target.host] : [])
}

const orders = [
  {
    title: 'ask all peers in turn, starting after itself in the order of hosts',
    answersAll: true,
    expected: ['c', '', 'd', '', 'a', '', 'c']
  },
  {
    title: 'ask the next peer at the next tick when one does not answer',
    answersAll: false,
    expected: ['c', 'd', 'a', 'c', 'd', 'a', 'c']
  }
]
for (const { title, answersAll, expected } of orders) {
  test(`should ${title}`, () => {
    const spread = new LeavingPropagation(new SeededRandom(1))
    const asked = expected.map((_, tick) => {
      const now = tick * 500
      const hosts = askedAtTick(spread, members[1]!, members, now)
      if (answersAll && hosts.length > 0) spread.handle({ kind: 'answered', words: [], askedAt: now }, now)
      return hosts.join()
    })
    assert.equal(asked, expected)
  })
}

test('should not ask when it knows no peer', () => {
  assert.equal(askedAtTick(new LeavingPropagation(new SeededRandom(1)), members[0]!, [members[0]!], 0), [])
})

const words = [
  { title: 'forward a recent report that it received by asking', age: 1_000, expected: ['engine-0'] },
  { title: 'not forward an old report that it received by asking', age: 15_000, expected: [] }
]
for (const { title, age, expected } of words) {
  test(`should ${title}`, () => {
    const spread = new LeavingPropagation(new SeededRandom(1))
    spread.handle({ kind: 'answered', words: [{ server: 'engine-0', age }], askedAt: 0 }, 10)
    assert.ok(spread.isLeaving('engine-0', 10))
    const told = spread.handle({ kind: 'tick', self: members[1]!, live: members }, 20)
      .flatMap(effect => effect.kind === 'tell' ? effect.servers : [])
    assert.equal([...new Set(told)], expected)
  })
}

test.run()
