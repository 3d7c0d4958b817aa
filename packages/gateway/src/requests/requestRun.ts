/** Serves one request: sends it to replicas or peers, decides what follows a failure, and forwards the answer. */
import {
  decideAfterAttempt, finalVerdict, isRepeatable, type AttemptContext, type AttemptEnd, type AttemptVerdict,
  type BeginningRun, type FrontRecord, type Milliseconds, type OpenAttempt, type Selection, type StreamOrigin
} from '@wasabihead/coordination'
import { breakOff } from '@wasabihead/http'
import { BufferedBytes, type AnswerHead, type ExchangeFault, type OwnedBytes } from '../channels/index.js'
import { describeFailure } from '../telemetry/index.js'
import { AnswerRelay, EventStreamRelay, BufferedAnswerRelay } from './answerRelay.js'
import type { Attempt } from './attempt.js'
import type { CallerRequest } from './callerRequest.js'
import type { CandidateAnswer } from './candidateAnswer.js'
import type { GatewayState } from './gatewayState.js'
import { OpenAttempts } from './openAttempts.js'
import { PeerAttempt } from './peerAttempt.js'
import { PeerPlacement } from './peerPlacement.js'
import { formatRelayMessage, RELAY_HEADER, type RelayedAnswer } from './relayMessages.js'
import { ReplicaAttempt } from './replicaAttempt.js'
import { checkRun, findOrigin, isBeginningAmbiguous } from './replicaRunCheck.js'
import { logAttempt, replicaHeaders } from './replicaSending.js'
import { RequestPlacement } from './requestPlacement.js'
import { refuse, type RefusalReason } from './refusals.js'

/** Share of the objective after which a repeatable plain request is tried elsewhere; a second attempt is then still on time. */
const PLAIN_ATTEMPT_TIMEOUT_SHARE = 0.6
/** A stream that has not begun is tried elsewhere after this multiple of the objective, if its replica sends nothing at all. */
const FIRST_EVENT_TIMEOUT_FACTOR = 1.5
/** Timeout between new events of a stream that can be resumed elsewhere; callers give up after two seconds or more. */
const STREAM_SILENCE_TIMEOUT: Milliseconds = 1_500
/** A peer tries a second replica, or states that it cannot, before this multiple of the time that a replica has. */
const PEER_TIMEOUT_FACTOR = 2
/** Share of the objective for which a request waits for replicas at their rate limit; a refusal is still early by then. */
const LIMIT_WAIT_SHARE = 0.12
/** Interval at which a request that waits for memory of a replica is checked. */
const HOLD_CHECK_INTERVAL: Milliseconds = 30
/** No further attempt is sent with less time than this left before the deadline. */
const MINIMUM_ATTEMPT_TIME: Milliseconds = 15
/** How long a caller may stop reading its answer; used until a configuration with limits is loaded. */
const DEFAULT_STALL_TIMEOUT: Milliseconds = 15_000
/** Failures are buffered completely, so that another replica's answer can replace them. */
const MAXIMUM_FAILURE_BYTES = 262_144
const FIRST_STATUS_AFTER_SUCCESS = 300
const FIRST_SERVER_ERROR_STATUS = 500
const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504

/** What changes in the message to the peer that relayed the request. */
type AnswerChange = Pick<RelayedAnswer, 'refusal' | 'retryAfter'>

/** One request, from its acceptance to its end. */
export class RequestRun {
  private readonly _tried = new Set<string>()
  /** Ids of the tried replicas that were left while they were silent. */
  private readonly _leftSilent = new Set<string>()
  /** Ids of the replicas on which the request may have run. */
  private readonly _ranAt = new Set<string>()
  private readonly _relay: AnswerRelay
  private readonly _placement: RequestPlacement
  private readonly _peers: PeerPlacement
  private readonly _deadlineTimer: NodeJS.Timeout
  private readonly _open = new OpenAttempts(() => { this._guard(() => { this._switchToHedge() }) })
  private _attempts = 0
  private _possibleRuns: number
  /** Whether the request was sent to any replica. */
  private _hasArrived = false
  /** Whether this instance or a peer counts the request in its retry budget. */
  private _isCounted: boolean
  private _isOver = false
  private _hasTriedReservation = false
  private _hasOrigin = false
  /** Whether a replica was chosen and is asked whether it is still the run that it has registered. */
  private _isCheckingRun = false
  /** The retry that was spent, until the request is sent again. */
  private _unusedRetry: { service: string, spentAt: Milliseconds } | undefined
  /** The replica that began the stream; undefined if this request goes on with one, or a peer has passed it on. */
  private _begunAt: BeginningRun | undefined
  private _holdTimer: NodeJS.Timeout | undefined
  private _stallTimer: NodeJS.Timeout | undefined
  private _firstByteAt: Milliseconds | undefined
  /** The last failure that a replica answered with, forwarded if no attempt succeeds after it. */
  private _failure: { head: AnswerHead, body: BufferedBytes } | undefined

  constructor (
    private readonly _state: GatewayState, private readonly _request: CallerRequest, private readonly _onFinished: () => void
  ) {
    const { route, response, head } = _request
    this._relay = route.kind === 'streaming'
      ? new EventStreamRelay(response, () => { this._onDrained() }, head.lastEventId)
      : new BufferedAnswerRelay(response, () => { this._onDrained() })
    this._placement = new RequestPlacement(_state, _request)
    this._peers = new PeerPlacement(_state, _request)
    const { relayed } = _request
    this._possibleRuns = relayed?.possibleRuns ?? 0
    this._isCounted = relayed?.isCounted ?? false
    for (const id of relayed?.tried ?? []) this._tried.add(id)
    const timeLeft = Math.max(0, _request.deadline - _state.now())
    this._deadlineTimer = setTimeout(() => { this._guard(() => { this._onDeadline() }) }, timeLeft)
    response.once('close', () => { this._onCallerDisconnected() })
  }

  /** Starts the first attempt; refuses a request that has repeatedly crashed replicas. */
  start (): void {
    this._guard(() => { this._start() })
  }

  /** Ends the request if it waits to be sent and must not be sent any more. */
  endIfWaiting (): void {
    if (!this._isOver && this._open.first === undefined) this._guard(() => { this._endIfStopping() })
  }

  /** Ends the request with what can be said of it, if the process exits before its replica can be waited for any longer. */
  endIfLate (): void {
    const { gracefulStop, now } = this._state
    if (this._isOver || gracefulStop.mayWait(this._relay.hasBegun, now())) return
    this._guard(() => {
      this._open.closeAll(undefined)
      this._giveUp('leaving')
    })
  }

  /** Whatever fails here, the caller must not wait for ever, nor be told that a request has not run that may have run. */
  private _guard (action: () => void): void {
    try {
      action()
    } catch (error) {
      this._state.metrics.count('unexpected_failures_total')
      const { requestId } = this._request.head
      this._state.log.warn('request-failed-unexpectedly', { requestId, detail: describeFailure(error) })
      if (this._isOver) return
      this._open.closeAll(undefined)
      this._endUnexpectedly()
    }
  }

  private _endUnexpectedly (): void {
    try {
      this._fail('unexpectedly')
    } catch {
      // For example, what broke the answer is still in the response.
      this._breakOff()
    }
  }

  private _start (): void {
    if (this._endIfBlocked()) return
    const { head: { lastEventId, resumedRequestId }, route, relayed } = this._request
    if (relayed?.origin !== undefined) this._placement.continueFrom(relayed.origin)
    // The sender of a relayed request has found out where its stream began.
    const isResumption = route.kind === 'streaming' && lastEventId !== undefined && relayed === undefined
    if (isResumption) this._state.log.detach('stream-origin', this._resume(resumedRequestId))
    else this._tryNext()
  }

  /** Goes on with a stream at the version of the software that began it. Refuses if there may be several and it is not known. */
  private async _resume (resumedRequestId: string | undefined): Promise<void> {
    // Also asked for where one version is known: the instance that began the stream may have read of another one earlier.
    const origin = resumedRequestId === undefined ? 'unknown' : await this._findOrigin(resumedRequestId)
    if (this._isOver) return
    if (typeof origin === 'object') this._placement.continueFrom(origin)
    else if (this._mayVersionsBeMixed() || (origin === 'unanswered' && !this._isCatalogRecent)) return this._refuse('origin-unknown')
    this._guard(() => { this._tryNext() })
  }

  private async _findOrigin (requestId: string): Promise<StreamOrigin | 'unknown' | 'unanswered'> {
    return await findOrigin(this._state, requestId) ?? await this._state.requestStreamOrigin(requestId)
  }

  private get _isCatalogRecent (): boolean {
    const { catalogCurrency, readSchedule, suspensionAwareNow } = this._state
    return catalogCurrency.isRecent(readSchedule.currentAsOf, suspensionAwareNow())
  }

  private _mayVersionsBeMixed (): boolean {
    const { softwareVersions, catalog, catalogCurrency, readSchedule, fronts, suspensionAwareNow } = this._state
    const now = suspensionAwareNow()
    const peers = fronts.peers.map(({ name }) => name)
    if (!catalogCurrency.isCurrent(readSchedule.currentAsOf, peers, now, fronts.hasActiveSet)) return true
    return this._request.route.targets.some(({ service }) => softwareVersions.isMixed(service, catalog.replicas, now))
  }

  /** Returns whether the request must not be sent to any replica, or not once more; ends it then, unless an attempt is open. */
  private _endIfBlocked (): boolean {
    const blockedFeatures = this._blockedFeatures
    if (blockedFeatures === undefined) return false
    const { requestId } = this._request.head
    this._state.log.decision('request-blocked', { requestId, features: blockedFeatures.join(','), attempts: this._attempts })
    if (this._open.first === undefined) this._giveUp('crashes-replicas')
    return true
  }

  /** Returns whether the request must not be sent any more, since the instance stops; ends it then, unless an attempt is open. */
  private _endIfStopping (): boolean {
    if (this._maySend(this._state.now())) return false
    if (this._open.first === undefined) this._giveUp('leaving')
    return true
  }

  /** Returns whether the request must not be sent any more, or not now; ends it then, unless an attempt is open. */
  private _endIfNotSent (): boolean {
    if (!this._endIfBlocked() && !this._endIfStopping()) return false
    this._giveBackRetry()
    return true
  }

  private _maySend (now: Milliseconds): boolean {
    const { objective } = this._request.route
    return this._state.gracefulStop.maySend({ possibleRuns: this._possibleRuns, objective }, now)
  }

  private _giveUp (reason: RefusalReason): void {
    if (this._relay.hasBegun) this._breakOff()
    else if (this._possibleRuns === 0) this._refuse(reason)
    else this._fail(reason)
  }

  private get _blockedFeatures (): readonly string[] | undefined {
    return this._state.crashes.blockOf(this._request, this._state.suspensionAwareNow())
  }

  private _tryNext (): void {
    if (this._isCheckingRun || this._endIfNotSent()) return
    const { service, prefersPeers } = this._placement
    const peer = this._peers.selectInsteadOfReplica(service, prefersPeers)
    if (peer !== undefined) return this._sendToPeer(peer)
    this._readmitSilent()
    const selection = this._placement.select(this._tried)
    if (selection === undefined) {
      if (this._open.first !== undefined) return this._giveBackRetry()
      if (this._waitForReservedSend()) return
      if (this._relay.hasBegun) this._breakOff()
      else if (this._possibleRuns > 0) this._fail('no-replica-left')
      else if (this._placement.isCutOff) this._refuse('cut-off')
      else this._refuse(this._placement.isAtLimit ? 'at-limit' : 'no-replica')
      return
    }
    switch (this._attempts > 0 ? 'send' : this._placement.admit(selection)) {
      case 'send':
        if (this._relay.kind === 'events' && this._relay.lastEventId !== undefined) this._sendToRegisteredRun(selection)
        else this._sendToReplica(selection)
        return
      case 'hold':
        this._tryNextAfter(HOLD_CHECK_INTERVAL)
        return
      case 'refuse': this._refuse('crowded')
    }
  }

  /** Has replicas asked once more that were left while they were silent, where no other one is left: they may be sound. */
  private _readmitSilent (): void {
    if (this._open.first !== undefined || this._placement.hasUntriedReplica(this._tried)) return
    for (const id of this._leftSilent) this._tried.delete(id)
    this._leftSilent.clear()
  }

  /** Reserves a send within the replicas' rate limits and waits for it; false if none is possible in time. */
  private _waitForReservedSend (): boolean {
    const { receivedAt, route } = this._request
    if (this._possibleRuns > 0 || this._hasTriedReservation) return false
    this._hasTriedReservation = true
    const delay = this._placement.reserveSend(this._tried, receivedAt + route.objective * LIMIT_WAIT_SHARE)
    if (delay === undefined) return false
    this._tryNextAfter(delay)
    return true
  }

  private _tryNextAfter (delay: Milliseconds): void {
    this._holdTimer = setTimeout(() => { this._guard(() => { if (!this._isOver) this._tryNext() }) }, delay)
  }

  /** Goes on with a stream at the replica, unless that may have another software version than it has registered. */
  private _sendToRegisteredRun (selection: Selection): void {
    const { replica } = selection
    const { progress } = this._relay
    this._isCheckingRun = true
    const begun = this._begunAt
    const isLast = !this._placement.hasUntriedReplica(new Set([...this._tried, replica.id]))
    const checks = Promise.all([
      checkRun(this._state, replica, isLast), begun === undefined ? false : isBeginningAmbiguous(this._state, begun)
    ])
    this._state.log.detach('replica-run', checks.then(([run, isAmbiguous]) => {
      this._guard(() => {
        this._isCheckingRun = false
        const hasGoneOn = this._open.first !== undefined && (this._relay.progress > progress || !this._isRepeatable)
        if (this._isOver || hasGoneOn) return this._giveBackRetry()
        if (run !== 'registered' || isAmbiguous) {
          this._tried.add(replica.id)
          return this._tryNext()
        }
        if (this._endIfNotSent()) return
        // While it was asked, the replica may have begun to leave or stated a limit.
        const current = this._placement.reselect(selection, this._tried)
        if (current === undefined) this._tryNext()
        else this._sendToReplica(current)
      })
    }))
  }

  private _sendToReplica (selection: Selection): void {
    const [state, request] = [this._state, this._request]
    const { replica } = selection
    const channel = state.channels.acquire(replica, this._isRepeatable)
    const attempt = new ReplicaAttempt(state, request, selection, channel, this._relay.kind === 'events')
    this._count()
    this._attempts += 1
    this._tried.add(replica.id)
    this._placement.onSent(selection)
    logAttempt(state, request, selection, { attempt: this._attempts, requiredVersion: this._placement.requiredVersion, channel })
    const headers = replicaHeaders(state, request, selection, this._relay.lastEventId ?? request.head.lastEventId)
    this._exchange(attempt, headers, this._firstSilenceTimeout())
  }

  private _sendToPeer (peer: FrontRecord): void {
    const [state, request] = [this._state, this._request]
    const channel = state.channels.acquire(this._peers.targetOf(peer), this._isRepeatable)
    const attempt = new PeerAttempt(state, request, this._placement.service, peer, channel, this._possibleRuns)
    this._attempts += 1
    state.log.decision('attempt-relayed', {
      requestId: request.head.requestId,
      attempt: this._attempts,
      route: request.route.name,
      service: this._placement.service,
      peer: peer.name,
      possibleRuns: this._possibleRuns
    })
    const headers = this._peers.headersFor({
      possibleRuns: this._possibleRuns,
      tried: [...this._ranAt],
      isCounted: this._isCounted,
      lastEventId: this._relay.lastEventId ?? request.head.lastEventId,
      origin: this._placement.origin
    })
    // The peer counts the request from now on; without a count in either budget no retry would be allowed.
    this._isCounted = true
    const silence = this._firstSilenceTimeout()
    this._exchange(attempt, headers, silence === undefined ? undefined : silence * PEER_TIMEOUT_FACTOR)
  }

  /** @param silence time without an answer after which the attempt is abandoned; undefined if it must not be repeated */
  private _exchange (attempt: Attempt, headers: [string, string][], silence: Milliseconds | undefined): void {
    const { method, target, body } = this._request
    this._open.add(attempt)
    this._unusedRetry = undefined
    this._possibleRuns += 1
    this._stampAnswer({})
    this._watchSilence(attempt, silence)
    attempt.channel.send({
      method,
      target,
      headers: [...headers, ...this._bodyHeaders],
      body: body.length > 0 ? body : undefined
    }, {
      isExpected: head => attempt.isExpected(head),
      onHead: head => { this._guard(() => { this._onHead(attempt, head) }) },
      onBody: chunk => { this._guard(() => { this._onBody(attempt, chunk) }) },
      heldBytes: () => attempt.candidate?.heldBytes ?? this._failure?.body.length ?? this._relay.heldBytes,
      onEnd: () => { this._guard(() => { this._onEnd(attempt) }) },
      onFault: (fault, detail) => { this._guard(() => { this._onFault(attempt, fault, detail) }) }
    })
  }

  private _watchSilence (attempt: Attempt, silence: Milliseconds | undefined): void {
    attempt.watchSilence(silence, elapsed => { this._guard(() => { this._onSilence(attempt, elapsed) }) })
  }

  private get _bodyHeaders (): [string, string][] {
    const { body, rawHeaders } = this._request
    return body.length > 0 || hasBodyHeaders(rawHeaders) ? [['Content-Length', String(body.length)]] : []
  }

  private _onHead (attempt: Attempt, head: AnswerHead): void {
    if (attempt.isOver) return
    attempt.hasHead = true
    const facts = attempt.readHead(head)
    if (facts.isNotRun) {
      this._endAttempt(attempt, 'not-run', `status ${head.status}`)
      return
    }
    if (!facts.isSealed || head.headers['content-encoding'] !== undefined) {
      this._endAttempt(attempt, 'broken', 'the answer is not the replica\'s own')
      return
    }
    const isFailure = head.status >= FIRST_SERVER_ERROR_STATUS
    if (isFailure || (this._relay.hasBegun && head.status >= FIRST_STATUS_AFTER_SUCCESS)) {
      if (!this._continueWith(attempt, true)) return
      this._failure = { head, body: new BufferedBytes() }
      return
    }
    if (attempt === this._open.hedge) {
      const fault = this._relay.continuationFaultOf(head)
      if (fault !== undefined) return this._endAttempt(attempt, 'broken', fault)
      attempt.candidate = this._relay.candidateOf(head)
      if (attempt.candidate !== undefined) return
    }
    this._continueWith(attempt, false)
    this._failure = undefined
    this._relay.onHead(head)
    this._endIfNotContinued(attempt)
  }

  /** Ends an attempt whose answer does not continue what the caller has; returns whether it did. */
  private _endIfNotContinued (attempt: Attempt): boolean {
    const { continuationFault } = this._relay
    if (continuationFault !== undefined) this._endAttempt(attempt, 'broken', continuationFault)
    return continuationFault !== undefined
  }

  private _onBody (attempt: Attempt, chunk: OwnedBytes): void {
    if (attempt.isOver) return
    const { candidate } = attempt
    if (this._failure !== undefined && candidate === undefined) {
      this._failure.body.add(chunk)
      if (this._failure.body.length <= MAXIMUM_FAILURE_BYTES) return
      this._failure = undefined
      this._endOversized(attempt, 'the body of a failure exceeds the maximum size')
      return
    }
    if (attempt.recordBody()) {
      this._firstByteAt ??= this._state.now()
      if (attempt instanceof ReplicaAttempt) this._placement.onFirstByte(attempt.selection, attempt.sentAt)
    }
    if (candidate === undefined) this._forward(attempt, chunk)
    else this._judge(attempt, candidate, chunk)
  }

  /** The first event of a second attempt decides which of the two goes on. */
  private _judge (attempt: Attempt, candidate: CandidateAnswer, chunk: OwnedBytes): void {
    candidate.add(chunk)
    if (candidate.fault !== undefined) this._endAttempt(attempt, 'broken', candidate.fault)
    else if (candidate.isJoinable) this._switchToHedge()
    else if (candidate.isOversized) this._endOversized(attempt, 'an event exceeds the maximum size')
  }

  /** Forwards what a second attempt has brought, now that it is the only one. */
  private _forwardCandidate (attempt: Attempt): void {
    const { candidate } = attempt
    if (candidate === undefined) return
    attempt.candidate = undefined
    this._failure = undefined
    this._relay.onHead(candidate.head)
    if (!this._endIfNotContinued(attempt)) this._forward(attempt, candidate.takeBody())
  }

  private _forward (attempt: Attempt, chunk: OwnedBytes): void {
    if (this._relay.isPlain) {
      this._withdrawHedge()
      if (this._relay.kind === 'events') this._watchSilence(attempt, this._firstSilenceTimeout())
    }
    const progress = this._relay.progress
    const canReadOn = this._relay.onBody(chunk)
    if (this._endIfNotContinued(attempt)) return
    const { exceededLimit } = this._relay
    if (exceededLimit !== undefined) return this._endOversized(attempt, exceededLimit)
    // Bytes alone do not count as progress: a stalled replica may send some now and then.
    if (this._relay.progress > progress) {
      this._withdrawHedge()
      this._recordOrigin(attempt)
      this._recordAnswer(attempt, false)
      this._watchProgress(attempt)
    } else if (!this._isRepeatable) {
      // The caller has an event without an id, which no other replica's answer can follow.
      this._withdrawHedge()
    }
    if (!canReadOn) this._waitForCaller(attempt)
  }

  /** Once the caller has an event, only replicas with the same version of the software may go on. */
  private _recordOrigin (attempt: Attempt): void {
    const { origin, beginningRun } = attempt
    const { head, deadline, route } = this._request
    if (this._hasOrigin || !route.isResumable || head.requestId === undefined || origin === undefined) return
    this._hasOrigin = true
    const { streamOrigins, onStreamBegan, now, suspensionAwareNow } = this._state
    this._placement.continueFrom(origin)
    // A resumed stream is named by the request that brought its first event.
    if (head.lastEventId !== undefined) return
    streamOrigins.onBegan(head.requestId, origin, deadline - now(), suspensionAwareNow(), beginningRun)
    onStreamBegan()
    if (!(attempt instanceof ReplicaAttempt)) return
    const { replica } = attempt
    this._begunAt = beginningRun
    // The replica may have registered as another run since the request was sent to it.
    const registered = this._state.catalog.replica(replica.id) ?? replica
    if (registered.softwareVersion !== replica.softwareVersion) streamOrigins.onAmbiguous(head.requestId)
  }

  private _watchProgress (attempt: Attempt): void {
    const silence = this._isRepeatable && this._relay.kind === 'events' ? STREAM_SILENCE_TIMEOUT : undefined
    this._watchSilence(attempt, silence)
  }

  /** Pauses the replica while the caller reads more slowly than it writes. A caller that stops reading is disconnected. */
  private _waitForCaller (attempt: Attempt): void {
    attempt.channel.pause()
    // While its channel is paused, the silence of the replica means nothing.
    attempt.watchSilence(undefined, () => {})
    clearTimeout(this._stallTimer)
    this._stallTimer = setTimeout(() => { this._onCallerStalled() }, this._stallTimeout)
  }

  private _onDrained (): void {
    clearTimeout(this._stallTimer)
    const attempt = this._open.first
    if (attempt === undefined || this._isOver) return
    attempt.channel.resume()
    this._watchProgress(attempt)
  }

  private _onCallerStalled (): void {
    if (this._isOver) return
    this._state.metrics.count('stalled_callers_total')
    this._state.log.decision('caller-stalled', { requestId: this._request.head.requestId, for: this._stallTimeout })
    this._open.closeAll(undefined)
    this._breakOff()
  }

  /** The idle timeout of the configuration also limits how long a caller may stop reading. */
  private get _stallTimeout (): Milliseconds {
    return this._state.catalog.routes?.configuration.limits.idleTimeout ?? DEFAULT_STALL_TIMEOUT
  }

  private _endOversized (attempt: Attempt, detail: string): void {
    this._state.metrics.count('answers_without_end_total')
    this._endAttempt(attempt, 'broken', detail)
  }

  private _onEnd (attempt: Attempt): void {
    if (attempt.isOver) return
    const answer = attempt.candidate ?? (this._failure === undefined ? this._relay : undefined)
    if (answer?.isCutOff === true) return this._onFault(attempt, 'connection-ended', 'the stream ended inside an event')
    if (answer?.isContinuationMissing === true) return this._endAttempt(attempt, 'broken', 'no event continues the stream')
    if (attempt.candidate !== undefined) this._switchToHedge()
    this._recordAnswer(attempt, true)
    if (this._failure !== undefined) {
      this._endAttempt(attempt, 'failed', `status ${this._failure.head.status}`)
      return
    }
    this._withdrawHedge()
    this._open.close(attempt, 'answered')
    // Paused for a slow caller, the connection would read no answer of the next request on it.
    attempt.channel.resume()
    this._relay.onEnd()
    this._finish('answered')
  }

  private _onFault (attempt: Attempt, fault: ExchangeFault, detail: string): void {
    if (attempt.isOver) return
    if (fault === 'oversized') return this._endOversized(attempt, `${fault}: ${detail}`)
    if (fault === 'malformed') this._state.metrics.count('malformed_answers_total')
    if (fault === 'connection-ended') attempt.onConnectionLost()
    this._endAttempt(attempt, fault === 'not-connected' ? 'not-sent' : 'broken', `${fault}: ${detail}`)
  }

  private _recordAnswer (attempt: Attempt, isComplete: boolean): void {
    if (attempt.hasAnswered && !isComplete) return
    attempt.hasAnswered = true
    const { fingerprint, features } = this._request
    this._state.crashes.onAnswered(
      { service: this._placement.service, fingerprint, features }, isComplete, this._state.suspensionAwareNow())
  }

  private _endAttempt (attempt: Attempt, end: AttemptEnd, detail: string): void {
    const now = this._state.now()
    const openAttempt = this._open.close(attempt, attempt.healthSignalOf(end))
    const isUnsent = attempt.isUnsent(end)
    this._recordEnd(attempt, end)
    this._readmitSilent()
    const context = this._contextAt(now, openAttempt)
    let verdict = decideAfterAttempt(end, context)
    // No part of the request reached a replica, so that the next attempt is no retry.
    if (verdict === 'try-another' && !isUnsent && !this._trySpendRetry(now)) verdict = finalVerdict(end, context)
    this._reportAttemptEnd(attempt, end, detail, verdict)
    switch (verdict) {
      case 'try-another': return this._tryNext()
      case 'await-other': return this._awaitOther()
      case 'refuse': return this._refuse('not-run')
      case 'pass-failure': return this._passFailure()
      case 'fail': return this._fail(end)
      case 'break-off': return this._breakOff()
    }
  }

  private _awaitOther (): void {
    const { first } = this._open
    if (first !== undefined) this._forwardCandidate(first)
  }

  private _recordEnd (attempt: Attempt, end: AttemptEnd): void {
    const possibleRuns = attempt.possibleRunsAfter(end, this._possibleRuns)
    if (possibleRuns === this._possibleRuns) this._ranAt.add(attempt.destination)
    this._possibleRuns = possibleRuns
    this._hasArrived ||= !attempt.isUnsent(end)
    this._peers.onAttemptEnded(attempt, end)
    this._stampAnswer({})
  }

  private _contextAt (now: Milliseconds, openAttempt: OpenAttempt | undefined): AttemptContext {
    const { route } = this._request
    return {
      kind: route.kind,
      isResumable: this._isResumable,
      possibleRuns: this._possibleRuns,
      maximumAttempts: route.maximumAttempts,
      hasBegunAnswer: this._relay.hasBegun,
      hasOtherReplica: this._placement.hasUntriedReplica(this._tried) ||
        this._peers.hasPeerInsteadOfReplica(this._placement.service, this._placement.prefersPeers),
      isTimeLeft: this._request.deadline - now > MINIMUM_ATTEMPT_TIME && this._maySend(now),
      openAttempt
    }
  }

  private _trySpendRetry (now: Milliseconds): boolean {
    const { service } = this._placement
    // The other attempt ended while a replica was chosen for the retry.
    if (this._unusedRetry?.service === service) return true
    if (!this._state.retryBudget.trySpend(service, this._state.fronts.knownSize, now)) return false
    this._unusedRetry = { service, spentAt: now }
    return true
  }

  /** No replica was found that may go on with the request. */
  private _giveBackRetry (): void {
    if (this._unusedRetry === undefined) return
    const { service, spentAt } = this._unusedRetry
    this._unusedRetry = undefined
    this._state.retryBudget.giveBack(service, spentAt)
  }

  private _reportAttemptEnd (attempt: Attempt, end: AttemptEnd, detail: string, verdict: AttemptVerdict): void {
    this._state.metrics.count('attempt_ends_total', end)
    this._state.log.decision('attempt-ended', {
      requestId: this._request.head.requestId,
      attempt: this._attempts,
      replica: attempt.destination,
      end,
      detail,
      after: Math.round(this._state.now() - attempt.sentAt),
      possibleRuns: this._possibleRuns,
      verdict
    })
  }

  /**
   * Sends a hedge beside a silent attempt, if one may follow. The silent one stays open: its replica may be sound, and no other
   * one may accept the request.
   */
  private _onSilence (attempt: Attempt, silence: Milliseconds): void {
    const isAnotherOpen = this._open.hedge !== undefined || this._isCheckingRun
    if (attempt !== this._open.first || isAnotherOpen || this._blockedFeatures !== undefined) return
    const now = this._state.now()
    const verdict = decideAfterAttempt('timed-out', this._contextAt(now, 'silent'))
    if (verdict !== 'try-another' || !this._trySpendRetry(now)) return
    this._recordEnd(attempt, 'timed-out')
    this._state.metrics.count('silent_attempts_total')
    this._state.log.decision('attempt-silent', {
      requestId: this._request.head.requestId, replica: attempt.destination, for: Math.round(silence), hasHead: attempt.hasHead
    })
    this._tryNext()
  }

  /**
   * Decides by the head of an answer which of two attempts goes on, and ends the other one. Of a second answer of events, its
   * first event decides.
   * @returns whether the answer is forwarded
   */
  private _continueWith (attempt: Attempt, isFailure: boolean): boolean {
    if (attempt !== this._open.hedge) {
      if (!isFailure) this._withdrawHedge()
      return true
    }
    if (isFailure && this._open.first?.hasHead === true) {
      this._endAttempt(attempt, 'failed', 'an answer has begun elsewhere')
      return false
    }
    this._switchToHedge()
    return true
  }

  private _switchToHedge (): void {
    const { first, hedge } = this._open
    if (first === undefined || hedge === undefined) return
    this._open.close(first, first.healthSignalOf('timed-out'))
    if (first instanceof ReplicaAttempt) this._leftSilent.add(first.destination)
    this._stampAnswer({})
    this._reportAttemptEnd(first, 'timed-out', 'silent, and another attempt was accepted', 'try-another')
    this._forwardCandidate(hedge)
  }

  /** The silent attempt goes on. */
  private _withdrawHedge (): void {
    const { hedge } = this._open
    if (hedge === undefined) return
    this._open.close(hedge, undefined)
    this._recordEnd(hedge, 'timed-out')
    this._state.metrics.count('withdrawn_hedges_total')
    this._state.log.decision('hedge-withdrawn', { requestId: this._request.head.requestId, replica: hedge.destination })
  }

  private _firstSilenceTimeout (): Milliseconds | undefined {
    const { route } = this._request
    if (!this._isRepeatable || this._possibleRuns >= route.maximumAttempts) return undefined
    return route.objective * (route.kind === 'streaming' ? FIRST_EVENT_TIMEOUT_FACTOR : PLAIN_ATTEMPT_TIMEOUT_SHARE)
  }

  private get _isRepeatable (): boolean {
    return isRepeatable(this._request.route.kind, this._isResumable)
  }

  /** Once a relayed stream has begun, only the instance to which its caller is connected continues it. */
  private get _isResumable (): boolean {
    const { route, relayed } = this._request
    return route.isResumable && this._relay.isContinuable && !(relayed !== undefined && this._relay.hasBegun)
  }

  private _onDeadline (): void {
    if (this._isOver) return
    this._open.closeAll(this._relay.hasBegun ? undefined : 'failed')
    if (this._relay.hasBegun) this._breakOff()
    else if (this._possibleRuns === 0) this._refuse('no-time-left')
    else this._fail('deadline')
  }

  private _onCallerDisconnected (): void {
    if (this._isOver) return
    this._open.closeAll(undefined)
    this._finish('caller-gone')
  }

  private _refuse (reason: RefusalReason): void {
    const retryAfter = this._retryDelayFor(reason)
    this._stampAnswer({ refusal: reason, retryAfter })
    refuse(this._request.response, reason, this._state, retryAfter)
    this._finish(`refused-${reason}`)
  }

  /** Undefined where the default delay of the reason applies. */
  private _retryDelayFor (reason: RefusalReason): Milliseconds | undefined {
    switch (reason) {
      case 'cut-off':
      case 'not-run': return this._peers.retryAfter ?? this._placement.retryDelay
      case 'no-replica':
      case 'at-limit': return this._placement.retryDelay
      default: return undefined
    }
  }

  /** Tells the peer that relayed the request what its answer means, as long as the head of the answer is not written. */
  private _stampAnswer (change: AnswerChange): void {
    const { relayed, response, head: { requestId } } = this._request
    if (relayed === undefined || requestId === undefined || response.headersSent) return
    const [possibleRuns, hasArrived] = [this._possibleRuns, this._hasArrived]
    const origin = this._open.first?.origin
    response.setHeader(RELAY_HEADER, formatRelayMessage({ requestId, possibleRuns, hasArrived, origin, ...change }))
  }

  private _count (): void {
    if (this._isCounted) return
    this._isCounted = true
    this._state.retryBudget.onRequest(this._placement.service, this._state.now())
  }

  private _fail (reason: string): void {
    const { response } = this._request
    if (response.headersSent) return this._breakOff()
    response.writeHead(reason === 'deadline' ? GATEWAY_TIMEOUT : BAD_GATEWAY, { 'Content-Length': 0 })
    response.end()
    this._finish(`failed-${reason}`)
  }

  private _passFailure (): void {
    const failure = this._failure
    if (failure === undefined) return this._fail('failed')
    BufferedAnswerRelay.write(this._request.response, failure.head, failure.body.takeAll())
    this._finish('passed-failure')
  }

  private _breakOff (): void {
    breakOff(this._request.response)
    this._finish('broken-off')
  }

  private _finish (outcome: string): void {
    if (this._isOver) return
    this._isOver = true
    this._giveBackRetry()
    this._count()
    clearTimeout(this._deadlineTimer)
    clearTimeout(this._holdTimer)
    clearTimeout(this._stallTimer)
    const [state, request] = [this._state, this._request]
    const duration = state.now() - request.receivedAt
    state.metrics.count('requests_total', outcome)
    state.metrics.time('request', request.route.name, duration)
    state.log.decision('request-ended', {
      requestId: request.head.requestId,
      route: request.route.name,
      workspace: request.workspace?.name,
      outcome,
      attempts: this._attempts,
      firstByte: this._firstByteAt === undefined ? undefined : Math.round(this._firstByteAt - request.receivedAt),
      duration: Math.round(duration)
    })
    this._onFinished()
  }
}

function hasBodyHeaders (rawHeaders: readonly string[]): boolean {
  return rawHeaders.some((name, index) => index % 2 === 0 && /^(content-length|transfer-encoding)$/i.test(name))
}
