/**
 * One attempt of an instance to run a claimed request: from the claim to the recorded outcome.
 * It sends only in the same turn in which a grant arrives or a delay ends, after its deadline was checked.
 */
import type { Milliseconds } from '../common/index.js'
import type { ClaimReply, ClaimReport, ClaimRequest, KeptAnswer, StoredAnswer } from './messages.js'
import { ANSWER_LIMITS, describeAnswer, divideAnswer, type AnswerLimits } from './storedAnswer.js'

const FIRST_DELAY: Milliseconds = 500
const LONGEST_DELAY: Milliseconds = 10_000
const RETRY_AFTER: Milliseconds = 1_000

/** How a call of the backend server ended. `not-sent` means that it was never sent and never will be. */
export type CallEnd = { kind: 'answered', answer: KeptAnswer } | { kind: 'not-sent' } | { kind: 'ambiguous' }

/** Why an attempt gave its caller no answer. */
export type AttemptRefusal =
  | 'deadline-exceeded' | 'not-recorded' | 'not-sent' | 'overloaded' | 'in-progress' | 'conflict' | 'expired'
  | 'outcome-unknown' | 'answer-not-kept' | 'answer-unreadable'

/** What the caller is told. */
export type AttemptOutcome =
  | { kind: 'answered', answer: KeptAnswer }
  | { kind: 'refused', reason: AttemptRefusal, notRun: boolean | 'unknown', retryAfter?: Milliseconds }

/** What an attempt is told. */
export type AttemptMessage =
  | { kind: 'start' }
  /** Durable work that is already recorded as this instance's own. */
  | { kind: 'resume' }
  | { kind: 'claim-replied', reply: ClaimReply }
  | { kind: 'call-ended', end: CallEnd }
  | { kind: 'report-replied', reply: ClaimReply }
  /** Whether every chunk is written. */
  | { kind: 'answer-stored', isWhole: boolean }
  /** The whole answer, or `undefined` where it is no longer kept. */
  | { kind: 'answer-read', answer: KeptAnswer | undefined }
  | { kind: 'answer-read-failed' }
  /** The delay of `send-after`, `store-after` or `report-after` is over. */
  | { kind: 'delay-over' }
  /** The deadline has come; the caller who waits is answered at once. */
  | { kind: 'deadline-reached' }

/** What an attempt asks its driver to do. `send` has to be performed in the same turn. */
export type AttemptEffect =
  | { kind: 'claim', request: ClaimRequest }
  | { kind: 'send' }
  | { kind: 'send-after', delay: Milliseconds }
  /** Create each chunk if absent. A chunk that exists already has the same text, since the name holds the digest. */
  | { kind: 'store-answer', storedAnswer: StoredAnswer, chunks: readonly string[] }
  | { kind: 'store-after', delay: Milliseconds }
  | { kind: 'read-answer', storedAnswer: StoredAnswer }
  /** No record names the chunks, and none ever will. */
  | { kind: 'remove-answer', storedAnswer: StoredAnswer }
  | { kind: 'report', report: ClaimReport }
  | { kind: 'report-after', delay: Milliseconds }
  | { kind: 'answer', outcome: AttemptOutcome }
  | { kind: 'end' }

/** What an attempt may do. */
export interface AttemptRules {
  /** On the local monotonic clock; a durable request is not bound by it. */
  deadline: Milliseconds
  /** Whether a call without an answer may be sent again under the same key, because the service honours such keys. */
  isResendable: boolean
}

/** Decides for one attempt. */
export class ClaimedAttempt {
  private _phase: 'new' | 'claiming' | 'sending' | 'waiting-to-send' | 'storing' | 'reporting' | 'reading' | 'ended' = 'new'
  private _isAnswered = false
  private _report: ClaimReport | undefined
  private _ownAnswer: KeptAnswer | undefined
  private _stored: { storedAnswer: StoredAnswer, chunks: readonly string[] } | undefined
  private _delay: Milliseconds = FIRST_DELAY

  /**
   * @param _request the claim to ask for, with the attempt's own token
   * @param _rules what the attempt may do
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

  /** Handles one message. */
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
        return this._phase === 'reading' ? this._finish('answer-unreadable', false, RETRY_AFTER) : []
      case 'delay-over': return this._onDelayOver(now)
      case 'deadline-reached': return this._onDeadline()
    }
  }

  private get _isDurable (): boolean {
    return this._request.treatment === 'durable'
  }

  private _start (now: Milliseconds): AttemptEffect[] {
    if (now >= this._rules.deadline) return this._finish('deadline-exceeded', true)
    this._phase = 'claiming'
    return [{ kind: 'claim', request: this._request }]
  }

  private _onClaimReply (reply: ClaimReply, now: Milliseconds): AttemptEffect[] {
    switch (reply.kind) {
      case 'granted': return this._send(now)
      case 'done': return [...this._removeUnused(), ...this._answer({ kind: 'answered', answer: reply.answer }), ...this._end()]
      case 'done-stored': return this._read(reply.storedAnswer)
      case 'in-progress': return this._finish('in-progress', 'unknown', RETRY_AFTER)
      case 'unknown': return this._finish('outcome-unknown', 'unknown')
      case 'expired': return this._finish('expired', 'unknown')
      case 'answer-not-kept': return this._finish('answer-not-kept', false)
      case 'conflict': return this._finish('conflict', true)
      case 'overloaded': return this._finish('overloaded', true, reply.retryAfter)
      case 'not-owner': return this._finish('not-recorded', true, RETRY_AFTER)
      case 'unavailable': return this._finish('not-recorded', true, reply.retryAfter)
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

  /** A durable answer goes out only once it is recorded: the first one recorded is what everyone gets. */
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
    this._delay = FIRST_DELAY
    return [...this._answerUnlessDurable(answer), { kind: 'store-answer', ...this._stored }]
  }

  private _answerUnlessDurable (answer: KeptAnswer): AttemptEffect[] {
    return this._isDurable ? [] : this._answer({ kind: 'answered', answer })
  }

  /** The record may name the chunks only once all of them are there. */
  private _onAnswerStored (isWhole: boolean): AttemptEffect[] {
    if (!isWhole || this._stored === undefined) return [{ kind: 'store-after', delay: this._nextDelay() }]
    return this._sendReport({ state: 'done', storedAnswer: this._stored.storedAnswer })
  }

  private _read (storedAnswer: StoredAnswer): AttemptEffect[] {
    const unused = storedAnswer.name === this._stored?.storedAnswer.name ? [] : this._removeUnused()
    this._phase = 'reading'
    return [...unused, { kind: 'read-answer', storedAnswer }]
  }

  private _onAnswerRead (answer: KeptAnswer | undefined): AttemptEffect[] {
    if (answer === undefined) return this._finish('answer-not-kept', false)
    return [...this._answer({ kind: 'answered', answer }), ...this._end()]
  }

  /** Another answer is recorded for good, so no late copy of this attempt's report can still name its chunks. */
  private _removeUnused (): AttemptEffect[] {
    return this._stored === undefined ? [] : [{ kind: 'remove-answer', storedAnswer: this._stored.storedAnswer }]
  }

  private _waitToSend (): AttemptEffect[] {
    this._phase = 'waiting-to-send'
    return [{ kind: 'send-after', delay: this._nextDelay() }]
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
    this._delay = FIRST_DELAY
    this._report = { workspace, idempotencyKey, attemptToken, ...outcome }
    return [{ kind: 'report', report: this._report }]
  }

  /** A report is repeated until the log has it: a claim that stays open would block its key. */
  private _onReportReply (reply: ClaimReply): AttemptEffect[] {
    if (reply.kind === 'recorded') return this._onRecorded()
    if (reply.kind !== 'conflict') return [{ kind: 'report-after', delay: this._nextDelay() }]
    if (!this._isDurable || this._isAnswered) return this._end()
    // Another instance's answer was recorded first; asking again gives it.
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

  private _finish (reason: AttemptRefusal, notRun: boolean | 'unknown', retryAfter?: Milliseconds): AttemptEffect[] {
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

  private _nextDelay (): Milliseconds {
    const delay = this._delay
    this._delay = Math.min(LONGEST_DELAY, delay * 2)
    return delay
  }
}
