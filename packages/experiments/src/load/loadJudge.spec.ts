import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RecordedCall } from '@wasabihead/standins'
import type { RequestRecord, SendOutcome } from './loadCaller.js'
import { judgeLoad } from './loadJudge.js'
import type { LoadKind } from './loadPlan.js'

const KEY = 'key-1'
const notRun: SendOutcome = { kind: 'refused', type: 'service-unavailable', notRun: true, retryAfter: 100 }
const running: SendOutcome = { kind: 'refused', type: 'in-progress', notRun: 'unknown', retryAfter: 100 }
const whole: SendOutcome = { kind: 'whole' }

function record (kind: LoadKind, outcomes: SendOutcome[]): RequestRecord {
  const request = { index: 0, at: 0, kind, token: '', text: '', idempotencyKey: KEY }
  return { request, sends: outcomes.map(outcome => ({ host: '', sentAt: 0, answeredAt: 0, outcome })) }
}

function landed (times: number): RecordedCall[] {
  return Array.from({ length: times }, () => ({ path: '/orders', nonce: '', idempotencyKey: KEY, body: '' }))
}

const cases: Array<{ title: string, kind: LoadKind, outcomes: SendOutcome[], times: number, breaches: number }> = [
  { title: 'nothing in a sound history', kind: 'uniform-order', outcomes: [notRun, whole], times: 1, breaches: 0 },
  { title: 'an order that ran twice', kind: 'uniform-order', outcomes: [whole], times: 2, breaches: 1 },
  { title: 'an order that ran though refused as not run', kind: 'uniform-order', outcomes: [notRun, notRun], times: 1, breaches: 1 },
  { title: 'an answer to an order that never ran', kind: 'uniform-order', outcomes: [whole], times: 0, breaches: 1 },
  { title: 'an accepted summary without its answer', kind: 'policy-summary', outcomes: [running, notRun], times: 0, breaches: 1 },
  { title: 'a wrong answer', kind: 'policy-answer', outcomes: [{ kind: 'wrong', seen: 'x' }], times: 0, breaches: 1 }
]
for (const { title, kind, outcomes, times, breaches } of cases) {
  test(`should find ${title}`, () => {
    assert.is(judgeLoad([record(kind, outcomes)], landed(times)).length, breaches)
  })
}

test.run()
