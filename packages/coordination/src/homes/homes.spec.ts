import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { rankHosts } from '../hosts/index.js'
import type { Member } from '../membership/index.js'
import { isLikelyHeld, ReplicaTable, type ReplicaState } from '../routing/index.js'
import { affinityOf, HomeDirectory, homeOf, withHint } from './index.js'

function member (host: string, dataCentre = 'leeds', state: Member['state'] = 'alive', callerAddress = `http://${host}`): Member {
  return { host, incarnation: 1, version: 1, dataCentre, peerAddress: '', callerAddress, state, configurationRevision: 1 }
}

const homeCases: Array<[string, Member[], string | undefined]> = [
  ['no home without hosts', [], undefined],
  ['a host of the nearest data centre', [member('a', 'york'), member('b')], 'b'],
  ['a host elsewhere where none is near', [member('a', 'york')], 'a'],
  ['no host that is leaving, dead or suspect', [member('a', 'leeds', 'leaving'), member('b', 'leeds', 'dead'),
    member('c', 'leeds', 'suspect'), member('d', 'york')], 'd'],
  ['no host without an address', [member('a', 'leeds', 'alive', ''), member('b')], 'b'],
]
for (const [title, members, expected] of homeCases) {
  test(`should choose ${title}`, () => {
    assert.is(homeOf(members, { affinity: 'rulebook', model: 'm', dataCentre: 'leeds' })?.host, expected)
  })
}

test('should choose the same host that callers are advised to use first', () => {
  const members = Array.from({ length: 9 }, (_, index) => member(`entry-${index}`, index % 2 === 0 ? 'leeds' : 'york'))
  for (let prompt = 0; prompt < 100; prompt++) {
    const question = { affinity: affinityOf('w', 'm', `prompt ${prompt}`), model: 'm', dataCentre: 'leeds' }
    assert.is(homeOf(members, question)?.callerAddress, rankHosts(members, question).hosts[0])
  }
})

test('should keep the affinity keys of workspaces, models and first blocks apart', () => {
  const keys = [affinityOf('w', 'm', 'b'), affinityOf('v', 'm', 'b'), affinityOf('w', 'n', 'b'), affinityOf('w', 'm', 'c'),
    affinityOf('wm', '', 'b')]
  assert.is(new Set(keys).size, keys.length)
})

const placement = (replica: string, blockKeys: string[], incarnation = 1) => ({ replica, blockKeys, incarnation })
const askCases: Array<[string, Array<ReturnType<typeof placement>>, string[], Array<[string, number]>]> = [
  ['nothing of a prompt never placed', [placement('r', ['x'])], ['a'], []],
  ['nothing of a prompt without a whole block', [placement('r', [])], [], []],
  ['only the blocks shared with what was placed', [placement('r', ['a', 'ab', 'abc'])], ['a', 'ab', 'abd'], [['r', 2]]],
  ['the replica with most blocks first', [placement('r', ['a']), placement('s', ['a', 'ab'])], ['a', 'ab'], [['s', 2], ['r', 1]]],
  ['the latest first among equals', [placement('r', ['a']), placement('s', ['a'])], ['a'], [['s', 1], ['r', 1]]],
  ['each replica once, with its best match', [placement('r', ['a', 'ab']), placement('r', ['a', 'ac'])], ['a', 'ab'], [['r', 2]]],
  ['no blocks of an earlier run of the replica', [placement('r', ['a', 'ab'], 1), placement('r', ['a'], 2)],
    ['a', 'ab'], [['r', 1]]],
]
for (const [title, placements, asked, expected] of askCases) {
  test(`should find ${title}`, () => {
    const directory = new HomeDirectory()
    placements.forEach((told, index) => { directory.record(told, index) })
    assert.equal(directory.findReplicas(asked, 100).map(hint => [hint.replica, hint.blockCount]), expected)
  })
}

test('should evict the least recently used first blocks beyond the maximum', () => {
  const directory = new HomeDirectory(2)
  directory.record(placement('r', ['a']), 0)
  directory.record(placement('r', ['b']), 1)
  directory.findReplicas(['a'], 2)
  directory.record(placement('r', ['c']), 3)
  assert.is(directory.size, 2)
  assert.equal(['a', 'b', 'c'].map(key => directory.findReplicas([key], 4).length), [1, 0, 1])
})

test('should bound the placements of one first block', () => {
  const directory = new HomeDirectory()
  for (let index = 0; index < 50; index++) directory.record(placement(`r${index}`, ['a', `a${index}`]), index)
  assert.is(directory.findReplicas(['a'], 50).length, 8)
})

function estimate (change: Partial<ReplicaState>): ReplicaState {
  const table = new ReplicaTable()
  table.configure([{ name: 'r', dataCentre: 'leeds' }])
  return { ...table.find('r') as ReplicaState, incarnation: 3, ...change }
}

const hintCases: Array<[string, Partial<ReplicaState>, { incarnation: number, age: number }, boolean]> = [
  ['use a hint where events are missing', { needsSnapshot: true }, { incarnation: 3, age: 60_000 }, true],
  ['use a hint of a replica not read yet', { needsSnapshot: true, incarnation: 0 }, { incarnation: 3, age: 60_000 }, true],
  ['use a hint that is too recent for the events', { needsSnapshot: false }, { incarnation: 3, age: 999 }, true],
  ['prefer the events to an older hint', { needsSnapshot: false }, { incarnation: 3, age: 1_000 }, false],
  ['ignore a hint of an earlier run', { needsSnapshot: true }, { incarnation: 2, age: 0 }, false],
  ['ignore a hint from long ago', { needsSnapshot: true }, { incarnation: 3, age: 600_000 }, false],
]
for (const [title, change, hint, isHeld] of hintCases) {
  test(`should ${title}`, () => {
    const before = estimate(change)
    const after = withHint(before, { replica: 'r', blockCount: 1, ...hint }, ['a', 'ab'], 5_000)
    assert.equal(['a', 'ab'].map(key => isLikelyHeld(after, key, 5_000)), [isHeld, false])
    assert.is(before.expectedBlocks.size, 0)
  })
}

test.run()
