/** Runs requests that are claimed first: those that run at most once, and those that must arrive in the end. */
import { Result } from 'true-myth'
import { v4 as createToken } from 'uuid'
import {
  contentDigest, PlatformRefusedError, RefusalError,
  type ClaimReply, type ClaimReport, type InstanceIdentity, type KeptAnswer
} from '@wasabihead/coordination'
import type { ClaimCoordinator } from '../claims/index.js'
import type { Clock } from '../instance/clock.js'
import type { Logger } from '../telemetry/index.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import type { ModelRunner } from './modelRunner.js'
import type { ServiceRunner } from './serviceRunner.js'
import { waitFor } from './waiting.js'

const REPORT_RETRY_DELAY = 500
const RETRY_AFTER_MILLISECONDS = 1_000
const DURABLE_RETRY_DELAY = 500

/** Runs claimed requests. */
export class ClaimedRunner {
  private _running = 0

  constructor (
    private readonly _identity: InstanceIdentity,
    private readonly _claims: ClaimCoordinator,
    private readonly _models: ModelRunner,
    private readonly _services: ServiceRunner,
    private readonly _clock: Clock,
    private readonly _logger: Logger
  ) {}

  /** Claimed requests that still run or whose outcome is not yet recorded. */
  get running (): number {
    return this._running
  }

  /** Claims the request, runs it if granted, and gives the kept answer or a refusal. */
  async run (request: AcceptedRequest): Promise<Result<KeptAnswer, RefusalError>> {
    const idempotencyKey = request.idempotencyKey
    if (idempotencyKey === undefined) {
      return Result.err(new RefusalError('idempotency-key-missing', 400, true,
        `The kind "${request.kind.name}" needs an idempotency key`, 'Send the header Idempotency-Key with a new UUID for each request'))
    }
    const attemptToken = createToken()
    const reply = await this._claims.claim({
      workspace: request.workspace.name,
      idempotencyKey,
      kind: request.kind.name,
      treatment: request.kind.treatment === 'durable' ? 'durable' : 'at-most-once',
      requestDigest: contentDigest(`${request.kind.name}\n${request.body}`),
      attemptToken,
      executor: this._identity,
      recordedAt: this._clock.wall(),
      ...(request.kind.treatment === 'durable' ? { request: request.body } : {})
    })
    if (reply.kind === 'granted') return await this._runGranted(request, { idempotencyKey, attemptToken })
    if (reply.kind === 'unavailable') {
      // The claim may have been recorded all the same; this attempt is given up and never sends.
      this._report(request, { idempotencyKey, attemptToken, state: 'released' }).catch(() => {})
    }
    return toResult(reply)
  }

  private async _runGranted (
    request: AcceptedRequest, claim: Pick<ClaimReport, 'idempotencyKey' | 'attemptToken'>
  ): Promise<Result<KeptAnswer, RefusalError>> {
    this._running += 1
    try {
      return request.kind.treatment === 'durable'
        ? await this._runUntilDone(request, claim)
        : await this._runOnce(request, claim)
    } finally {
      this._running -= 1
    }
  }

  private async _runOnce (
    request: AcceptedRequest, claim: Pick<ClaimReport, 'idempotencyKey' | 'attemptToken'>
  ): Promise<Result<KeptAnswer, RefusalError>> {
    if (this._clock.monotonic() >= request.deadline) {
      await this._report(request, { ...claim, state: 'released' })
      return Result.err(new RefusalError('deadline-exceeded', 504, true,
        'The deadline passed before the request was sent', 'Send it again with the same idempotency key', RETRY_AFTER_MILLISECONDS))
    }
    const answer = await this._services.callOnce(request, new AbortController().signal)
    if (answer.isOk) {
      await this._report(request, { ...claim, state: 'done', answer: answer.value })
      return Result.ok(answer.value)
    }
    if (answer.error instanceof PlatformRefusedError) {
      await this._report(request, { ...claim, state: 'released' })
      return Result.err(new RefusalError('service-unavailable', 503, true,
        'The service could not be reached and the request was not sent', 'Send it again with the same idempotency key', RETRY_AFTER_MILLISECONDS))
    }
    await this._report(request, { ...claim, state: 'unknown' })
    return Result.err(outcomeUnknown())
  }

  private async _runUntilDone (
    request: AcceptedRequest, claim: Pick<ClaimReport, 'idempotencyKey' | 'attemptToken'>
  ): Promise<Result<KeptAnswer, RefusalError>> {
    for (;;) {
      const answer = await this._tryDurable(request)
      if (answer.isOk) {
        await this._report(request, { ...claim, state: 'done', answer: answer.value })
        return answer
      }
      this._logger.warn('durable request failed and is tried again', {
        requestId: request.requestId, workspace: request.workspace.name, requestKind: request.kind.name
      })
      await waitFor(DURABLE_RETRY_DELAY)
    }
  }

  private async _tryDurable (request: AcceptedRequest): Promise<Result<KeptAnswer, RefusalError>> {
    const signal = new AbortController().signal
    if ('service' in request.kind.target) return await this._services.callWithRetries(request, signal)
    const answer = await this._models.run(request, () => {}, signal)
    return answer.map(whole => ({
      status: 200,
      body: JSON.stringify({ text: whole.text, tokenCount: whole.tokenCount, weightVersion: whole.weightVersion })
    }))
  }

  /** Repeats a report until the log has it: a claim that stays open would block its key. */
  private async _report (request: AcceptedRequest, report: Omit<ClaimReport, 'workspace'>): Promise<void> {
    const reply = await this._claims.report({ workspace: request.workspace.name, ...report })
    if (reply.kind !== 'unavailable' && reply.kind !== 'not-owner') return
    this._running += 1
    this._repeatReport(request, report).catch(() => {}).finally(() => { this._running -= 1 })
  }

  private async _repeatReport (request: AcceptedRequest, report: Omit<ClaimReport, 'workspace'>): Promise<void> {
    for (;;) {
      await waitFor(REPORT_RETRY_DELAY)
      const reply = await this._claims.report({ workspace: request.workspace.name, ...report })
      if (reply.kind !== 'unavailable' && reply.kind !== 'not-owner') return
    }
  }
}

function toResult (reply: ClaimReply): Result<KeptAnswer, RefusalError> {
  switch (reply.kind) {
    case 'done': return Result.ok(reply.answer)
    case 'in-progress':
      return Result.err(new RefusalError('in-progress', 409, 'unknown',
        'A request with this idempotency key is running', 'Send it again after the time given for its answer', RETRY_AFTER_MILLISECONDS))
    case 'conflict':
      return Result.err(new RefusalError('idempotency-key-conflict', 422, true,
        'This idempotency key belongs to another request', 'Use a new key for a new request'))
    case 'unknown': return Result.err(outcomeUnknown())
    default:
      return Result.err(new RefusalError('service-unavailable', 503, true,
        'The claim could not be recorded, so the request was not sent', 'Send it again with the same idempotency key', RETRY_AFTER_MILLISECONDS))
  }
}

function outcomeUnknown (): RefusalError {
  return new RefusalError('outcome-unknown', 409, 'unknown',
    'The request may have run, and its answer is not known', 'Ask your operator to resolve the claim; it is not sent again by itself')
}
