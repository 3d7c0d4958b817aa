/** One attempt of a request on one replica: what it adds to the replica's load, and whether the replica still speaks. */
import type { HealthSignal, Milliseconds, Prompt, Replica, Selection } from '@wasabihead/coordination'
import type { ReplicaChannel } from '../channels/index.js'
import type { GatewayState } from './gatewayState.js'

/** Between two looks at a silent attempt. */
const SILENCE_CHECK: Milliseconds = 200

/** One attempt, from its sending to its end. */
export class ReplicaAttempt {
  readonly sentAt: Milliseconds
  /** The same on the clock of beliefs. */
  readonly beliefSentAt: Milliseconds
  /** Whether the head of the answer has come. */
  hasHead = false
  private _hasBody = false
  private _isOver = false
  /** Whether the first piece of the answer is awaited. */
  private _isFetching = true
  private _prefillTokens: number
  private readonly _memoryTokens: number
  private _silentSince: Milliseconds
  private _silenceTimer: NodeJS.Timeout | undefined

  /** @param _isStream whether the answer is an event stream, whose pieces show that the replica is alive */
  constructor (
    private readonly _state: GatewayState,
    readonly selection: Selection,
    readonly channel: ReplicaChannel,
    prompt: Prompt | undefined,
    private readonly _isStream: boolean
  ) {
    this.sentAt = _state.now()
    this.beliefSentAt = _state.beliefNow()
    this._silentSince = this.sentAt
    this._prefillTokens = selection.freshTokens
    this._memoryTokens = prompt === undefined ? 0 : prompt.inputTokens + prompt.maximumOutputTokens
    _state.health.onSend(this.replica.id)
    _state.loads.add(this.replica.id, { requests: 1, prefillTokens: this._prefillTokens, memoryTokens: this._memoryTokens })
    this._addFetches(1)
  }

  /** The replica that was chosen. */
  get replica (): Replica {
    return this.selection.replica
  }

  /** Whether the attempt has ended; what still comes of it is ignored. */
  get isOver (): boolean {
    return this._isOver
  }

  /** A piece of the answer came; whether it was the first one. */
  noteBody (): boolean {
    const now = this._state.now()
    const isFirst = !this._hasBody
    this._hasBody = true
    if (isFirst && this._isStream) this._state.health.onStream(this.replica.id, 1, now)
    this._state.health.onBytes(this.replica.id, now)
    this._settlePrefill()
    return isFirst
  }

  /** Ends the attempt; without a sign the replica is neither better nor worse for it. */
  close (sign: HealthSignal | undefined): void {
    if (this._isOver) return
    this._isOver = true
    clearTimeout(this._silenceTimer)
    const { health, loads, now } = this._state
    if (this._hasBody && this._isStream) health.onStream(this.replica.id, -1, now())
    this._settlePrefill()
    loads.add(this.replica.id, { requests: -1, prefillTokens: 0, memoryTokens: -this._memoryTokens })
    if (sign === undefined) health.onInconclusive(this.replica.id)
    else health.record(this.replica.id, sign, now())
    // Whatever still comes on it belongs to a request that was given up.
    if (sign !== 'answered') this.channel.abandon()
  }

  /** Calls back again and again once nothing came for a time, or the replica seems dead; undefined ends that. */
  watchSilence (silence: Milliseconds | undefined, onSilent: (elapsed: Milliseconds) => void): void {
    clearTimeout(this._silenceTimer)
    if (silence === undefined) return
    this._silentSince = this._state.now()
    this._silenceTimer = setTimeout(() => { this._checkSilence(silence, onSilent) }, Math.min(silence, SILENCE_CHECK))
  }

  private _checkSilence (silence: Milliseconds, onSilent: (elapsed: Milliseconds) => void): void {
    if (this._isOver) return
    const now = this._state.now()
    const { health, loading } = this._state
    const { id } = this.replica
    const elapsed = now - this._silentSince
    // After a pause of this process, what the replica sent meanwhile is read before it is judged.
    const isJudgedLate = elapsed > silence + SILENCE_CHECK
    const isDead = health.isSilent(id, now) && !loading.has(id, now)
    // A busy replica keeps a request waiting while it serves others; sending it elsewhere would only add work.
    const isWaiting = this._isStream && !this._hasBody && health.hasSentBytesSince(id, this.sentAt)
    if (isJudgedLate) this._silentSince = now
    else if (isDead || (elapsed >= silence && !isWaiting)) onSilent(elapsed)
    if (this._isOver) return
    this._silenceTimer = setTimeout(() => { this._checkSilence(silence, onSilent) }, SILENCE_CHECK)
  }

  private _addFetches (sign: 1 | -1): void {
    for (const [address, tokens] of this.selection.fetchLoads) {
      this._state.loads.add(address, { requests: sign, prefillTokens: sign * tokens, memoryTokens: 0 })
    }
  }

  private _settlePrefill (): void {
    if (!this._isFetching) return
    this._isFetching = false
    this._addFetches(-1)
    this._state.loads.add(this.replica.id, { requests: 0, prefillTokens: -this._prefillTokens, memoryTokens: 0 })
    this._prefillTokens = 0
  }
}
