/** An attempt to have a request served by a peer that reaches replicas which this instance does not reach. */
import type { AttemptEnd, FrontRecord, HealthSignal, Milliseconds, StreamOrigin } from '@wasabihead/coordination'
import type { AnswerHead, ReplicaChannel } from '../channels/index.js'
import type { AnswerFacts } from '../protocol/index.js'
import { Attempt } from './attempt.js'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'
import { readRelayedAnswer, type RelayedAnswer } from './relayMessages.js'

/** An attempt at a peer. What its replicas say of themselves is recorded and reported by the peer. */
export class PeerAttempt extends Attempt {
  override readonly beginningRun = undefined
  private _answer: RelayedAnswer | undefined

  /** @param _possibleRunsBefore number of replicas on which the request may have run before; the peer counts on from it */
  constructor (
    state: GatewayState, private readonly _request: CallerRequest, private readonly _service: string, readonly peer: FrontRecord,
    channel: ReplicaChannel, private readonly _possibleRunsBefore: number
  ) {
    super(state, channel)
    state.peerLinks.onSent(peer.name)
  }

  override get destination (): string {
    return this.peer.name
  }

  override get origin (): StreamOrigin | undefined {
    return this._answer?.origin
  }

  /** When the peer, which refused the request, expects to be able to serve it. */
  get retryAfter (): Milliseconds | undefined {
    return this._answer?.retryAfter
  }

  override isExpected (head: AnswerHead): boolean {
    return readRelayedAnswer(head.headers)?.requestId === this._request.head.requestId
  }

  override readHead (head: AnswerHead): AnswerFacts {
    this._answer = readRelayedAnswer(head.headers)
    const refusal = this._answer?.refusal
    if (refusal === 'cut-off') this._state.peerLinks.onCutOff(this.peer.name, this._service, this._state.now())
    const facts = this._state.replicaProtocol.readAnswer(head.status, head.headers)
    return { ...facts, isNotRun: refusal !== undefined }
  }

  override onConnectionLost (): void {}

  /** A peer whose heartbeats arrive is slow because its replicas are, or closed a connection that was idle for long. */
  override healthSignalOf (end: AttemptEnd): HealthSignal {
    const { fronts, now } = this._state
    return end === 'not-sent' || !fronts.isHeard(this.peer.name, now()) ? 'unreachable' : 'failed'
  }

  override possibleRunsAfter (end: AttemptEnd, possibleRuns: number): number {
    const others = possibleRuns - 1
    if (end === 'not-sent') return others
    if (this._answer === undefined) return possibleRuns
    // Older builds state none in a refusal, whatever the sender has counted before.
    return others + Math.max(0, this._answer.possibleRuns - this._possibleRunsBefore)
  }

  override isUnsent (end: AttemptEnd): boolean {
    return end === 'not-sent' || (end === 'not-run' && this._answer?.hasArrived === false)
  }

  protected override _onBody (): void {}

  protected override _onClosed (signal: HealthSignal | undefined): void {
    const isReachable = signal === undefined ? undefined : signal !== 'unreachable'
    this._state.peerLinks.onEnded(this.peer.name, isReachable, this._state.now())
  }

  /** Whether the peer is alive is known from its heartbeats, so that it may be silent while a replica works. */
  protected override _isDead (now: Milliseconds): boolean {
    return !this._state.fronts.isHeard(this.peer.name, now)
  }

  protected override readonly _isLikelyQueued = false
}
