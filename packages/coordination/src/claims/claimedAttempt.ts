/**
 * One attempt of an instance to run a request under a claim, from the claim request to the recorded outcome.
 * It sends only in the turn of the event loop in which a grant arrives or a delay ends, after a check of its deadline.
 */
import type { Milliseconds } from '../common/index.js'
import type { ClaimReply, ClaimReport, ClaimRequest, KeptAnswer, StoredAnswer } from './messages.js'
import { ANSWER_LIMITS, describeAnswer, divideAnswer, type AnswerLimits } from './storedAnswer.js'

const FIRST_RETRY_DELAY: Milliseconds = 500
const LONGEST_RETRY_DELAY: Milliseconds = 10_000
const RETRY_AFTER: Milliseconds = 1_000

/** How a call to the backend server ended. `not-sent` means that it was not sent and never will be. */
export type CallEnd = { kind: 'answered', answer: KeptAnswer } | { kind: 'not-sent' } | { kind: 'ambiguous' }

/** Why the caller of an attempt gets no answer. */
export type AttemptRefusal =
  | 'deadline-exceeded' | 'not-recorded' | 'not-sent' | 'overloaded' | 'in-progress' | 'conflict' | 'expired'
  | 'outcome-unknown' | 'answer-not-kept' | 'answer-unreadable'

/** The result for the caller. `notRun` is true if the request did not run and will not, and false if it ran. */
export type AttemptOutcome =
  | { kind: 'answered', answer: KeptAnswer }
  | { kind: 'refused', reason: AttemptRefusal, notRun: boolean | 'unknown', retryAfter?: Milliseconds }

/** Input of an attempt. */
export type AttemptMessage =
  | { kind: 'start' }
  /** Start with durable work that is already recorded for this instance. */
  | { kind: 'resume' }
  | { kind: 'claim-replied', reply: ClaimReply }
  | { kind: 'call-ended', end: CallEnd }
  | { kind: 'report-replied', reply: ClaimReply }
  /** `isWhole` tells whether all chunks are written. */
  | { kind: 'answer-stored', isWhole: boolean }
  /** The whole answer, or `undefined` where it is no longer kept. */
  | { kind: 'answer-read', answer: KeptAnswer | undefined }
  | { kind: 'answer-read-failed' }
  /** The delay of `send-after`, `store-after` or `report-after` is over. */
  | { kind: 'delay-over' }
  /** The deadline was reached. A caller that still waits gets a refusal at once. */
  | { kind: 'deadline-reached' }

/** An action for the attempt's driver to perform. `send` must be performed in the same turn of the event loop. */
export type AttemptEffect =
  | { kind: 'claim', request: ClaimRequest }
  | { kind: 'send' }
  | { kind: 'send-after', delay: Milliseconds }
  /** Create each chunk that is absent. A chunk that exists has the same text, since the name contains the digest. */
  | { kind: 'store-answer', storedAnswer: StoredAnswer, chunks: readonly string[] }
  | { kind: 'store-after', delay: Milliseconds }
  | { kind: 'read-answer', storedAnswer: StoredAnswer }
  /** No record names the chunks, and none ever will. */
  | { kind: 'remove-answer', storedAnswer: StoredAnswer }
  | { kind: 'report', report: ClaimReport }
  | { kind: 'report-after', delay: Milliseconds }
  | { kind: 'answer', outcome: AttemptOutcome }
  | { kind: 'end' }

/** Limits on what an attempt may do. */
export interface AttemptRules {
  /** On the local monotonic clock: nothing is sent after it. A durable request is bound by it only until its claim is granted. */
  deadline: Milliseconds
  /** Whether a call without an answer may be sent again under the same key, because the service recognizes repeated keys. */
  isResendable: boolean
}

/** Decides for one attempt. */
export class ClaimedAttempt {
  private _phase: 'new' | 'claiming' | 'sending' | 'waiting-to-send' | 'storing' | 'reporting' | 'reading' | 'ended' = 'new'
  private _isAnswered = false
  private _report: ClaimReport | undefined
  private _ownAnswer: KeptAnswer | undefined
  private _stored: { storedAnswer: StoredAnswer, chunks: readonly string[] } | undefined
  private _retryDelay: Milliseconds = FIRST_RETRY_DELAY

  /**
   * @param _request the claim to request, with the token of this attempt
   * @param _rules limits on what the attempt may do
   * @param _limits sizes of kept answers
   */
  constructor (
    private readonly _request: ClaimRequest,
    private readonly _rules: AttemptRules,
    private readonly _limits: AnswerLimits = ANSWER_LIMITS
  ) {}

  /** Whether nothing is left to do. */
  get isEnded (): boolean {
    return this._phase === 'ended'
  }

  /** Handles one message and returns the effects to perform. */
  handle (message: AttemptMessage, now: Milliseconds): AttemptEffect[] {
    switch (message.kind) {
      case 'start': return this._start(now)
      case 'resume': return this._send(now)
      case 'claim-replied': return this._phase === 'claiming' ? this._onClaimReply(message.reply, now) : []
      case 'call-ended': return this._phase === 'sending' ? this._onCallEnd(message.end, now) : []
      case 'report-replied': return this._phase === 'reporting' ? this._onReportReply(message.reply) : []
      case 'answer-stored': return this._phase === 'storing' ? this._onAnswerStored(message.isWhole) : []
      case 'answer-read': return this._phase === 'reading' ? this._onAnswerRead(message.answer) : []
      case 'answer-read-failed':
        return this._phase === 'reading' ? this._refuseAndEnd('answer-unreadable', false, RETRY_AFTER) : []
      case 'delay-over': return this._onDelayOver(now)
      case 'deadline-reached': return this._onDeadline()
    }
  }

  private get _isDurable (): boolean {
    return this._request.treatment === 'durable'
  }

  private _start (now: Milliseconds): AttemptEffect[] {
    if (now >= this._rules.deadline) return this._refuseAndEnd('deadline-exceeded', true)
    this._phase = 'claiming'
    return [{ kind: 'claim', request: this._request }]
  }

  private _onClaimReply (reply: ClaimReply, now: Milliseconds): AttemptEffect[] {
    switch (reply.kind) {
      case 'granted': return this._send(now)
      case 'done': return [...this._removeUnusedChunks(), ...this._answer({ kind: 'answered', answer: reply.answer }), ...this._end()]
      case 'done-stored': return this._readAnswer(reply.storedAnswer)
      case 'in-progress': return this._refuseAndEnd('in-progress', 'unknown', RETRY_AFTER)
      case 'unknown': return this._refuseAndEnd('outcome-unknown', 'unknown')
      case 'expired': return this._refuseAndEnd('expired', 'unknown')
      case 'answer-not-kept': return this._refuseAndEnd('answer-not-kept', false)
      case 'conflict': return this._refuseAndEnd('conflict', true)
      case 'overloaded': return this._refuseAndEnd('overloaded', true, reply.retryAfter)
      case 'not-owner': return this._refuseAndEnd('not-recorded', true, RETRY_AFTER)
      case 'unavailable': return this._refuseAndEnd('not-recorded', true, reply.retryAfter)
      // The claim may be recorded, now or later, so it is released, and this attempt never sends.
      default: return this._release('not-recorded')
    }
  }

  private _send (now: Milliseconds): AttemptEffect[] {
    if (!this._isDurable && now >= this._rules.deadline) return this._release('deadline-exceeded')
    this._phase = 'sending'
    return [{ kind: 'send' }]
  }

  private _onCallEnd (end: CallEnd, now: Milliseconds): AttemptEffect[] {
    if (end.kind === 'answered') return this._onAnswer(end.answer)
    const mayResend = this._isDurable || (this._rules.isResendable && end.kind === 'ambiguous' && now < this._rules.deadline)
    if (mayResend) return this._waitToSend()
    return end.kind === 'not-sent' ? this._release('not-sent') : this._reportUnknown()
  }

  /** A durable answer is returned only once it is recorded, since every caller gets the first recorded answer. */
  private _onAnswer (answer: KeptAnswer): AttemptEffect[] {
    this._ownAnswer = answer
    const { recordMaximumLength, chunkLength, maximumChunks } = this._limits
    if (answer.body.length <= recordMaximumLength) {
      return [...this._answerUnlessDurable(answer), ...this._sendReport({ state: 'done', answer })]
    }
    const chunks = divideAnswer(answer.body, chunkLength)
    if (chunks.length > maximumChunks) {
      return [...this._answer({ kind: 'answered', answer }), ...this._sendReport({ state: 'done' })]
    }
    this._stored = { storedAnswer: describeAnswer(this._request.attemptToken, answer, chunks), chunks }
    this._phase = 'storing'
    this._retryDelay = FIRST_RETRY_DELAY
    return [...this._answerUnlessDurable(answer), { kind: 'store-answer', ...this._stored }]
  }

  private _answerUnlessDurable (answer: KeptAnswer): AttemptEffect[] {
    return this._isDurable ? [] : this._answer({ kind: 'answered', answer })
  }

  /** The record may name the chunks only once all of them are written. */
  private _onAnswerStored (isWhole: boolean): AttemptEffect[] {
    if (!isWhole || this._stored === undefined) return [{ kind: 'store-after', delay: this._nextRetryDelay() }]
    return this._sendReport({ state: 'done', storedAnswer: this._stored.storedAnswer })
  }

  private _readAnswer (storedAnswer: StoredAnswer): AttemptEffect[] {
    const unused = storedAnswer.name === this._stored?.storedAnswer.name ? [] : this._removeUnusedChunks()
    this._phase = 'reading'
    return [...unused, { kind: 'read-answer', storedAnswer }]
  }

  private _onAnswerRead (answer: KeptAnswer | undefined): AttemptEffect[] {
    if (answer === undefined) return this._refuseAndEnd('answer-not-kept', false)
    return [...this._answer({ kind: 'answered', answer }), ...this._end()]
  }

  /** Another answer is recorded permanently, so no late copy of this attempt's report can still name its chunks. */
  private _removeUnusedChunks (): AttemptEffect[] {
    return this._stored === undefined ? [] : [{ kind: 'remove-answer', storedAnswer: this._stored.storedAnswer }]
  }

  private _waitToSend (): AttemptEffect[] {
    this._phase = 'waiting-to-send'
    return [{ kind: 'send-after', delay: this._nextRetryDelay() }]
  }

  private _reportUnknown (): AttemptEffect[] {
    return [...this._refuse('outcome-unknown', 'unknown'), ...this._sendReport({ state: 'unknown' })]
  }

  private _release (reason: AttemptRefusal): AttemptEffect[] {
    // Durable work that was recorded may be handed to another instance before the release is recorded.
    const refusal = this._refuse(reason, this._isDurable ? 'unknown' : true, RETRY_AFTER)
    return [...refusal, ...this._sendReport({ state: 'released', abandoned: this._request })]
  }

  private _sendReport (outcome: Pick<ClaimReport, 'state' | 'answer' | 'storedAnswer' | 'abandoned'>): AttemptEffect[] {
    const { workspace, idempotencyKey, attemptToken } = this._request
    this._phase = 'reporting'
    this._retryDelay = FIRST_RETRY_DELAY
    this._report = { workspace, idempotencyKey, attemptToken, ...outcome }
    return [{ kind: 'report', report: this._report }]
  }

  /** A report is repeated until it is recorded, since a claim that stays open blocks its key. */
  private _onReportReply (reply: ClaimReply): AttemptEffect[] {
    if (reply.kind === 'recorded') return this._onRecorded()
    if (reply.kind !== 'conflict') return [{ kind: 'report-after', delay: this._nextRetryDelay() }]
    if (!this._isDurable || this._isAnswered) return this._end()
    // Another instance's answer was recorded first. Claiming again returns it.
    this._phase = 'claiming'
    return [{ kind: 'claim', request: this._request }]
  }

  private _onRecorded (): AttemptEffect[] {
    const answer = this._report?.state === 'done' ? this._ownAnswer : undefined
    return [...(answer === undefined ? [] : this._answer({ kind: 'answered', answer })), ...this._end()]
  }

  private _onDelayOver (now: Milliseconds): AttemptEffect[] {
    if (this._phase === 'reporting' && this._report !== undefined) return [{ kind: 'report', report: this._report }]
    if (this._phase === 'storing' && this._stored !== undefined) return [{ kind: 'store-answer', ...this._stored }]
    if (this._phase !== 'waiting-to-send') return []
    if (this._isDurable || now < this._rules.deadline) return this._send(now)
    return this._reportUnknown()
  }

  private _onDeadline (): AttemptEffect[] {
    switch (this._phase) {
      case 'claiming': return this._isDurable && this._report !== undefined ? [] : this._release('deadline-exceeded')
      case 'sending':
      case 'waiting-to-send':
      case 'storing':
      case 'reporting': return this._refuse(this._isDurable ? 'in-progress' : 'outcome-unknown', 'unknown', RETRY_AFTER)
      case 'reading': return this._refuse('answer-unreadable', false, RETRY_AFTER)
      default: return []
    }
  }

  private _refuseAndEnd (reason: AttemptRefusal, notRun: boolean | 'unknown', retryAfter?: Milliseconds): AttemptEffect[] {
    return [...this._refuse(reason, notRun, retryAfter), ...this._end()]
  }

  private _refuse (reason: AttemptRefusal, notRun: boolean | 'unknown', retryAfter?: Milliseconds): AttemptEffect[] {
    return this._answer({ kind: 'refused', reason, notRun, ...(retryAfter === undefined ? {} : { retryAfter }) })
  }

  private _answer (outcome: AttemptOutcome): AttemptEffect[] {
    if (this._isAnswered) return []
    this._isAnswered = true
    return [{ kind: 'answer', outcome }]
  }

  private _end (): AttemptEffect[] {
    this._phase = 'ended'
    return [{ kind: 'end' }]
  }

  private _nextRetryDelay (): Milliseconds {
    const delay = this._retryDelay
    this._retryDelay = Math.min(LONGEST_RETRY_DELAY, delay * 2)
    return delay
  }
}
