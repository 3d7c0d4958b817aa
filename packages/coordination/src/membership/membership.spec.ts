import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import { Membership } from './membership.js'
import { MemberTable, type Member } from './memberTable.js'
import type { MembershipEffect } from './messages.js'

function createMember (host: string, change: Partial<Member> = {}): Member {
  return {
    host,
    incarnation: 1,
    version: 1,
    dataCentre: 'dc-0',
    peerAddress: `http://${host}`,
    callerAddress: '',
    state: 'alive',
    configurationRevision: 0,
    ...change
  }
}

function createMembership (...others: Member[]): Membership {
  const membership = new Membership(new MemberTable(createMember('entry-0')), new SeededRandom(1))
  membership.handle({ kind: 'heard', members: others }, 0)
  return membership
}

/** Ticks each second; every probe of every kind fails. */
function tickInSilence (membership: Membership, from: number, to: number): void {
  for (let now = from; now <= to; now += 1_000) {
    const waiting = membership.handle({ kind: 'tick' }, now)
    for (let effect = waiting.shift(); effect !== undefined; effect = waiting.shift()) {
      if ('probeId' in effect) waiting.push(...membership.handle({ kind: 'probe-failed', probeId: effect.probeId }, now))
    }
  }
}

test('should suspect a member only after indirect probes failed too, and declare it dead only after the timeout', () => {
  const membership = createMembership(createMember('entry-1'))
  tickInSilence(membership, 0, 1_000)
  assert.is(membership.table.find('entry-1')?.state, 'suspect')
  tickInSilence(membership, 2_000, 10_000)
  assert.is(membership.table.find('entry-1')?.state, 'dead')
})

test('should ask others to probe before it suspects', () => {
  const membership = createMembership(createMember('entry-1'), createMember('entry-2'), createMember('entry-3'))
  const probe = membership.handle({ kind: 'tick' }, 0).find(effect => effect.kind === 'probe')
  if (probe?.kind !== 'probe') throw new Error('no probe was started')
  const indirect = membership.handle({ kind: 'probe-failed', probeId: probe.probeId }, 500)
  assert.equal(indirect.map(effect => effect.kind), ['probe-through', 'probe-through'])
  assert.is(membership.table.find(probe.target.host)?.state, 'alive')
})

const refutations = [
  { title: 'a suspicion', heard: { state: 'suspect', version: 3 }, expected: { incarnation: 1, version: 4 } },
  { title: 'its own death', heard: { state: 'dead', version: 3 }, expected: { incarnation: 1, version: 4 } },
  { title: 'a later run of its host', heard: { state: 'alive', incarnation: 7 }, expected: { incarnation: 8, version: 2 } },
  { title: 'nothing at an old version', heard: { state: 'dead', version: 0 }, expected: { incarnation: 1, version: 1 } }
] as const
for (const { title, heard, expected } of refutations) {
  test(`should refute ${title}`, () => {
    const membership = createMembership()
    membership.handle({ kind: 'heard', members: [createMember('entry-0', heard)] }, 0)
    const { incarnation, version, state } = membership.table.self
    assert.equal({ incarnation, version, state }, { ...expected, state: 'alive' })
  })
}

test('should not suspect a member that answers after a failed round', () => {
  const membership = createMembership(createMember('entry-1'))
  const fail = (effects: MembershipEffect[]): MembershipEffect[] => effects.flatMap(effect =>
    'probeId' in effect ? membership.handle({ kind: 'probe-failed', probeId: effect.probeId }, 0) : [])
  const third = fail(fail(membership.handle({ kind: 'tick' }, 0)))
  assert.is(membership.table.find('entry-1')?.state, 'alive')
  for (const effect of third) {
    if ('probeId' in effect) membership.handle({ kind: 'acknowledged', probeId: effect.probeId, members: [] }, 0)
  }
  assert.is(membership.table.find('entry-1')?.state, 'alive')
  assert.equal(fail(third), [])
})

test('should send a suspect its own entry with the probe, so that it can refute', () => {
  const membership = createMembership(createMember('entry-1', { state: 'suspect' }))
  const probe = membership.handle({ kind: 'tick' }, 0).find(effect => effect.kind === 'probe')
  assert.is(probe?.kind === 'probe' && probe.news[0]?.state, 'suspect')
})

test('should restart suspicion timeouts after a pause', () => {
  const membership = createMembership(createMember('entry-1', { state: 'suspect' }))
  membership.handle({ kind: 'tick' }, 0)
  const before = membership.table.self.version
  membership.handle({ kind: 'tick' }, 600_000)
  assert.is(membership.table.find('entry-1')?.state, 'suspect')
  assert.is(membership.table.self.version, before + 1)
  assert.is(membership.lastContactAt, undefined)
})

test('should keep contacting a dead member and remove it only after the retention', () => {
  const membership = createMembership(createMember('entry-1'))
  tickInSilence(membership, 0, 20_000)
  let contacts = 0
  for (let now = 21_000; now < 120_000; now += 1_000) {
    contacts += membership.handle({ kind: 'tick' }, now).filter(effect => effect.kind === 'probe').length
  }
  assert.ok(contacts >= 6 && contacts <= 20)
  assert.is(membership.table.find('entry-1')?.state, 'dead')
  tickInSilence(membership, 120_000, 1_900_000)
  assert.is(membership.table.find('entry-1'), undefined)
})

test('should send an entry a bounded number of times', () => {
  const membership = createMembership(createMember('entry-1'), createMember('entry-2'))
  const sent = Array.from({ length: 50 }, () => membership.handle({ kind: 'probed', members: [] }, 0))
    .flat().flatMap(effect => effect.kind === 'answer' ? effect.news : [])
  assert.ok(sent.length > 0 && sent.length <= 3 * 4)
})

test('should push a leaving member at once and declare it dead when it falls silent', () => {
  const membership = createMembership(createMember('entry-1'), createMember('entry-2'))
  const leaving = createMember('entry-1', { state: 'leaving', version: 2 })
  const effects = membership.handle({ kind: 'heard', members: [leaving] }, 0)
  assert.equal(effects.map(effect => effect.kind), ['push'])
  tickInSilence(membership, 0, 3_000)
  assert.is(membership.table.find('entry-1')?.state, 'dead')
})

test('should send a joining instance the whole table by pages, and its own entry to the peer', () => {
  const names = Array.from({ length: 200 }, (_, index) => `entry-${index + 1}`)
  const full = createMembership(...names.map(name => createMember(name)))
  const joining = new Membership(new MemberTable(createMember('entry-new')), new SeededRandom(2))
  joining.handle({ kind: 'heard', members: [createMember('entry-1')] }, 0)
  const queue = joining.handle({ kind: 'tick' }, 0)
  let pages = 0
  for (let effect = queue.shift(); effect !== undefined; effect = queue.shift()) {
    if (effect.kind === 'push') full.handle({ kind: 'heard', members: effect.news }, 0)
    if (effect.kind !== 'compare-page') continue
    pages += 1
    const [answer] = full.handle({ kind: 'page-received', page: effect.page }, 0)
    if (answer?.kind !== 'answer-page') throw new Error('no page was answered')
    assert.ok(answer.answer.members.length <= 64)
    queue.push(...joining.handle({ kind: 'page-answered', host: 'entry-1', answer: answer.answer }, 0))
  }
  assert.is(joining.table.members.length, 202)
  assert.ok(pages <= 5)
  assert.ok(full.table.find('entry-new') !== undefined)
})

const registrations = [
  { title: 'add a registered member that answers and compare tables', answers: true, isKnown: true, then: ['compare-page'] },
  { title: 'not add a registered member that does not answer', answers: false, isKnown: false, then: [] }
]
for (const { title, answers, isKnown, then } of registrations) {
  test(`should ${title}`, () => {
    const membership = createMembership()
    membership.handle({ kind: 'registered', members: [] }, 0)
    const [contact] = membership.handle({ kind: 'registered', members: [createMember('entry-1')] }, 1)
    if (contact?.kind !== 'probe') throw new Error('no contact was started')
    assert.is(membership.table.find('entry-1'), undefined)
    const { probeId } = contact
    const effects = membership.handle(
      answers ? { kind: 'acknowledged', probeId, members: [] } : { kind: 'probe-failed', probeId }, 2)
    assert.is(membership.table.find('entry-1') !== undefined, isKnown)
    assert.equal(effects.map(effect => effect.kind), then)
  })
}

test('should add all registered members when it starts, and refute a later run of its own host at any time', () => {
  const membership = createMembership()
  membership.handle({ kind: 'registered', members: [createMember('entry-1')] }, 0)
  assert.is(membership.table.find('entry-1')?.state, 'alive')
  membership.handle({ kind: 'registered', members: [createMember('entry-0', { incarnation: 7 })] }, 1)
  assert.is(membership.table.self.incarnation, 8)
})

test.run()
