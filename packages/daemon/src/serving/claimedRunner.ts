/** Runs requests that are claimed first: those that run at most once, and those that must arrive in the end. */
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
import { readDurableRequest, recordDurableRequest } from './durableRequest.js'
import type { ModelRunner } from './modelRunner.js'
import type { ServiceRunner } from './serviceRunner.js'

/** Largest body of a durable request; it is kept in the log until the answer is recorded. */
const DURABLE_BODY_MAXIMUM_BYTES = 131_072
/** Attempts that run or whose outcome is not yet recorded; above it new ones are refused. */
const MAXIMUM_ATTEMPTS = 2_000
const FIRST_SERVER_ERROR_STATUS = 500
const OVERLOADED_RETRY_AFTER: Milliseconds = 1_000
/** Time for which durable work waits for a document that has its workspace and kind again. */
const KEEP_DROPPED_FOR: Milliseconds = 900_000
/** What a claim or report that failed inside counts as: it may be recorded, now or later. */
const FAILED_INSIDE: ClaimReply = { kind: 'ambiguous', retryAfter: OVERLOADED_RETRY_AFTER }
const AMBIGUOUS_CALL: AttemptMessage = { kind: 'call-ended', end: { kind: 'ambiguous' } }

interface RunningAttempt {
  /** Absent for work of another instance that no document in force here could read yet. */
  request: AcceptedRequest | undefined
  claim: ClaimRequest
  deadline: Milliseconds
  /** Since when no document has had the workspace and kind of durable work, or its recorded request could not be read. */
  droppedSince?: Milliseconds | undefined
  attempt: ClaimedAttempt
  /** Answers the caller; only the first answer counts. */
  answer: AnswerCaller
}

type AnswerCaller = (answer: Result<KeptAnswer, RefusalError>) => void

/** Runs claimed requests. */
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
    private readonly _keepDroppedFor: Milliseconds = KEEP_DROPPED_FOR
  ) {}

  /** Claimed requests that still run or whose outcome is not yet recorded. */
  get running (): number {
    return this._attempts.size
  }

  /** Whether an attempt runs or has an outcome that is not yet recorded. */
  knows (attemptToken: string): boolean {
    return this._attempts.has(attemptToken)
  }

  /** Claims the request, runs it if granted, and gives the kept answer or a refusal. */
  async run (request: AcceptedRequest): Promise<Result<KeptAnswer, RefusalError>> {
    const refusal = this._refusalBefore(request)
    if (refusal !== undefined) return Result.err(refusal)
    return await new Promise(resolve => {
      this._begin(request, this._claimRequest(request), { kind: 'start' }, resolve)
    })
  }

  /** Runs durable work that the log now names as this instance's own. */
  resume (claim: Claim): void {
    this._begin(this._readDurable(claim), claim, { kind: 'resume' }, () => {})
  }

  private _refusalBefore (request: AcceptedRequest): RefusalError | undefined {
    if (request.idempotencyKey === undefined) {
      return new RefusalError('idempotency-key-missing', 400, true,
        `The kind "${request.kind.name}" needs an idempotency key`, 'Send the header Idempotency-Key with a new UUID for each request')
    }
    if (request.kind.treatment === 'durable' && Buffer.byteLength(recordDurableRequest(request)) > DURABLE_BODY_MAXIMUM_BYTES) {
      return new RefusalError('body-too-large', 413, true,
        'The body is too large to be kept', `Send at most ${DURABLE_BODY_MAXIMUM_BYTES} bytes`)
    }
    if (this._attempts.size < MAXIMUM_ATTEMPTS) return undefined
    return new RefusalError('overloaded', 429, true,
      'Too many claimed requests are open on this host', 'Come back after the time given', OVERLOADED_RETRY_AFTER)
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
      ...(isDurable ? { request: recordDurableRequest(request), maximumBacklog: request.workspace.maximumBacklog } : {})
    }
  }

  private _begin (
    request: AcceptedRequest | undefined, claim: ClaimRequest, first: AttemptMessage, answer: AnswerCaller
  ): void {
    const deadline = request?.deadline ?? this._clock.monotonic()
    const rules = { deadline, isResendable: request !== undefined && this._isResendable(request) }
    const running = { request, claim, deadline, attempt: new ClaimedAttempt(claim, rules), answer }
    this._attempts.set(claim.attemptToken, running.attempt)
    this._tell(running, first)
    const untilDeadline = Math.max(0, deadline - this._clock.monotonic())
    setTimeout(() => { this._tell(running, { kind: 'deadline-reached' }) }, untilDeadline).unref()
  }

  /** Such a service drops a second call with the same key, so an ambiguous call may be sent again. */
  private _isResendable (request: AcceptedRequest): boolean {
    const { target } = request.kind
    const service = this._document()?.services.find(({ name }) => 'service' in target && name === target.service)
    return service?.honoursIdempotencyKey === true
  }

  private _tell (running: RunningAttempt, message: AttemptMessage): void {
    for (const effect of running.attempt.handle(message, this._clock.monotonic())) this._perform(running, effect)
  }

  private _perform (running: RunningAttempt, effect: AttemptEffect): void {
    switch (effect.kind) {
      case 'claim':
        return this._follow(running, this._claims.claim(effect.request),
          reply => ({ kind: 'claim-replied', reply }), { kind: 'claim-replied', reply: FAILED_INSIDE })
      case 'store-answer':
        return this._follow(running, this._claims.storeAnswer(running.claim, effect.storedAnswer, effect.chunks),
          isWhole => ({ kind: 'answer-stored', isWhole }), { kind: 'answer-stored', isWhole: false })
      case 'read-answer':
        return this._follow(running, this._claims.readAnswer(running.claim, effect.storedAnswer), read => read.match({
          Ok: (answer): AttemptMessage => ({ kind: 'answer-read', answer }),
          Err: (): AttemptMessage => ({ kind: 'answer-read-failed' })
        }), { kind: 'answer-read-failed' })
      case 'remove-answer': return this._remove(running.claim, effect.storedAnswer)
      case 'report':
        return this._follow(running, this._claims.report(effect.report),
          reply => ({ kind: 'report-replied', reply }), { kind: 'report-replied', reply: FAILED_INSIDE })
      case 'send':
        return this._follow(running, this._send(running), end => ({ kind: 'call-ended', end }), AMBIGUOUS_CALL)
      case 'send-after':
        this._logger.warn('a claimed request is sent again', {
          requestId: running.request?.requestId, workspace: running.claim.workspace
        })
        return this._tellAfter(running, effect.delay)
      case 'store-after':
      case 'report-after': return this._tellAfter(running, effect.delay)
      case 'answer': return running.answer(toAnswer(effect.outcome))
      case 'end': this._attempts.delete(running.claim.attemptToken)
    }
  }

  private _remove (claim: ClaimRequest, storedAnswer: StoredAnswer): void {
    this._claims.removeAnswer(claim, storedAnswer).catch(error => {
      this._logger.warn('an unused answer was not removed', { problem: String(error) })
    })
  }

  private _tellAfter (running: RunningAttempt, delay: Milliseconds): void {
    setTimeout(() => { this._tell(running, { kind: 'delay-over' }) }, delay)
  }

  /** A step that fails inside must not leave the attempt open for good: the attempt is told what is certain, which is nothing. */
  private _follow<Value> (
    running: RunningAttempt, value: Promise<Value>, toMessage: (value: Value) => AttemptMessage, failed: AttemptMessage
  ): void {
    value.then(
      settled => { this._tell(running, toMessage(settled)) },
      error => {
        this._logger.error('a claimed request failed inside', {
          requestId: running.request?.requestId, step: failed.kind, problem: String(error)
        })
        this._tell(running, failed)
      })
  }

  private async _send (running: RunningAttempt): Promise<CallEnd> {
    if (running.claim.treatment === 'durable') this._refreshDurable(running)
    const { request, answer } = running
    if (request === undefined) return this._endWithoutRequest(running)
    try {
      return request.kind.treatment === 'durable' ? await this._sendDurable(request, answer) : await this._sendOnce(request)
    } catch (error) {
      this._logger.error('a call ended with an unexpected error', { requestId: request.requestId, problem: String(error) })
      return { kind: 'ambiguous' }
    }
  }

  /** The document may have dropped or brought back the workspace or kind since the last try. */
  private _refreshDurable (running: RunningAttempt): void {
    const document = this._document()
    if (document === undefined) return
    const isServed = document.workspaces.some(({ name }) => name === running.claim.workspace) &&
      document.kinds.some(({ name }) => name === running.claim.kind)
    running.request = isServed ? running.request ?? this._readDurable(running.claim) : undefined
    running.droppedSince = running.request === undefined ? running.droppedSince ?? this._clock.monotonic() : undefined
  }

  /** Durable work that nobody may run any more ends with a recorded refusal; until then the document may bring it back. */
  private _endWithoutRequest ({ claim, droppedSince }: RunningAttempt): CallEnd {
    const fields = { workspace: claim.workspace, requestKind: claim.kind }
    if (droppedSince === undefined || this._clock.monotonic() - droppedSince < this._keepDroppedFor) {
      this._logger.warn('durable work waits for a document with its workspace and kind', fields)
      return { kind: 'ambiguous' }
    }
    this._logger.error('durable work was refused, since the document has dropped its workspace or kind', fields)
    return { kind: 'answered', answer: DROPPED_ANSWER }
  }

  private _readDurable (claim: ClaimRequest): AcceptedRequest | undefined {
    try {
      return readDurableRequest(claim, this._document(), this._clock.monotonic())
    } catch (error) {
      this._logger.error('a recorded request cannot be read', { workspace: claim.workspace, problem: String(error) })
      return undefined
    }
  }

  private async _sendOnce (request: AcceptedRequest): Promise<CallEnd> {
    const answer = await this._services.callOnce(request, new AbortController().signal)
    if (answer.isOk) return { kind: 'answered', answer: answer.value }
    return { kind: answer.error instanceof PlatformRefusedError ? 'not-sent' : 'ambiguous' }
  }

  /** A server error is no answer to durable work, which is sent again. */
  private async _sendDurable (request: AcceptedRequest, answerCaller: AnswerCaller): Promise<CallEnd> {
    const answer = await this._tryDurable(request)
    // Kept work waits for an operator's release; its caller need not wait for its deadline to learn that.
    const isQuarantined = answer.isErr && answer.error.kind === 'quarantined' && answer.error.retryAfter === undefined
    if (isQuarantined) answerCaller(Result.err(keptInQuarantine(answer.error)))
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

/** Accepted work runs once it is released, so nobody can say that it never will. */
function keptInQuarantine ({ kind, status, problem, remedy }: RefusalError): RefusalError {
  return new RefusalError(kind, status, 'unknown', problem, remedy)
}
