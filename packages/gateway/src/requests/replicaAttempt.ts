/** One attempt to serve a request on one replica: the load that it adds, and the detection of a silent replica. */
import type { HealthSignal, Milliseconds, Prompt, Replica, Selection } from '@wasabihead/coordination'
import type { ReplicaChannel } from '../channels/index.js'
import type { GatewayState } from './gatewayState.js'

const SILENCE_CHECK_INTERVAL: Milliseconds = 200

/** One attempt, from its start to its end. Its load counts until it is closed, that of its prefill until the first body chunk. */
export class ReplicaAttempt {
  readonly sentAt: Milliseconds
  /** The same on the clock that counts suspensions of the machine. */
  readonly suspensionAwareSentAt: Milliseconds
  /** Whether the head of the answer was received. */
  hasHead = false
  /** Whether a complete event or the whole answer was received. */
  hasAnswered = false
  private _hasBody = false
  private _isOver = false
  /** Whether the load of the prefill and of the fetches still counts: until the first body chunk or the end. */
  private _isPrefillPending = true
  private _prefillTokens: number
  private readonly _memoryTokens: number
  private _silentSince: Milliseconds
  private _silenceTimer: NodeJS.Timeout | undefined

  /** @param _isStream whether the answer is an event stream, whose chunks show that the replica is alive */
  constructor (
    private readonly _state: GatewayState,
    readonly selection: Selection,
    readonly channel: ReplicaChannel,
    prompt: Prompt | undefined,
    private readonly _isStream: boolean
  ) {
    this.sentAt = _state.now()
    this.suspensionAwareSentAt = _state.suspensionAwareNow()
    this._silentSince = this.sentAt
    this._prefillTokens = selection.freshTokens
    this._memoryTokens = prompt === undefined ? 0 : prompt.inputTokens + prompt.maximumOutputTokens
    _state.health.onSend(this.replica.id)
    _state.links.onSent(this.replica.service, this.sentAt)
    _state.loads.add(this.replica.id, { requests: 1, prefillTokens: this._prefillTokens, memoryTokens: this._memoryTokens })
    this._addFetchLoads(1)
  }

  /** The selected replica. */
  get replica (): Replica {
    return this.selection.replica
  }

  /** Whether the attempt has ended; anything received for it afterwards is ignored. */
  get isOver (): boolean {
    return this._isOver
  }

  /** Records that a chunk of the body was received; returns whether it was the first one. */
  recordBody (): boolean {
    const now = this._state.now()
    const isFirst = !this._hasBody
    this._hasBody = true
    if (isFirst && this._isStream) this._state.health.onStream(this.replica.id, 1, now)
    this._state.health.onBytes(this.replica.id, now)
    this._state.links.onBytes(this.replica.service)
    this._releasePrefill()
    return isFirst
  }

  /** Ends the attempt. Where the signal is undefined, the attempt does not change the health of the replica. */
  close (signal: HealthSignal | undefined): void {
    if (this._isOver) return
    this._isOver = true
    clearTimeout(this._silenceTimer)
    const { health, loads, now } = this._state
    if (this._hasBody && this._isStream) health.onStream(this.replica.id, -1, now())
    this._releasePrefill()
    loads.add(this.replica.id, { requests: -1, prefillTokens: 0, memoryTokens: -this._memoryTokens })
    if (signal === undefined) health.onInconclusive(this.replica.id)
    else health.record(this.replica.id, signal, now())
    // Anything that still arrives on the channel belongs to an abandoned request.
    if (signal !== 'answered') this.channel.cancel()
  }

  /**
   * Restarts the silence timer. Once `silence` has passed without another restart, or the replica seems dead, `onSilent` is
   * called repeatedly until the attempt ends.
   * @param silence undefined stops the timer
   * @param onSilent receives the milliseconds since the restart
   */
  watchSilence (silence: Milliseconds | undefined, onSilent: (elapsed: Milliseconds) => void): void {
    clearTimeout(this._silenceTimer)
    if (silence === undefined) return
    this._silentSince = this._state.now()
    this._silenceTimer = setTimeout(() => { this._checkSilence(silence, onSilent) }, Math.min(silence, SILENCE_CHECK_INTERVAL))
  }

  private _checkSilence (silence: Milliseconds, onSilent: (elapsed: Milliseconds) => void): void {
    if (this._isOver) return
    const now = this._state.now()
    const { health, loadingReplicas } = this._state
    const { id } = this.replica
    const elapsed = now - this._silentSince
    // After a pause of this process, data that the replica sent meanwhile is read before the silence is judged.
    const isCheckLate = elapsed > silence + SILENCE_CHECK_INTERVAL
    const isDead = health.isSilent(id, now) && !loadingReplicas.has(id, now)
    // A busy replica queues a request while it serves others; sending it elsewhere as well would only add load.
    const isLikelyQueued = this._isStream && !this._hasBody && health.hasSentBytesSince(id, this.sentAt)
    if (isCheckLate) this._silentSince = now
    else if (isDead || (elapsed >= silence && !isLikelyQueued)) onSilent(elapsed)
    if (this._isOver) return
    this._silenceTimer = setTimeout(() => { this._checkSilence(silence, onSilent) }, SILENCE_CHECK_INTERVAL)
  }

  private _addFetchLoads (sign: 1 | -1): void {
    for (const [address, tokens] of this.selection.fetchLoads) {
      this._state.loads.add(address, { requests: sign, prefillTokens: sign * tokens, memoryTokens: 0 })
    }
  }

  private _releasePrefill (): void {
    if (!this._isPrefillPending) return
    this._isPrefillPending = false
    this._addFetchLoads(-1)
    this._state.loads.add(this.replica.id, { requests: 0, prefillTokens: -this._prefillTokens, memoryTokens: 0 })
    this._prefillTokens = 0
  }
}
