/** Runs requests that are claimed before they are sent: those that run at most once, and durable ones. */
import { Result } from 'true-myth'
import { v4 as createToken } from 'uuid'
import {
  ClaimedAttempt, contentDigest, PlatformRefusedError, RefusalError,
  type AttemptEffect, type AttemptMessage, type AttemptOutcome, type CallEnd, type Claim, type ClaimReply, type ClaimRequest,
  type ConfigurationDocument, type InstanceIdentity, type KeptAnswer, type Milliseconds, type StoredAnswer
} from '@wasabihead/coordination'
import type { ClaimCoordinator } from '../claims/index.js'
import type { Clock } from '../instance/clock.js'
import type { Logger } from '../telemetry/index.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import { canonicalJson } from './canonicalJson.js'
import { completionShapeOf } from './completionShapes.js'
import { DROPPED_ANSWER, refusalOf } from './claimedRefusals.js'
import { parseDurableRequest, serializeDurableRequest } from './durableRequest.js'
import type { ModelRunner } from './modelRunner.js'
import type { ServiceRunner } from './serviceRunner.js'

/** Maximum body size of a durable request, which the log retains until the answer is recorded. */
const DURABLE_BODY_MAXIMUM_BYTES = 131_072
/** Maximum number of attempts that run or whose outcome is not yet recorded; further requests are refused. */
const MAXIMUM_ATTEMPTS = 2_000
const FIRST_SERVER_ERROR_STATUS = 500
const OVERLOADED_RETRY_AFTER: Milliseconds = 1_000
/** How long durable work waits for a document that contains its workspace and kind again. */
const DROPPED_WORK_RETENTION: Milliseconds = 900_000
/** Stands in for the reply of a claim or report that threw: it may have been recorded, or may be recorded later. */
const UNEXPECTED_ERROR_REPLY: ClaimReply = { kind: 'ambiguous', retryAfter: OVERLOADED_RETRY_AFTER }
const AMBIGUOUS_CALL: AttemptMessage = { kind: 'call-ended', end: { kind: 'ambiguous' } }

interface RunningAttempt {
  /** Absent for resumed durable work that no document in force here could read yet. */
  request: AcceptedRequest | undefined
  claim: ClaimRequest
  deadline: Milliseconds
  /** Since when the workspace or kind of durable work has been missing from the document, or its recorded request unreadable. */
  droppedSince?: Milliseconds | undefined
  attempt: ClaimedAttempt
  /** Answers the caller; calls after the first have no effect. */
  answer: AnswerCallback
}

type AnswerCallback = (answer: Result<KeptAnswer, RefusalError>) => void

/** Performs the effects of each `ClaimedAttempt`: claims, calls, stored answers and reports. */
export class ClaimedRunner {
  private readonly _attempts = new Map<string, ClaimedAttempt>()

  constructor (
    private readonly _identity: InstanceIdentity,
    private readonly _claims: ClaimCoordinator,
    private readonly _models: ModelRunner,
    private readonly _services: ServiceRunner,
    private readonly _document: () => ConfigurationDocument | undefined,
    private readonly _clock: Clock,
    private readonly _logger: Logger,
    private readonly _droppedWorkRetention: Milliseconds = DROPPED_WORK_RETENTION
  ) {}

  /** Number of claimed requests that run or whose outcome is not yet recorded. */
  get running (): number {
    return this._attempts.size
  }

  /** Whether the attempt runs here or has an outcome that is not yet recorded. */
  hasAttempt (attemptToken: string): boolean {
    return this._attempts.has(attemptToken)
  }

  /** Claims the request, runs it if the claim is granted, and resolves to the kept answer or a refusal. */
  async run (request: AcceptedRequest): Promise<Result<KeptAnswer, RefusalError>> {
    const refusal = this._refusalBeforeClaim(request)
    if (refusal !== undefined) return Result.err(refusal)
    return await new Promise(resolve => {
      this._begin(request, this._claimRequest(request), { kind: 'start' }, resolve)
    })
  }

  /** Runs durable work that the log has reassigned to this instance. */
  resume (claim: Claim): void {
    this._begin(this._readDurable(claim), claim, { kind: 'resume' }, () => {})
  }

  private _refusalBeforeClaim (request: AcceptedRequest): RefusalError | undefined {
    if (request.idempotencyKey === undefined) {
      return new RefusalError('idempotency-key-missing', 400, true,
        `The kind "${request.kind.name}" needs an idempotency key`,
        'Send a new UUID for each request in the Idempotency-Key header')
    }
    if (request.kind.treatment === 'durable' && Buffer.byteLength(serializeDurableRequest(request)) > DURABLE_BODY_MAXIMUM_BYTES) {
      return new RefusalError('body-too-large', 413, true,
        'The body is too large for a durable request', `Send at most ${DURABLE_BODY_MAXIMUM_BYTES} bytes`)
    }
    if (this._attempts.size < MAXIMUM_ATTEMPTS) return undefined
    return new RefusalError('overloaded', 429, true,
      'Too many claimed requests are in flight on this host', 'Retry after the given delay', OVERLOADED_RETRY_AFTER)
  }

  private _claimRequest (request: AcceptedRequest): ClaimRequest {
    const isDurable = request.kind.treatment === 'durable'
    const wall = this._clock.wall()
    return {
      workspace: request.workspace.name,
      idempotencyKey: request.idempotencyKey as string,
      kind: request.kind.name,
      treatment: isDurable ? 'durable' : 'at-most-once',
      requestDigest: contentDigest(`${request.kind.name}\n${canonicalJson(request.body)}`),
      attemptToken: createToken(),
      executor: this._identity,
      recordedAt: wall,
      deadlineAt: wall + request.deadline - this._clock.monotonic(),
      ...(isDurable ? { request: serializeDurableRequest(request), maximumBacklog: request.workspace.maximumBacklog } : {})
    }
  }

  private _begin (
    request: AcceptedRequest | undefined, claim: ClaimRequest, firstMessage: AttemptMessage, answer: AnswerCallback
  ): void {
    const deadline = request?.deadline ?? this._clock.monotonic()
    const rules = { deadline, isResendable: request !== undefined && this._isResendable(request) }
    const running = { request, claim, deadline, attempt: new ClaimedAttempt(claim, rules), answer }
    this._attempts.set(claim.attemptToken, running.attempt)
    this._handle(running, firstMessage)
    const untilDeadline = Math.max(0, deadline - this._clock.monotonic())
    setTimeout(() => { this._handle(running, { kind: 'deadline-reached' }) }, untilDeadline).unref()
  }

  /** Whether an ambiguous call may be resent: the service ignores a repeated call with the same idempotency key. */
  private _isResendable (request: AcceptedRequest): boolean {
    const { target } = request.kind
    const service = this._document()?.services.find(({ name }) => 'service' in target && name === target.service)
    return service?.honoursIdempotencyKey === true
  }

  private _handle (running: RunningAttempt, message: AttemptMessage): void {
    for (const effect of running.attempt.handle(message, this._clock.monotonic())) this._perform(running, effect)
  }

  private _perform (running: RunningAttempt, effect: AttemptEffect): void {
    switch (effect.kind) {
      case 'claim':
        return this._handleWhenSettled(running, this._claims.claim(effect.request),
          reply => ({ kind: 'claim-replied', reply }), { kind: 'claim-replied', reply: UNEXPECTED_ERROR_REPLY })
      case 'store-answer':
        return this._handleWhenSettled(running, this._claims.storeAnswer(running.claim, effect.storedAnswer, effect.chunks),
          isWhole => ({ kind: 'answer-stored', isWhole }), { kind: 'answer-stored', isWhole: false })
      case 'read-answer':
        return this._handleWhenSettled(running, this._claims.readAnswer(running.claim, effect.storedAnswer), read => read.match({
          Ok: (answer): AttemptMessage => ({ kind: 'answer-read', answer }),
          Err: (): AttemptMessage => ({ kind: 'answer-read-failed' })
        }), { kind: 'answer-read-failed' })
      case 'remove-answer': return this._remove(running.claim, effect.storedAnswer)
      case 'report':
        return this._handleWhenSettled(running, this._claims.report(effect.report),
          reply => ({ kind: 'report-replied', reply }), { kind: 'report-replied', reply: UNEXPECTED_ERROR_REPLY })
      case 'send':
        return this._handleWhenSettled(running, this._send(running), end => ({ kind: 'call-ended', end }), AMBIGUOUS_CALL)
      case 'send-after':
        this._logger.warn('resending a claimed request', {
          requestId: running.request?.requestId, workspace: running.claim.workspace
        })
        return this._scheduleDelayOver(running, effect.delay)
      case 'store-after':
      case 'report-after': return this._scheduleDelayOver(running, effect.delay)
      case 'answer': return running.answer(toAnswer(effect.outcome))
      case 'end': this._attempts.delete(running.claim.attemptToken)
    }
  }

  private _remove (claim: ClaimRequest, storedAnswer: StoredAnswer): void {
    this._claims.removeAnswer(claim, storedAnswer).catch(error => {
      this._logger.warn('could not remove an unused answer', { problem: String(error) })
    })
  }

  private _scheduleDelayOver (running: RunningAttempt, delay: Milliseconds): void {
    setTimeout(() => { this._handle(running, { kind: 'delay-over' }) }, delay)
  }

  /** If `value` rejects, the attempt handles `failureMessage`, which assumes no outcome; otherwise it would stay open forever. */
  private _handleWhenSettled<Value> (
    running: RunningAttempt, value: Promise<Value>, toMessage: (value: Value) => AttemptMessage, failureMessage: AttemptMessage
  ): void {
    value.then(
      settled => { this._handle(running, toMessage(settled)) },
      error => {
        this._logger.error('unexpected error in a step of a claimed request', {
          requestId: running.request?.requestId, step: failureMessage.kind, problem: String(error)
        })
        this._handle(running, failureMessage)
      })
  }

  private async _send (running: RunningAttempt): Promise<CallEnd> {
    if (running.claim.treatment === 'durable') this._refreshDurable(running)
    const { request, answer } = running
    if (request === undefined) return this._endWithoutRequest(running)
    try {
      return request.kind.treatment === 'durable' ? await this._sendDurable(request, answer) : await this._sendOnce(request)
    } catch (error) {
      this._logger.error('a call failed with an unexpected error', { requestId: request.requestId, problem: String(error) })
      return { kind: 'ambiguous' }
    }
  }

  /** Follows the document, which may have removed or restored the workspace or kind since the last attempt. */
  private _refreshDurable (running: RunningAttempt): void {
    const document = this._document()
    if (document === undefined) return
    const isServed = document.workspaces.some(({ name }) => name === running.claim.workspace) &&
      document.kinds.some(({ name }) => name === running.claim.kind)
    running.request = isServed ? running.request ?? this._readDurable(running.claim) : undefined
    running.droppedSince = running.request === undefined ? running.droppedSince ?? this._clock.monotonic() : undefined
  }

  /** Until the retention of dropped work ends, the document may restore it; after that the work ends with a recorded refusal. */
  private _endWithoutRequest ({ claim, droppedSince }: RunningAttempt): CallEnd {
    const fields = { workspace: claim.workspace, requestKind: claim.kind }
    if (droppedSince === undefined || this._clock.monotonic() - droppedSince < this._droppedWorkRetention) {
      this._logger.warn('durable work is waiting for a document that contains its workspace and kind', fields)
      return { kind: 'ambiguous' }
    }
    this._logger.error('refused durable work whose workspace or kind was removed from the document', fields)
    return { kind: 'answered', answer: DROPPED_ANSWER }
  }

  private _readDurable (claim: ClaimRequest): AcceptedRequest | undefined {
    try {
      return parseDurableRequest(claim, this._document(), this._clock.monotonic())
    } catch (error) {
      this._logger.error('could not read a recorded request', { workspace: claim.workspace, problem: String(error) })
      return undefined
    }
  }

  private async _sendOnce (request: AcceptedRequest): Promise<CallEnd> {
    const answer = await this._services.callOnce(request, new AbortController().signal)
    if (answer.isOk) return { kind: 'answered', answer: answer.value }
    return { kind: answer.error instanceof PlatformRefusedError ? 'not-sent' : 'ambiguous' }
  }

  /** Treats a server error as ambiguous rather than as an answer, so that durable work is resent. */
  private async _sendDurable (request: AcceptedRequest, answerCaller: AnswerCallback): Promise<CallEnd> {
    const answer = await this._tryDurable(request)
    // Without a retry delay the work waits for an operator to release it: the caller is answered now, not at its deadline.
    const isQuarantined = answer.isErr && answer.error.kind === 'quarantined' && answer.error.retryAfter === undefined
    if (isQuarantined) answerCaller(Result.err(withUnknownOutcome(answer.error)))
    if (answer.isErr || answer.value.status >= FIRST_SERVER_ERROR_STATUS) return { kind: 'ambiguous' }
    return { kind: 'answered', answer: answer.value }
  }

  private async _tryDurable (request: AcceptedRequest): Promise<Result<KeptAnswer, RefusalError>> {
    const signal = new AbortController().signal
    if ('service' in request.kind.target) return await this._services.callWithRetries(request, signal)
    const answer = await this._models.run(request, () => {}, signal)
    return answer.map(whole => ({ status: 200, body: JSON.stringify(completionShapeOf(request).whole(request, whole)) }))
  }
}

function toAnswer (outcome: AttemptOutcome): Result<KeptAnswer, RefusalError> {
  return outcome.kind === 'answered' ? Result.ok(outcome.answer) : Result.err(refusalOf(outcome))
}

/** The refusal, with an unknown outcome: accepted work still runs after it is released from quarantine. */
function withUnknownOutcome ({ kind, status, problem, remedy }: RefusalError): RefusalError {
  return new RefusalError(kind, status, 'unknown', problem, remedy)
}
