import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ClaimedAttempt, type AttemptEffect } from './claimedAttempt.js'
import type { ClaimRequest } from './messages.js'
import { describeAnswer, divideAnswer, joinAnswer } from './storedAnswer.js'

const bodies = [
  { title: 'of one chunk', body: 'abc', chunks: ['abc'] },
  { title: 'of several chunks', body: 'abcdefgh', chunks: ['abcd', 'efgh'] },
  { title: 'with a pair of surrogates across the boundary', body: 'abc\u{1F600}de', chunks: ['abc', '\u{1F600}de'] }
]
for (const { title, body, chunks } of bodies) {
  test(`should restore a body ${title} from its chunks`, () => {
    assert.equal(divideAnswer(body, 4), chunks)
    const stored = describeAnswer('entry-0/1/1/3', { status: 200, body }, chunks)
    assert.equal(joinAnswer(stored, chunks), { status: 200, body })
  })
}

const stored = describeAnswer('attempt-1', { status: 200, body: 'abcdefgh' }, ['abcd', 'efgh'])
const damaged: Array<{ title: string, chunks: Array<string | undefined> }> = [
  { title: 'a chunk is missing', chunks: ['abcd', undefined] },
  { title: 'a chunk holds something else', chunks: ['abcd', 'efgg'] },
  { title: 'there are too few chunks', chunks: ['abcdefgh'] }
]
for (const { title, chunks } of damaged) {
  test(`should return no answer where ${title}`, () => { assert.is(joinAnswer(stored, chunks), undefined) })
}

const request: ClaimRequest = {
  workspace: 'harrowgate',
  idempotencyKey: 'key-1',
  kind: 'policy-summary',
  treatment: 'durable',
  requestDigest: 'digest-1',
  attemptToken: 'attempt-1',
  executor: { host: 'entry-0', incarnation: 1 },
  recordedAt: 0
}
const answer = { status: 200, body: 'abcdefgh' }
const kindsOf = (effects: AttemptEffect[]): string[] => effects.map(({ kind }) => kind)

function createAnswered (treatment: ClaimRequest['treatment'], maximumChunks = 2): [ClaimedAttempt, AttemptEffect[]] {
  const limits = { recordMaximumLength: 4, chunkLength: 4, maximumChunks }
  const attempt = new ClaimedAttempt({ ...request, treatment }, { deadline: 10_000, isResendable: false }, limits)
  attempt.handle({ kind: 'start' }, 0)
  attempt.handle({ kind: 'claim-replied', reply: { kind: 'granted' } }, 0)
  return [attempt, attempt.handle({ kind: 'call-ended', end: { kind: 'answered', answer } }, 0)]
}

test('should report a large answer once its chunks are written, and return it once the report is recorded', () => {
  const [attempt, effects] = createAnswered('durable')
  assert.equal(effects, [{ kind: 'store-answer', storedAnswer: stored, chunks: ['abcd', 'efgh'] }])
  assert.equal(kindsOf(attempt.handle({ kind: 'answer-stored', isWhole: false }, 0)), ['store-after'])
  assert.equal(kindsOf(attempt.handle({ kind: 'delay-over' }, 500)), ['store-answer'])
  assert.equal(kindsOf(attempt.handle({ kind: 'answer-stored', isWhole: true }, 600)), ['report'])
  const ended = attempt.handle({ kind: 'report-replied', reply: { kind: 'recorded' } }, 700)
  assert.equal(ended, [{ kind: 'answer', outcome: { kind: 'answered', answer } }, { kind: 'end' }])
})

test('should remove its chunks only when another answer is recorded permanently', () => {
  const [attempt] = createAnswered('durable')
  attempt.handle({ kind: 'answer-stored', isWhole: true }, 0)
  assert.equal(kindsOf(attempt.handle({ kind: 'report-replied', reply: { kind: 'conflict' } }, 0)), ['claim'])
  const other = { ...stored, name: 'other' }
  const effects = attempt.handle({ kind: 'claim-replied', reply: { kind: 'done-stored', storedAnswer: other } }, 0)
  assert.equal(effects, [{ kind: 'remove-answer', storedAnswer: stored }, { kind: 'read-answer', storedAnswer: other }])
  const ended = attempt.handle({ kind: 'answer-read-failed' }, 0)
  assert.equal(kindsOf(ended), ['answer', 'end'])
})

const notDelayed = [
  { title: 'of an at-most-once request', treatment: 'at-most-once', maximumChunks: 2, next: 'store-answer' },
  { title: 'above the largest size', treatment: 'durable', maximumChunks: 1, next: 'report' }
] as const
for (const { title, treatment, maximumChunks, next } of notDelayed) {
  test(`should return an answer ${title} to the waiting caller at once`, () => {
    assert.equal(kindsOf(createAnswered(treatment, maximumChunks)[1]), ['answer', next])
  })
}

test.run()
