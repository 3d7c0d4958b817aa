import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Member } from '../membership/index.js'
import { rankHosts } from './index.js'

const QUESTION = { affinity: 'rulebook', model: '', dataCentre: 'leeds' }

function member (host: string, dataCentre = 'leeds', state: Member['state'] = 'alive'): Member {
  const [peerAddress, callerAddress] = [`http://${host}:8082`, `http://${host}:8080`]
  return { host, incarnation: 1, version: 1, dataCentre, peerAddress, callerAddress, state, configurationRevision: 1 }
}

function namesOf (members: Member[], question = QUESTION): string[] {
  return rankHosts(members, question).hosts.map(address => new URL(address).hostname)
}

const cases: Array<[string, Member[], string[]]> = [
  ['no host at all', [], []],
  ['the nearest data centre first', [member('a', 'york'), member('b')], ['b', 'a']],
  ['a suspect host of the nearest data centre after an alive one elsewhere', [member('a', 'leeds', 'suspect'), member('b', 'york')], ['b', 'a']],
  ['neither leaving nor dead hosts', [member('a', 'leeds', 'leaving'), member('b'), member('c', 'leeds', 'dead')], ['b']],
  ['no host whose address is not known yet', [{ ...member('a'), callerAddress: '' }, member('b')], ['b']],
  ['suspect hosts where there are no others', [member('a', 'leeds', 'suspect')], ['a']]
]
for (const [title, members, expected] of cases) {
  test(`should answer with ${title}`, () => { assert.equal(namesOf(members), expected) })
}

test('should give every host the same answer, and move only a lost host\'s prompts', () => {
  const members = Array.from({ length: 5 }, (_, index) => member(`entry-${index}`))
  for (let prompt = 0; prompt < 50; prompt++) {
    const question = { ...QUESTION, affinity: `prompt-${prompt}` }
    const order = namesOf(members, question)
    assert.equal(namesOf([...members].reverse(), question), order)
    const lost = members.filter(({ host }) => host !== 'entry-3')
    assert.equal(namesOf(lost, question), order.filter(host => host !== 'entry-3'))
  }
})

test('should return how long the answer may be cached', () => { assert.is(rankHosts([], QUESTION).keepSeconds, 10) })

test.run()
