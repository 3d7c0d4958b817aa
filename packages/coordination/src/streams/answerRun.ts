/**
 * The run of one prompt to its whole answer: attempts on one replica after another, each resuming after the tokens that
 * the caller already has. Progress proves a connection, not that it is open: a phase that makes none within its bound
 * leads to a probe on a new connection, and only a replica that fails the probe is blamed.
 */
import { RefusalError, type NotRun } from '../admission/index.js'
import type { Milliseconds, SeededRandom } from '../common/index.js'
import type { EnginePart } from '../platform/index.js'
import { backOffDelay, spreadRetryAfter, type BackOffSettings } from '../retry/index.js'
import { AnswerAssembler, type AnswerEnd } from './answerAssembler.js'
import type { AnswerRunEffect, AnswerRunMessage, AttemptFailure, IdleBounds } from './messages.js'

const REFUSAL_RETRY_AFTER: Milliseconds = 2_000
const NEW_VERSION_RETRY_AFTER: Milliseconds = 100

/** What a run needs to know. */
export interface AnswerRunSettings {
  weightVersion: string
  maximumTokens: number
  deadline: Milliseconds
  idleBounds: IdleBounds
  backOff: BackOffSettings
  /** Takes one retry from the budget of the request's workspace and kind; false where none is left. */
  trySpendRetry: () => boolean
  /** Source of jitter. */
  random: SeededRandom
}

type Phase = 'new' | 'preparing' | 'streaming' | 'probing' | 'waiting' | 'ended'

interface Attempt {
  nonce: string
  replica: string
}

/** Decides the run of one prompt. After `finish` or `refuse` every further message is without effect. */
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

  /** @param _settings bounds, budget and the weight version chosen at admission */
  constructor (private readonly _settings: AnswerRunSettings) {
    this._assembler = new AnswerAssembler(_settings.weightVersion, _settings.maximumTokens)
  }

  /** The weight version of the answer; it changes only while nothing has been delivered. */
  get weightVersion (): string {
    return this._assembler.weightVersion
  }

  /** Whether the run has given its final answer. */
  get isEnded (): boolean {
    return this._phase === 'ended'
  }

  /** Takes a message and returns what is to be done. */
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
      this._enter('preparing', now + this._settings.idleBounds.prepare)
    ]
  }

  private _onPrepared (
    message: Extract<AnswerRunMessage, { kind: 'attempt-prepared' }>, now: Milliseconds
  ): AnswerRunEffect[] {
    if (this._phase !== 'preparing') return []
    if (this._versionRefusals.has(message.replica)) return this._onVersionGone(message.activeWeightVersion, now)
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
      this._enter('streaming', now + this._settings.idleBounds.firstPart)
    ]
  }

  private _onNoReplica (activeWeightVersion: string, now: Milliseconds): AnswerRunEffect[] {
    if (this._phase !== 'preparing') return []
    if (this._versionRefusals.size > 0) return this._onVersionGone(activeWeightVersion, now)
    return this._retry(now)
  }

  /** No replica serves the version. What the caller already has cannot go on under another one. */
  private _onVersionGone (activeWeightVersion: string, now: Milliseconds): AnswerRunEffect[] {
    if (activeWeightVersion === this.weightVersion) {
      // The swap to this version is still under way; the replicas that refused may load it yet.
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
    if (this._assembler.isInvalid) return [...delivered, this._cancel(attempt), ...this._blame(attempt, now)]
    if (!this._assembler.isWhole) {
      return [...delivered, this._enter('streaming', now + this._settings.idleBounds.betweenParts)]
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
    return this._blame(attempt, now)
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
    const timeout = this._settings.idleBounds.probe
    return [
      { kind: 'probe', attempt: this._attemptNumber, replica: attempt.replica, timeout },
      this._cancel(attempt),
      this._enter('probing', now + timeout)
    ]
  }

  /** A replica that answers on a new connection keeps its work once; one that stays silent twice is passed over. */
  private _onProbeEnded (isAnswered: boolean, now: Milliseconds): AnswerRunEffect[] {
    const attempt = this._attempt
    if (this._phase !== 'probing' || attempt === undefined) return []
    const dropped: AnswerRunEffect = { kind: 'drop-connections', replica: attempt.replica }
    if (!isAnswered) return [dropped, ...this._blame(attempt, now)]
    if (this._silentReplicas.has(attempt.replica)) this._excludedReplicas.add(attempt.replica)
    this._silentReplicas.add(attempt.replica)
    return [dropped, ...this._retry(now)]
  }

  private _blame (attempt: Attempt, now: Milliseconds): AnswerRunEffect[] {
    this._excludedReplicas.add(attempt.replica)
    return [{ kind: 'mark-failed', attempt: this._attemptNumber, replica: attempt.replica }, ...this._retry(now)]
  }

  private _retry (now: Milliseconds): AnswerRunEffect[] {
    // The number moves on first, so that nothing the failed attempt still sends can be taken for the next one's.
    this._attemptNumber += 1
    this._attempt = undefined
    const delay = backOffDelay(this._settings.backOff, this._retries, this._settings.random.next())
    if (now + delay >= this._settings.deadline) return this._onDeadline()
    if (!this._settings.trySpendRetry()) {
      return this._refuse('no-replica', 503, 'No replica gave a whole answer and the retries are used up',
        'Come back after the time given', REFUSAL_RETRY_AFTER)
    }
    this._retries += 1
    return [this._enter('waiting', now + delay)]
  }

  private _onDeadline (): AnswerRunEffect[] {
    const cancelled = this._cancelRunning()
    return [...cancelled, ...this._refuse('deadline-exceeded', 504, 'No replica gave a whole answer in time',
      'Come back after the time given', REFUSAL_RETRY_AFTER)]
  }

  private _onCallerLeft (): AnswerRunEffect[] {
    return [...this._cancelRunning(),
      ...this._refuse('deadline-exceeded', 499, 'The caller went away', 'Send the request again', 0)]
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
    const comeBack = spreadRetryAfter(retryAfter, this._settings.random.next())
    return [{ kind: 'refuse', refusal: new RefusalError(kind, status, notRun, problem, remedy, comeBack) }]
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
