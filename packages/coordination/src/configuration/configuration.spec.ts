import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { contentDigest, SeededRandom } from '../common/index.js'
import type { Member } from '../membership/index.js'
import { ConfigurationChangeAttempt, type ChangeMessage } from './configurationChange.js'
import { CONFIRMATION_TIMEOUT, ConfigurationPropagation, type PropagationEffect, type PropagationMessage } from './configurationPropagation.js'
import type { ConfigurationRecord } from './configurationState.js'

function createRecord (revision: number, changeToken = `token-${revision}`): ConfigurationRecord {
  const source = `source ${revision} ${changeToken}`
  return { revision, changeToken, digest: contentDigest(source), source, author: 'operator', appliedAt: '' }
}

function createMember (host: string, dataCentre = 'dc-0', configurationRevision = 0): Member {
  return {
    host, dataCentre, configurationRevision, incarnation: 1, version: 1, peerAddress: '', callerAddress: '', state: 'alive'
  }
}

const before = { kind: 'current-read', current: { record: createRecord(1), keyRevision: 10 } } as const
const other = { kind: 'current-read', current: { record: createRecord(2, 'other'), keyRevision: 11 } } as const
const own = { kind: 'current-read', current: { record: createRecord(2, 'own'), keyRevision: 11 } } as const
const later = { kind: 'current-read', current: { record: createRecord(3, 'other'), keyRevision: 12 } } as const
const kept = { kind: 'history-kept' } as const
const won = { kind: 'written', outcome: { kind: 'won', revision: 11 } } as const
const lost = { kind: 'written', outcome: { kind: 'lost' } } as const
const ambiguous = { kind: 'failed', failure: 'ambiguous' } as const
const refused = { kind: 'failed', failure: 'refused' } as const
const retry = { kind: 'retry' } as const

const changes: Array<{ title: string, messages: ChangeMessage[], expected: string, isResent?: true }> = [
  { title: 'accept a write that won', messages: [before, kept, won], expected: 'accepted' },
  { title: 'report a conflict with the current one when the revision has moved on', messages: [other], expected: 'conflict' },
  { title: 'report a conflict when another write won', messages: [before, kept, lost, other], expected: 'conflict' },
  { title: 'refuse when the service refused the read', messages: [refused], expected: 'refused' },
  { title: 'refuse when the service refused the only write', messages: [before, kept, refused], expected: 'refused' },
  { title: 'send the same write again after no answer', messages: [before, kept, ambiguous, retry], expected: 'write' },
  { title: 'accept when the first send had won', messages: [before, kept, ambiguous, retry, lost, own], expected: 'accepted' },
  {
    title: 'read the history when its write may have been followed by another',
    messages: [before, kept, ambiguous, retry, lost, later],
    expected: 'read-history'
  },
  {
    title: 'accept a change found in the history',
    messages: [before, kept, ambiguous, retry, lost, later, { kind: 'history-read', record: createRecord(2, 'own') }],
    expected: 'accepted'
  },
  {
    title: 'report a conflict when the history holds another change',
    messages: [before, kept, ambiguous, retry, lost, later, { kind: 'history-read', record: createRecord(2, 'other') }],
    expected: 'conflict'
  },
  {
    title: 'not call a change refused whose history entry was trimmed',
    messages: [before, kept, ambiguous, retry, lost, later, { kind: 'history-read', record: undefined }],
    expected: 'unknown'
  },
  {
    title: 'keep trying when a refusal follows an unsettled write',
    messages: [before, kept, ambiguous, retry, refused],
    expected: 'wait'
  },
  { title: 'not refuse a change that was sent before', messages: [refused], expected: 'wait', isResent: true },
  { title: 'accept a change sent again that is in force', messages: [own], expected: 'accepted', isResent: true }
]
for (const { title, messages, expected, isResent } of changes) {
  test(`should ${title}`, () => {
    const attempt = new ConfigurationChangeAttempt(createRecord(2, 'own'), isResent === true)
    let effect = attempt.handle({ kind: 'start' }, 0)
    for (const message of messages) effect = attempt.handle(message, 100)
    assert.is(effect.kind === 'finish' ? effect.outcome.kind : effect.kind, expected)
  })
}

const limits = [
  { title: 'unknown after an unsettled write', messages: [before, kept, ambiguous], expected: 'unknown' },
  { title: 'refused where no write was sent', messages: [before], expected: 'refused' }
]
for (const { title, messages, expected } of limits) {
  test(`should end as ${title} when the settlement timeout has passed`, () => {
    const attempt = new ConfigurationChangeAttempt(createRecord(2, 'own'), false)
    attempt.handle({ kind: 'start' }, 0)
    for (const message of messages) attempt.handle(message, 100)
    const effect = attempt.handle(ambiguous, 11_000)
    assert.is(effect.kind === 'finish' && effect.outcome.kind, expected)
  })
}

function kindsOf (effects: PropagationEffect[]): string[] {
  return effects.map(effect => effect.kind)
}

test('should let two instances of a data centre watch, and another one take over from a dead watcher', () => {
  const members = ['a', 'b', 'c', 'd'].map(name => createMember(name)).concat(createMember('e', 'dc-1'))
  const started = (seen: Member[]): string[] => seen.filter(member => {
    const spread = new ConfigurationPropagation(new SeededRandom(1))
    return kindsOf(spread.handle({ kind: 'tick', self: member, members: seen }, 0)).includes('start-watch')
  }).map(member => member.host)
  const watchers = started(members)
  assert.is(watchers.length, 3)
  assert.ok(watchers.includes('e'))
  const gone = members.map(member => member.host === watchers[0] ? { ...member, state: 'dead' as const } : member)
  assert.is(started(gone).filter(host => host !== watchers[0]).length, 3)
})

test('should never move to a lower revision', () => {
  const spread = new ConfigurationPropagation(new SeededRandom(1))
  spread.handle({ kind: 'service-told', record: createRecord(3) }, 0)
  spread.handle({ kind: 'service-told', record: createRecord(2) }, 1)
  spread.handle({ kind: 'fetched', host: 'a', record: createRecord(1), askedAt: 2 }, 2)
  assert.is(spread.state.version.revision, 3)
})

test('should fetch once from a peer that is ahead, and refuse a record whose digest is wrong', () => {
  const spread = new ConfigurationPropagation(new SeededRandom(1))
  assert.equal(kindsOf(spread.handle({ kind: 'revision-seen', host: 'a', revision: 2 }, 0)), ['fetch'])
  assert.equal(spread.handle({ kind: 'revision-seen', host: 'b', revision: 2 }, 0), [])
  spread.handle({ kind: 'fetched', host: 'a', record: { ...createRecord(2), source: 'changed' }, askedAt: 0 }, 1)
  assert.is(spread.state.current, undefined)
  const again = spread.handle({ kind: 'revision-seen', host: 'b', revision: 2 }, 2_000)
  assert.equal(again, [{ kind: 'fetch', host: 'b', knownRevision: 0 }])
  assert.equal(kindsOf(spread.handle({ kind: 'fetched', host: 'b', record: createRecord(2), askedAt: 2_000 }, 2_001)), ['in-force'])
})

const permissions = [
  { title: 'take work while a peer confirms the revision', heard: 2, isAllowed: true },
  { title: 'take no work when the only peer that reports knows a higher revision', heard: 3, isAllowed: false },
  { title: 'take no work when neither the service nor a peer reports', heard: undefined, isAllowed: false }
]
for (const { title, heard, isAllowed } of permissions) {
  test(`should ${title}`, () => {
    const spread = new ConfigurationPropagation(new SeededRandom(1))
    spread.handle({ kind: 'service-told', record: createRecord(2), askedAt: 0 }, 0)
    spread.handle({ kind: 'tick', self: createMember('a'), members: [createMember('a'), createMember('b')] }, 0)
    assert.ok(spread.mayTakeWork(CONFIRMATION_TIMEOUT))
    if (heard !== undefined) {
      spread.handle({ kind: 'revision-seen', host: 'b', revision: heard, askedAt: CONFIRMATION_TIMEOUT }, CONFIRMATION_TIMEOUT)
    }
    assert.is(spread.mayTakeWork(CONFIRMATION_TIMEOUT + 1), isAllowed)
  })
}

const THAWED_AT = CONFIRMATION_TIMEOUT + 1
const words: Array<{ title: string, message: PropagationMessage, isAllowed: boolean }> = [
  {
    title: 'not take an answer that waited through a pause as a confirmation',
    message: { kind: 'revision-seen', host: 'b', revision: 2, askedAt: 0 },
    isAllowed: false
  },
  {
    title: 'not take a report of unknown age as a confirmation',
    message: { kind: 'revision-seen', host: 'b', revision: 2 },
    isAllowed: false
  },
  {
    title: 'not take a read of the service that waited through a pause as a confirmation',
    message: { kind: 'service-told', record: undefined, askedAt: 0 },
    isAllowed: false
  },
  {
    title: 'not take a record from a watch, which may have waited, as a confirmation',
    message: { kind: 'service-told', record: createRecord(3) },
    isAllowed: false
  },
  {
    title: 'not take a fetched record that waited through a pause as a confirmation',
    message: { kind: 'fetched', host: 'b', record: createRecord(3), askedAt: 0 },
    isAllowed: false
  },
  {
    title: 'take work after an answer to a call made after the pause',
    message: { kind: 'revision-seen', host: 'b', revision: 2, askedAt: THAWED_AT },
    isAllowed: true
  },
  {
    title: 'take work after a read of the service after the pause',
    message: { kind: 'service-told', record: undefined, askedAt: THAWED_AT },
    isAllowed: true
  },
  {
    title: 'take work after a fetch of the record after the pause',
    message: { kind: 'fetched', host: 'b', record: createRecord(3), askedAt: THAWED_AT },
    isAllowed: true
  }
]
for (const { title, message, isAllowed } of words) {
  test(`should ${title}`, () => {
    const spread = new ConfigurationPropagation(new SeededRandom(1))
    spread.handle({ kind: 'service-told', record: createRecord(2), askedAt: 0 }, 0)
    spread.handle({ kind: 'tick', self: createMember('a'), members: [createMember('a'), createMember('b')] }, 0)
    spread.handle(message, THAWED_AT)
    assert.is(spread.mayTakeWork(THAWED_AT), isAllowed)
  })
}

test('should keep the latest confirmation when answers come out of order', () => {
  const spread = new ConfigurationPropagation(new SeededRandom(1))
  spread.handle({ kind: 'service-told', record: createRecord(2), askedAt: 5 }, 6)
  spread.handle({ kind: 'revision-seen', host: 'b', revision: 2, askedAt: 1 }, 7)
  assert.is(spread.state.lastConfirmedAt, 5)
})

test('should take no work before the first configuration', () => {
  assert.not(new ConfigurationPropagation(new SeededRandom(1)).mayTakeWork(0))
})

test.run()
