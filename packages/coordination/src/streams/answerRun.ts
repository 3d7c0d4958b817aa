/**
 * Runs one prompt to its complete answer: attempts on one replica after another, each resuming after the tokens that were
 * already delivered to the caller. An open connection may be stalled, so only progress counts: if a stream makes none
 * within its idle timeout, the replica is probed on a new connection, and only one that fails the probe is marked failed.
 */
import { RefusalError, type NotRun } from '../admission/index.js'
import type { Milliseconds, SeededRandom } from '../common/index.js'
import type { EnginePart } from '../platform/index.js'
import { backOffDelay, jitteredRetryAfter, type BackOffSettings } from '../retry/index.js'
import { AnswerAssembler, type AnswerEnd } from './answerAssembler.js'
import type { AnswerRunEffect, AnswerRunMessage, AttemptFailure, IdleTimeouts } from './messages.js'

const NO_ANSWER_RETRY_AFTER: Milliseconds = 2_000
/** Retry delay where the request can start again under the new weight version. */
const NEW_VERSION_RETRY_AFTER: Milliseconds = 100

/** Settings of one run. */
export interface AnswerRunSettings {
  /** Version chosen at admission. */
  weightVersion: string
  /** Maximum number of tokens requested. */
  maximumTokens: number
  /** Point on the local monotonic clock. */
  deadline: Milliseconds
  idleTimeouts: IdleTimeouts
  backOff: BackOffSettings
  /** Spends one retry of the budget for the request's workspace and kind; false if none is left. */
  trySpendRetry: () => boolean
  /** Source of jitter. */
  random: SeededRandom
}

type Phase = 'new' | 'preparing' | 'streaming' | 'probing' | 'waiting' | 'ended'

interface Attempt {
  nonce: string
  replica: string
}

/** State machine of one run; the driver carries out its effects. After `finish` or `refuse` all messages are ignored. */
export class AnswerRun {
  private _phase: Phase = 'new'
  private _attemptNumber = 0
  private _attempt: Attempt | undefined
  private _assembler: AnswerAssembler
  private _phaseEndsAt: Milliseconds = Infinity
  private _mayHaveRun = false
  private _retries = 0
  private readonly _excludedReplicas = new Set<string>()
  private readonly _silentReplicas = new Set<string>()
  private readonly _versionRefusals = new Set<string>()

  /** @param _settings limits, timeouts, retry budget and weight version */
  constructor (private readonly _settings: AnswerRunSettings) {
    this._assembler = new AnswerAssembler(_settings.weightVersion, _settings.maximumTokens)
  }

  /** The weight version of the answer; it changes only before the first delivery. */
  get weightVersion (): string {
    return this._assembler.weightVersion
  }

  /** Whether the run has returned `finish` or `refuse`. */
  get isEnded (): boolean {
    return this._phase === 'ended'
  }

  /** Handles a message and returns the effects to carry out, in order. */
  handle (message: AnswerRunMessage, now: Milliseconds): AnswerRunEffect[] {
    if (this._phase === 'ended') return []
    if ('attempt' in message && message.attempt !== this._attemptNumber) return []
    switch (message.kind) {
      case 'start': return this._phase === 'new' ? this._prepare(now) : []
      case 'attempt-prepared': return this._onPrepared(message, now)
      case 'no-replica': return this._onNoReplica(message.activeWeightVersion, now)
      case 'part': return this._onPart(message.part, now)
      case 'attempt-ended': return this._onAttemptEnded(message.failure ?? 'broken', now)
      case 'probe-ended': return this._onProbeEnded(message.isAnswered, now)
      case 'forbidden': return this._onForbidden(message.refusal)
      case 'wake': return this._onWake(now)
      case 'caller-left': return this._onCallerLeft()
    }
  }

  private _prepare (now: Milliseconds): AnswerRunEffect[] {
    this._attemptNumber += 1
    this._attempt = undefined
    return [
      {
        kind: 'prepare-attempt',
        attempt: this._attemptNumber,
        weightVersion: this.weightVersion,
        excludedReplicas: new Set(this._excludedReplicas)
      },
      this._enter('preparing', now + this._settings.idleTimeouts.prepare)
    ]
  }

  private _onPrepared (
    message: Extract<AnswerRunMessage, { kind: 'attempt-prepared' }>, now: Milliseconds
  ): AnswerRunEffect[] {
    if (this._phase !== 'preparing') return []
    if (this._versionRefusals.has(message.replica)) return this._onVersionUnavailable(message.activeWeightVersion, now)
    this._attempt = { nonce: message.nonce, replica: message.replica }
    this._assembler.beginAttempt(message.nonce)
    return [
      {
        kind: 'open-stream',
        attempt: this._attemptNumber,
        ...this._attempt,
        weightVersion: this.weightVersion,
        resumeAfterTokens: this._assembler.deliveredTokens
      },
      this._enter('streaming', now + this._settings.idleTimeouts.firstPart)
    ]
  }

  private _onNoReplica (activeWeightVersion: string, now: Milliseconds): AnswerRunEffect[] {
    if (this._phase !== 'preparing') return []
    if (this._versionRefusals.size > 0) return this._onVersionUnavailable(activeWeightVersion, now)
    return this._retry(now)
  }

  /** No replica serves the version. An answer that was partly delivered cannot continue under another version. */
  private _onVersionUnavailable (activeWeightVersion: string, now: Milliseconds): AnswerRunEffect[] {
    if (activeWeightVersion === this.weightVersion) {
      // The swap to this version is still in progress; the replicas that refused may yet load it.
      this._versionRefusals.clear()
      return this._retry(now)
    }
    if (this._assembler.deliveredTokens === 0) {
      this._assembler = new AnswerAssembler(activeWeightVersion, this._settings.maximumTokens)
      this._versionRefusals.clear()
      this._excludedReplicas.clear()
      return this._prepare(now)
    }
    return this._refuse('no-replica', 503, `No replica serves weight version "${this.weightVersion}"`,
      'Send the request again; it then runs under the version in force', NEW_VERSION_RETRY_AFTER)
  }

  private _onPart (part: EnginePart, now: Milliseconds): AnswerRunEffect[] {
    const attempt = this._attempt
    if (this._phase !== 'streaming' || attempt === undefined || !this._assembler.belongs(part)) return []
    this._mayHaveRun = true
    const delivered = this._assembler.accept(part).map((ordered): AnswerRunEffect => ({ kind: 'deliver', part: ordered }))
    if (this._assembler.isInvalid) return [...delivered, this._cancel(attempt), ...this._failReplica(attempt, now)]
    if (!this._assembler.isWhole) {
      return [...delivered, this._enter('streaming', now + this._settings.idleTimeouts.betweenParts)]
    }
    this._phase = 'ended'
    const end = this._assembler.end as AnswerEnd
    return [...delivered, { kind: 'finish', replica: attempt.replica, weightVersion: this.weightVersion, end }]
  }

  private _onAttemptEnded (failure: AttemptFailure, now: Milliseconds): AnswerRunEffect[] {
    const attempt = this._attempt
    if (this._phase !== 'streaming' || attempt === undefined) return []
    if (failure === 'version-refused') {
      this._versionRefusals.add(attempt.replica)
      this._excludedReplicas.add(attempt.replica)
      return this._prepare(now)
    }
    if (failure === 'broken') this._mayHaveRun = true
    return this._failReplica(attempt, now)
  }

  private _onWake (now: Milliseconds): AnswerRunEffect[] {
    if (now >= this._settings.deadline) return this._onDeadline()
    if (now < this._phaseEndsAt) return [this._wakeAt()]
    const attempt = this._attempt
    if (this._phase === 'waiting') return this._prepare(now)
    if (this._phase === 'streaming' && attempt !== undefined) return this._onSilence(attempt, now)
    if (this._phase === 'probing') return this._onProbeEnded(false, now)
    return this._retry(now)
  }

  private _onSilence (attempt: Attempt, now: Milliseconds): AnswerRunEffect[] {
    this._mayHaveRun = true
    const timeout = this._settings.idleTimeouts.probe
    return [
      { kind: 'probe', attempt: this._attemptNumber, replica: attempt.replica, timeout },
      this._cancel(attempt),
      this._enter('probing', now + timeout)
    ]
  }

  /** A replica that answers the probe may be chosen again after its first silence; after its second it is excluded. */
  private _onProbeEnded (isAnswered: boolean, now: Milliseconds): AnswerRunEffect[] {
    const attempt = this._attempt
    if (this._phase !== 'probing' || attempt === undefined) return []
    const dropConnections: AnswerRunEffect = { kind: 'drop-connections', replica: attempt.replica }
    if (!isAnswered) return [dropConnections, ...this._failReplica(attempt, now)]
    if (this._silentReplicas.has(attempt.replica)) this._excludedReplicas.add(attempt.replica)
    this._silentReplicas.add(attempt.replica)
    return [dropConnections, ...this._retry(now)]
  }

  private _failReplica (attempt: Attempt, now: Milliseconds): AnswerRunEffect[] {
    this._excludedReplicas.add(attempt.replica)
    return [{ kind: 'mark-failed', attempt: this._attemptNumber, replica: attempt.replica }, ...this._retry(now)]
  }

  private _retry (now: Milliseconds): AnswerRunEffect[] {
    // The number is incremented first, so that late messages of the failed attempt are not attributed to the next one.
    this._attemptNumber += 1
    this._attempt = undefined
    const delay = backOffDelay(this._settings.backOff, this._retries, this._settings.random.next())
    if (now + delay >= this._settings.deadline) return this._onDeadline()
    if (!this._settings.trySpendRetry()) {
      return this._refuse('no-replica', 503, 'No replica returned a complete answer and the retry budget is exhausted',
        'Retry after the given delay', NO_ANSWER_RETRY_AFTER)
    }
    this._retries += 1
    return [this._enter('waiting', now + delay)]
  }

  private _onDeadline (): AnswerRunEffect[] {
    const cancelled = this._cancelRunning()
    return [...cancelled, ...this._refuse('deadline-exceeded', 504, 'No replica returned a complete answer before the deadline',
      'Retry after the given delay', NO_ANSWER_RETRY_AFTER)]
  }

  private _onCallerLeft (): AnswerRunEffect[] {
    return [...this._cancelRunning(),
      ...this._refuse('deadline-exceeded', 499, 'The caller disconnected', 'Send the request again', 0)]
  }

  private _onForbidden ({ kind, status, problem, remedy, retryAfter }: RefusalError): AnswerRunEffect[] {
    const cancelled = this._cancelRunning()
    this._phase = 'ended'
    const notRun: NotRun = this._mayHaveRun ? 'unknown' : true
    return [...cancelled, { kind: 'refuse', refusal: new RefusalError(kind, status, notRun, problem, remedy, retryAfter) }]
  }

  private _cancelRunning (): AnswerRunEffect[] {
    if (this._phase !== 'streaming' || this._attempt === undefined) return []
    this._mayHaveRun = true
    return [this._cancel(this._attempt)]
  }

  private _refuse (
    kind: 'no-replica' | 'deadline-exceeded', status: number, problem: string, remedy: string, retryAfter: Milliseconds
  ): AnswerRunEffect[] {
    this._phase = 'ended'
    const notRun: NotRun = this._mayHaveRun ? 'unknown' : true
    const jitteredDelay = jitteredRetryAfter(retryAfter, this._settings.random.next())
    return [{ kind: 'refuse', refusal: new RefusalError(kind, status, notRun, problem, remedy, jitteredDelay) }]
  }

  private _cancel (attempt: Attempt): AnswerRunEffect {
    return { kind: 'cancel-attempt', attempt: this._attemptNumber, ...attempt }
  }

  private _enter (phase: Phase, endsAt: Milliseconds): AnswerRunEffect {
    this._phase = phase
    this._phaseEndsAt = endsAt
    return this._wakeAt()
  }

  private _wakeAt (): AnswerRunEffect {
    return { kind: 'wake-at', at: Math.min(this._phaseEndsAt, this._settings.deadline) }
  }
}
