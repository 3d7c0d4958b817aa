import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { fingerprintOf, type QuarantineEntry, type QuarantineRecord, type QuarantineState } from './messages.js'
import { MAXIMUM_ENTRIES, QuarantineTable } from './quarantineTable.js'
import { endTrial, mergeRecord, TRIAL_TAKEOVER_AFTER, TrialPlanner } from './trialPlan.js'

const subject = { fingerprint: 'f', workspace: 'harrowgate', kind: 'policy-answer', model: 'policy' }
const here = { host: 'entry-0', incarnation: 1 }
const there = { host: 'entry-1', incarnation: 1 }

function entryOf (state: QuarantineState, version: number, change: Partial<QuarantineEntry> = {}): QuarantineEntry {
  return { ...subject, state, version, abandonedTrials: 0, since: 0, ...change }
}

const fingerprints: Array<{ title: string, left: [string, string, string], right: [string, string, string] }> = [
  { title: 'another workspace', left: ['a', 'k', 'b'], right: ['c', 'k', 'b'] },
  { title: 'another kind', left: ['a', 'k', 'b'], right: ['a', 'l', 'b'] },
  { title: 'another body', left: ['a', 'k', 'b'], right: ['a', 'k', 'c'] },
  { title: 'fields with the same concatenation', left: ['a', 'kb', 'c'], right: ['a', 'k', 'bc'] }
]
for (const { title, left, right } of fingerprints) {
  test(`should distinguish a request from one with ${title}`, () => {
    assert.is.not(fingerprintOf(...left), fingerprintOf(...right))
  })
}

const histories: Array<{ title: string, crashes: boolean[], whole: boolean, state: QuarantineState }> = [
  { title: 'suspect a request after its first crash', crashes: [false], whole: false, state: 'suspect' },
  { title: 'keep a request suspect after crashes outside of a trial', crashes: [false, false], whole: false, state: 'suspect' },
  { title: 'quarantine a request that crashes its trial', crashes: [false, true], whole: false, state: 'quarantined' },
  { title: 'clear a suspect whose trial completes', crashes: [false], whole: true, state: 'cleared' },
  { title: 'keep a request quarantined after a late completed run', crashes: [false, true], whole: true, state: 'quarantined' }
]
for (const { title, crashes, whole, state } of histories) {
  test(`should ${title}`, () => {
    const table = new QuarantineTable()
    for (const isTrial of crashes) table.onCrash(subject, isTrial, 0)
    if (whole) table.onCompleted(subject, 0)
    assert.is(table.find('f')?.state, state)
  })
}

const pairs = [
  { title: 'the higher version', entries: [entryOf('quarantined', 2), entryOf('cleared', 3)], state: 'cleared' },
  { title: 'the stricter state of one version', entries: [entryOf('cleared', 3), entryOf('quarantined', 3)], state: 'quarantined' }
]
for (const { title, entries, state } of pairs) {
  test(`should keep ${title}, in whatever order the entries come`, () => {
    for (const order of [entries, [...entries].reverse()]) {
      const table = new QuarantineTable()
      for (const entry of order) table.merge([entry])
      assert.is(table.find('f')?.state, state)
      assert.is(mergeRecord({ entries: order.slice(0, 1) }, order.slice(1), 0).entries[0]?.state, state)
    }
  })
}

test('should keep a bounded count of entries, and quarantined ones before suspects', () => {
  const many = Array.from({ length: MAXIMUM_ENTRIES + 5 }, (_, index) =>
    entryOf(index === 0 ? 'quarantined' : 'suspect', 1, { fingerprint: `f${index}`, since: index }))
  const { entries } = mergeRecord(undefined, many, 10)
  assert.is(entries.length, MAXIMUM_ENTRIES)
  assert.ok(entries.some(({ fingerprint }) => fingerprint === 'f0'))
})

test('should send an entry a bounded number of times', () => {
  const table = new QuarantineTable()
  table.onCrash(subject, false, 0)
  const sends = Array.from({ length: 50 }, () => table.takeUpdates(340).length)
  assert.ok(sends[0] === 1 && sends.at(-1) === 0)
})

test('should gossip the known entry again after receiving an older one', () => {
  const table = new QuarantineTable()
  table.merge([entryOf('quarantined', 2)])
  while (table.takeUpdates(340).length > 0);
  assert.is(table.merge([entryOf('quarantined', 2)]), false)
  assert.is(table.merge([entryOf('suspect', 1)]), true)
  assert.equal(table.takeUpdates(340), [entryOf('quarantined', 2)])
})

const held: QuarantineRecord = { entries: [entryOf('suspect', 1)], trial: { token: 't', fingerprint: 'f', holder: there } }
const plans = [
  { title: 'acquire a free trial', record: undefined, at: [0], kinds: ['write'] },
  { title: 'wait while another holds the trial', record: held, at: [0, TRIAL_TAKEOVER_AFTER - 1], kinds: ['busy', 'busy'] },
  { title: 'take over a trial that stays unchanged', record: held, at: [0, TRIAL_TAKEOVER_AFTER], kinds: ['busy', 'write'] },
  {
    title: 'acquire its own trial again when it is not running it',
    record: { ...held, trial: { token: 't', fingerprint: 'f', holder: here } },
    at: [0],
    kinds: ['write']
  },
  {
    title: 'accept a record in which the request is no longer suspect',
    record: { entries: [entryOf('quarantined', 2)] },
    at: [0],
    kinds: ['settled']
  }
]
for (const { title, record, at, kinds } of plans) {
  test(`should ${title}`, () => {
    const watch = new TrialPlanner()
    const request = { entry: entryOf('suspect', 1), token: 'n', holder: here }
    assert.equal(at.map(now => watch.plan(record, request, now, 0).kind), kinds)
  })
}

test('should quarantine a request after two trials are abandoned by their holders', () => {
  const watch = new TrialPlanner()
  let record = held
  for (const [index, expected] of [true, false].entries()) {
    const request = { entry: entryOf('suspect', 1), token: `n${index}`, holder: { host: 'entry-2', incarnation: index } }
    const start = index * 10 * TRIAL_TAKEOVER_AFTER
    watch.plan(record, request, start, 0)
    const plan = watch.plan(record, request, start + TRIAL_TAKEOVER_AFTER, 0)
    assert.is(plan.kind === 'write' && plan.isTrial, expected)
    if (plan.kind === 'write') record = plan.record
  }
  assert.is(record.entries[0]?.state, 'quarantined')
})

test('should end only the trial with the given token', () => {
  assert.is(endTrial(held, 'other').trial?.token, 't')
  assert.is(endTrial(held, 't').trial, undefined)
})

test.run()
