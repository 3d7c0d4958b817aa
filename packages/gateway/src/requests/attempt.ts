/** One attempt to have a request served, by a replica or by a peer, and the detection that its answer has stopped. */
import type { AttemptEnd, BeginningRun, HealthSignal, Milliseconds, StreamOrigin } from '@wasabihead/coordination'
import type { AnswerHead, ReplicaChannel } from '../channels/index.js'
import type { AnswerFacts } from '../protocol/index.js'
import type { CandidateAnswer } from './candidateAnswer.js'
import type { GatewayState } from './gatewayState.js'

const SILENCE_CHECK_INTERVAL: Milliseconds = 200

/** One attempt, from its start to its end. */
export abstract class Attempt {
  readonly sentAt: Milliseconds
  /** The same on the clock that counts suspensions of the machine. */
  readonly suspensionAwareSentAt: Milliseconds
  /** Whether the head of the answer was received. */
  hasHead = false
  /** Whether a complete event or the whole answer was received. */
  hasAnswered = false
  /** What a second attempt has brought until one of the two is ended; undefined where its answer is forwarded as it arrives. */
  candidate: CandidateAnswer | undefined
  protected _hasBody = false
  private _isOver = false
  private _silentSince: Milliseconds
  private _silenceTimer: NodeJS.Timeout | undefined

  constructor (protected readonly _state: GatewayState, readonly channel: ReplicaChannel) {
    this.sentAt = _state.now()
    this.suspensionAwareSentAt = _state.suspensionAwareNow()
    this._silentSince = this.sentAt
  }

  /** Id of the replica or name of the peer, for the log. */
  abstract readonly destination: string

  /** Service and software version of the replica that answers; undefined while that is not known. */
  abstract readonly origin: StreamOrigin | undefined

  /** The run of that replica; undefined if a peer passes its answer on. */
  abstract readonly beginningRun: BeginningRun | undefined

  /** Whether the answer belongs to this attempt; any other one is skipped. */
  abstract isExpected (head: AnswerHead): boolean

  /** Decodes the head of the answer and records what it says about its sender. */
  abstract readHead (head: AnswerHead): AnswerFacts

  /** Records that the connection ended during the exchange. */
  abstract onConnectionLost (): void

  /** What the end of the attempt says about the health of its destination. */
  abstract healthSignalOf (end: AttemptEnd): HealthSignal | undefined

  /**
   * Number of replicas on which the request may have run, now that the attempt has ended.
   * @param possibleRuns the same while it lasted, this attempt included
   */
  abstract possibleRunsAfter (end: AttemptEnd, possibleRuns: number): number

  /** Whether nothing of the request reached a replica, so that the next attempt is no retry there. */
  abstract isUnsent (end: AttemptEnd): boolean

  /** Whether the attempt has ended; anything received for it afterwards is ignored. */
  get isOver (): boolean {
    return this._isOver
  }

  /** Records that a chunk of the body was received; returns whether it was the first one. */
  recordBody (): boolean {
    const isFirst = !this._hasBody
    this._hasBody = true
    this._onBody(isFirst)
    return isFirst
  }

  /** Ends the attempt. Where the signal is undefined, the attempt does not change the health of its destination. */
  close (signal: HealthSignal | undefined): void {
    if (this._isOver) return
    this._isOver = true
    clearTimeout(this._silenceTimer)
    this._onClosed(signal)
    // Anything that still arrives on the channel belongs to an abandoned request.
    if (signal !== 'answered') this.channel.cancel()
  }

  /**
   * Restarts the silence timer. Once `silence` has passed without another restart, or the destination seems dead, `onSilent` is
   * called repeatedly until the attempt ends.
   * @param silence undefined stops the timer
   * @param onSilent receives the milliseconds since the restart
   */
  watchSilence (silence: Milliseconds | undefined, onSilent: (elapsed: Milliseconds) => void): void {
    clearTimeout(this._silenceTimer)
    this._silenceTimer = undefined
    if (silence === undefined) return
    this._silentSince = this._state.now()
    this._silenceTimer = setTimeout(() => { this._checkSilence(silence, onSilent) }, Math.min(silence, SILENCE_CHECK_INTERVAL))
  }

  protected abstract _onBody (isFirst: boolean): void

  protected abstract _onClosed (signal: HealthSignal | undefined): void

  /** Whether the destination sends nothing to anyone. */
  protected abstract _isDead (now: Milliseconds): boolean

  /** Whether the destination serves other requests, so that this one probably waits there. */
  protected abstract readonly _isLikelyQueued: boolean

  private _checkSilence (silence: Milliseconds, onSilent: (elapsed: Milliseconds) => void): void {
    if (this._isOver) return
    const now = this._state.now()
    const timer = this._silenceTimer = setTimeout(() => { this._checkSilence(silence, onSilent) }, SILENCE_CHECK_INTERVAL)
    // After a pause of this process, data that was sent meanwhile is read before the silence is judged.
    if (now - this._silentSince > silence + SILENCE_CHECK_INTERVAL) this._silentSince = now
    else if (this._isSilent(silence)) {
      setImmediate(() => {
        if (this._isOver || this._silenceTimer !== timer || !this._isSilent(silence)) return
        onSilent(this._state.now() - this._silentSince)
      })
    }
  }

  private _isSilent (silence: Milliseconds): boolean {
    const now = this._state.now()
    return this._isDead(now) || (now - this._silentSince >= silence && !this._isLikelyQueued)
  }
}
