import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import type { Member } from '../membership/index.js'
import { LeavingSpread } from './leavingSpread.js'

const members = ['a', 'b', 'c', 'd'].map(createMember)

function createMember (host: string): Member {
  return {
    host, dataCentre: 'dc-0', configurationRevision: 0, incarnation: 1, version: 1, peerAddress: '', callerAddress: '', state: 'alive'
  }
}

function askedAtTick (spread: LeavingSpread, self: Member, live: readonly Member[], now: number): string[] {
  return spread.handle({ kind: 'tick', self, live }, now).flatMap(effect => effect.kind === 'ask' ? [effect.target.host] : [])
}

const orders = [
  { title: 'ask all others in turn, from its own place in the order', answersAll: true, expected: ['c', '', 'd', '', 'a', '', 'c'] },
  { title: 'pass over those that do not answer at the next tick', answersAll: false, expected: ['c', 'd', 'a', 'c', 'd', 'a', 'c'] }
]
for (const { title, answersAll, expected } of orders) {
  test(`should ${title}`, () => {
    const spread = new LeavingSpread(new SeededRandom(1))
    const asked = expected.map((_, tick) => {
      const now = tick * 500
      const hosts = askedAtTick(spread, members[1]!, members, now)
      if (answersAll && hosts.length > 0) spread.handle({ kind: 'answered', words: [], askedAt: now }, now)
      return hosts.join()
    })
    assert.equal(asked, expected)
  })
}

test('should ask nobody where it knows nobody', () => {
  assert.equal(askedAtTick(new LeavingSpread(new SeededRandom(1)), members[0]!, [members[0]!], 0), [])
})

const words = [
  { title: 'pass on a young word that it learnt by asking', age: 1_000, expected: ['engine-0'] },
  { title: 'keep an old word that it learnt by asking to itself', age: 15_000, expected: [] }
]
for (const { title, age, expected } of words) {
  test(`should ${title}`, () => {
    const spread = new LeavingSpread(new SeededRandom(1))
    spread.handle({ kind: 'answered', words: [{ server: 'engine-0', age }], askedAt: 0 }, 10)
    assert.ok(spread.isLeaving('engine-0', 10))
    const told = spread.handle({ kind: 'tick', self: members[1]!, live: members }, 20)
      .flatMap(effect => effect.kind === 'tell' ? effect.servers : [])
    assert.equal([...new Set(told)], expected)
  })
}

test.run()
