import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import type { EnginePart } from '../platform/index.js'
import { AnswerAssembler, AnswerRun, MAXIMUM_BUFFERED_PARTS, type AnswerRunEffect } from './index.js'

const idleTimeouts = { prepare: 5_000, firstPart: 5_000, betweenParts: 1_000, probe: 500 }

function createRun (retries = 3): AnswerRun {
  let left = retries
  return new AnswerRun({
    weightVersion: 'v1',
    maximumTokens: 4,
    deadline: 30_000,
    idleTimeouts,
    backOff: { firstDelay: 50, maximumDelay: 1_000 },
    trySpendRetry: () => left-- > 0,
    random: new SeededRandom(1)
  })
}

function token (nonce: string, sequence: number, weightVersion = 'v1'): EnginePart {
  return { kind: 'token', nonce, sequence, text: `t${sequence}`, weightVersion }
}

function end (nonce: string, tokenCount: number): EnginePart {
  return { kind: 'end', nonce, tokenCount, promptTokens: 8, cachedTokens: 0, weightVersion: 'v1' }
}

/** Prepares the attempt on a replica and returns the effects. */
function open (run: AnswerRun, attempt: number, nonce: string, replica: string, now = 0): AnswerRunEffect[] {
  return run.handle({ kind: 'attempt-prepared', attempt, nonce, replica, activeWeightVersion: 'v1' }, now)
}

function find<Kind extends AnswerRunEffect['kind']> (
  effects: AnswerRunEffect[], kind: Kind
): Extract<AnswerRunEffect, { kind: Kind }> | undefined {
  return effects.find((effect): effect is Extract<AnswerRunEffect, { kind: Kind }> => effect.kind === kind)
}

function startedRun (retries = 3): AnswerRun {
  const run = createRun(retries)
  run.handle({ kind: 'start' }, 0)
  open(run, 1, 'n1', 'r1')
  return run
}

/** Wakes the run after the back-off and opens the next attempt; returns its number and effects. */
function openNext (run: AnswerRun, now: number, nonce: string, replica: string): { attempt: number, effects: AnswerRunEffect[] } {
  const attempt = find(run.handle({ kind: 'wake' }, now), 'prepare-attempt')?.attempt ?? -1
  return { attempt, effects: open(run, attempt, nonce, replica, now) }
}

test('should deliver late, duplicate and reordered parts once and in order', () => {
  const run = startedRun()
  const parts = [token('n1', 1), end('n1', 3), token('n1', 0), token('n1', 0), token('n1', 2)]
  const effects = parts.flatMap(part => run.handle({ kind: 'part', attempt: 1, part }, 1))
  assert.equal(effects.flatMap(effect => effect.kind === 'deliver' ? [effect.part.text] : []), ['t0', 't1', 't2'])
  assert.is(find(effects, 'finish')?.end.tokenCount, 3)
})

test('should resume on another replica after the delivered tokens and drop the older attempt', () => {
  const run = startedRun()
  run.handle({ kind: 'part', attempt: 1, part: token('n1', 0) }, 1)
  const failed = run.handle({ kind: 'attempt-ended', attempt: 1, failure: 'broken' }, 2)
  assert.is(find(failed, 'mark-failed')?.replica, 'r1')
  const { attempt, effects } = openNext(run, 100, 'n2', 'r2')
  assert.is(find(effects, 'open-stream')?.resumeAfterTokens, 1)
  assert.equal(run.handle({ kind: 'part', attempt: 1, part: token('n1', 1) }, 101), [])
  assert.equal(run.handle({ kind: 'part', attempt, part: token('n1', 1) }, 101), [])
  assert.is(find(run.handle({ kind: 'part', attempt, part: token('n2', 1) }, 102), 'deliver')?.part.text, 't1')
})

const probes = [
  { title: 'keep a replica that answers a probe on a new connection', isAnswered: true, markedFailed: undefined, excluded: [] },
  { title: 'mark a replica failed that answers no probe', isAnswered: false, markedFailed: 'r1', excluded: ['r1'] }
]
for (const { title, isAnswered, markedFailed, excluded } of probes) {
  test(`should ${title} and drop its connections`, () => {
    const run = startedRun()
    const silent = run.handle({ kind: 'wake' }, 5_000)
    assert.is(find(silent, 'cancel-attempt')?.nonce, 'n1')
    assert.is(find(silent, 'probe')?.replica, 'r1')
    const effects = run.handle({ kind: 'probe-ended', attempt: 1, isAnswered }, 5_100)
    assert.is(find(effects, 'drop-connections')?.replica, 'r1')
    assert.is(find(effects, 'mark-failed')?.replica, markedFailed)
    const prepared = find(run.handle({ kind: 'wake' }, 5_200), 'prepare-attempt')
    assert.equal([...prepared?.excludedReplicas ?? []], excluded)
  })
}

test('should not count a part with another nonce as progress', () => {
  const run = startedRun()
  run.handle({ kind: 'part', attempt: 1, part: token('other', 0) }, 4_999)
  assert.ok(find(run.handle({ kind: 'wake' }, 5_000), 'probe'))
})

test('should restart under the new version when nothing was delivered and no replica serves the old one', () => {
  const run = startedRun()
  run.handle({ kind: 'attempt-ended', attempt: 1, failure: 'version-refused' }, 1)
  const effects = run.handle({ kind: 'no-replica', attempt: 2, activeWeightVersion: 'v2' }, 2)
  assert.is(find(effects, 'prepare-attempt')?.weightVersion, 'v2')
})

test('should refuse rather than mix versions when tokens were delivered', () => {
  const run = startedRun()
  run.handle({ kind: 'part', attempt: 1, part: token('n1', 0) }, 1)
  run.handle({ kind: 'attempt-ended', attempt: 1, failure: 'broken' }, 2)
  const { attempt } = openNext(run, 100, 'n2', 'r2')
  run.handle({ kind: 'attempt-ended', attempt, failure: 'version-refused' }, 101)
  const refused = run.handle({ kind: 'no-replica', attempt: attempt + 1, activeWeightVersion: 'v2' }, 102)
  assert.is(find(refused, 'refuse')?.refusal.kind, 'no-replica')
  assert.is(find(refused, 'refuse')?.refusal.notRun, 'unknown')
})

const refusals = [
  { title: 'not run when every attempt was provably not sent', failure: 'not-sent', notRun: true },
  { title: 'unknown when an attempt broke', failure: 'broken', notRun: 'unknown' }
] as const
for (const { title, failure, notRun } of refusals) {
  test(`should refuse at once without retries, and say ${title}`, () => {
    const refusal = find(startedRun(0).handle({ kind: 'attempt-ended', attempt: 1, failure }, 1), 'refuse')?.refusal
    assert.is(refusal?.notRun, notRun)
    assert.ok((refusal?.retryAfter ?? 0) >= 2_000)
  })
}

test('should refuse at the deadline when no attempt was prepared', () => {
  const run = createRun()
  run.handle({ kind: 'start' }, 0)
  const effects = run.handle({ kind: 'wake' }, 30_000)
  assert.is(find(effects, 'refuse')?.refusal.kind, 'deadline-exceeded')
  assert.ok(run.isEnded)
})

test('should cancel the attempt when the caller disconnects, and ignore parts after the end', () => {
  const run = startedRun()
  assert.is(find(run.handle({ kind: 'caller-left' }, 1), 'cancel-attempt')?.nonce, 'n1')
  assert.equal(run.handle({ kind: 'part', attempt: 1, part: token('n1', 0) }, 2), [])
})

const invalid = [
  { title: 'more parts ahead of a gap than are buffered', maximumTokens: 10_000, parts: range(MAXIMUM_BUFFERED_PARTS + 1).map(index => token('n1', index + 1)) },
  { title: 'a token past the maximum requested', maximumTokens: 4, parts: [token('n1', 4)] },
  { title: 'an end before tokens already received', maximumTokens: 4, parts: [token('n1', 0), token('n1', 1), end('n1', 1)] }
]
for (const { title, maximumTokens, parts } of invalid) {
  test(`should invalidate an attempt on ${title}`, () => {
    const assembler = new AnswerAssembler('v1', maximumTokens)
    assembler.beginAttempt('n1')
    for (const part of parts) assembler.accept(part)
    assert.ok(assembler.isInvalid)
    assert.not(assembler.isWhole)
  })
}

function range (length: number): number[] {
  return Array.from({ length }, (_, index) => index)
}

test.run()
