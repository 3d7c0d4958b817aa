import { Result } from 'true-myth'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type {
  Claim, ClaimReply, ClaimReport, ClaimRequest, ConfigurationDocument, KeptAnswer, KindConfiguration, RefusalError
} from '@wasabihead/coordination'
import type { ClaimCoordinator } from '../claims/index.js'
import { SystemClock } from '../instance/clock.js'
import { Logger } from '../telemetry/index.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import { ClaimedRunner } from './claimedRunner.js'
import type { ModelRunner } from './modelRunner.js'
import type { ServiceRunner } from './serviceRunner.js'

const clock = new SystemClock()
const document = { workspaces: [{ name: 'harrowgate' }], kinds: [{ name: 'uniform-order', target: { service: 'checklist', path: '/' } }], services: [] } as unknown as ConfigurationDocument
const answer = { status: 200, body: 'an answer' }

function createRequest (treatment: 'durable' | 'at-most-once'): AcceptedRequest {
  const kind = { name: 'uniform-order', treatment, target: { service: 'checklist', path: '/orders' } }
  const request = { requestId: 'request-1', workspace: { name: 'harrowgate' }, kind, body: '{}', idempotencyKey: 'key-1' }
  return { ...request, receivedAt: 0, deadline: clock.monotonic() + 60_000 } as AcceptedRequest
}

interface Fakes {
  claim?: (request: ClaimRequest) => Promise<ClaimReply>
  report?: (report: ClaimReport, earlier: number) => Promise<ClaimReply>
  droppedWorkRetention?: number
  call?: () => Promise<Result<KeptAnswer, RefusalError>>
}

function createRunner (fakes: Fakes): { runner: ClaimedRunner, ended: Promise<ClaimReport> } {
  let earlier = 0
  let resolveEnded = (_report: ClaimReport): void => {}
  const ended = new Promise<ClaimReport>(resolve => { resolveEnded = resolve })
  const claims = {
    claim: fakes.claim ?? (async () => ({ kind: 'granted' })),
    report: async (report: ClaimReport) => {
      const reply = await (fakes.report ?? (async () => ({ kind: 'recorded' })))(report, earlier++)
      resolveEnded(report)
      return reply
    }
  } as unknown as ClaimCoordinator
  const call = fakes.call ?? (async () => Result.ok(answer))
  const services = { callOnce: call, callWithRetries: call } as unknown as ServiceRunner
  const runner = new ClaimedRunner(
    { host: 'entry-0', incarnation: 1 }, claims, {} as ModelRunner, services, () => document, clock, new Logger('entry-0', 'none'),
    fakes.droppedWorkRetention)
  return { runner, ended }
}

const fail = async (): Promise<never> => { throw new Error('inside') }

for (const treatment of ['durable', 'at-most-once'] as const) {
  test(`should release a ${treatment} request whose claim threw, since it is never sent`, async () => {
    let calls = 0
    const { runner, ended } = createRunner({ claim: fail, call: async () => { calls++; return Result.ok(answer) } })
    const outcome = await runner.run(createRequest(treatment))
    assert.is(outcome.isErr && outcome.error.notRun, treatment === 'durable' ? 'unknown' : true)
    assert.equal([(await ended).state, calls], ['released', 0])
  })

  test(`should report the outcome of a ${treatment} request again if the first report threw`, async () => {
    const { runner, ended } = createRunner({ report: async (_report, earlier) => earlier === 0 ? await fail() : { kind: 'recorded' } })
    const outcome = await runner.run(createRequest(treatment))
    assert.equal(outcome, Result.ok(answer))
    assert.is((await ended).state, 'done')
  })
}

test('should record an unknown outcome for an at-most-once request whose call threw', async () => {
  const { runner, ended } = createRunner({ call: fail })
  const outcome = await runner.run(createRequest('at-most-once'))
  assert.is(outcome.isErr && outcome.error.notRun, 'unknown')
  assert.is((await ended).state, 'unknown')
})

test('should resend durable work whose call threw', async () => {
  let calls = 0
  const { runner } = createRunner({ call: async () => calls++ === 0 ? await fail() : Result.ok(answer) })
  assert.equal(await runner.run(createRequest('durable')), Result.ok(answer))
})

const resumed: Claim = {
  workspace: 'harrowgate',
  idempotencyKey: 'key-1',
  kind: 'uniform-order',
  treatment: 'durable',
  requestDigest: 'digest',
  attemptToken: 'attempt-1',
  executor: { host: 'entry-0', incarnation: 1 },
  state: 'claimed',
  recordedAt: 0,
  request: '{}'
}
const dropped = [
  { title: 'record a refusal as the answer to work of a kind that the document dropped', kind: 'letter', status: 410 },
  { title: 'run work of a kind that the document contains', kind: 'uniform-order', status: 200 }
]
for (const { title, kind, status } of dropped) {
  test(`should ${title}`, async () => {
    const { runner, ended } = createRunner({ droppedWorkRetention: 0 })
    runner.resume({ ...resumed, kind })
    assert.ok(runner.hasAttempt('attempt-1'))
    const { state, answer: recorded } = await ended
    assert.equal([state, recorded?.status], ['done', status])
  })
}

test('should keep dropped work open until a document contains its kind again', async () => {
  const { runner, ended } = createRunner({ droppedWorkRetention: 60_000 })
  const letter = { name: 'letter', target: { service: 'checklist', path: '/' } } as KindConfiguration
  runner.resume({ ...resumed, kind: letter.name })
  await new Promise(resolve => { setImmediate(resolve) })
  assert.ok(runner.hasAttempt('attempt-1'))
  document.kinds.push(letter)
  assert.equal((await ended).answer, answer)
  document.kinds.pop()
})

test.run()
