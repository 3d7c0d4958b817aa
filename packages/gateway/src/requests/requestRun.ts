/** Serves one request: selects replicas, sends it, decides what follows a failure, and forwards the answer. */
import {
  decideAfterAttempt, finalVerdict, isRepeatable, replicaRunOf, type AttemptContext, type AttemptEnd, type HealthSignal,
  type AttemptVerdict, type Milliseconds, type Selection
} from '@wasabihead/coordination'
import { BufferedBytes, type AnswerHead, type ExchangeFault, type OwnedBytes } from '../channels/index.js'
import type { AnswerFacts, StatedRate } from '../protocol/index.js'
import { AnswerRelay, EventStreamRelay, BufferedAnswerRelay } from './answerRelay.js'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'
import { forwardedHeaders } from './forwardedHeaders.js'
import { ReplicaAttempt } from './replicaAttempt.js'
import { RequestPlacement } from './requestPlacement.js'
import { refuse, type RefusalReason } from './refusals.js'

/** Share of the objective after which a repeatable plain request is tried elsewhere; a second attempt is then still on time. */
const PLAIN_ATTEMPT_TIMEOUT_SHARE = 0.6
/** A stream that has not begun is tried elsewhere after this multiple of the objective, if its replica sends nothing at all. */
const FIRST_EVENT_TIMEOUT_FACTOR = 1.5
/** Timeout between new events of a stream that can be resumed elsewhere; callers give up after two seconds or more. */
const STREAM_SILENCE_TIMEOUT: Milliseconds = 1_500
/** A reused connection that ends within this time after a request was probably closed before it. */
const STALE_CHANNEL_WINDOW: Milliseconds = 10
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

/** One request, from its acceptance to its end. */
export class RequestRun {
  private readonly _tried = new Set<string>()
  private readonly _relay: AnswerRelay
  private readonly _placement: RequestPlacement
  private readonly _deadlineTimer: NodeJS.Timeout
  private _attempt: ReplicaAttempt | undefined
  private _attempts = 0
  private _possibleRuns = 0
  private _isOver = false
  private _hasTriedReservation = false
  private _hasOrigin = false
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
    this._deadlineTimer = setTimeout(() => { this._onDeadline() }, Math.max(0, _request.deadline - _state.now()))
    response.once('close', () => { this._onCallerDisconnected() })
  }

  /** Starts the first attempt; refuses a request that has repeatedly crashed replicas. */
  start (): void {
    if (this._endIfBlocked()) return
    const { head: { lastEventId, resumedRequestId }, route } = this._request
    if (route.kind === 'streaming' && lastEventId !== undefined) this._state.log.detach('stream-origin', this._resume(resumedRequestId))
    else this._begin()
  }

  private _begin (): void {
    this._state.retryBudget.onRequest(this._placement.service, this._state.now())
    this._tryNext()
  }

  /** Goes on with a stream at the version of the software that began it. Refuses if there are several and it is not known. */
  private async _resume (resumedRequestId: string | undefined): Promise<void> {
    const { streamOrigins, softwareVersions, catalog, requestStreamOrigin, suspensionAwareNow } = this._state
    const { targets } = this._request.route
    let origin = resumedRequestId === undefined ? undefined : streamOrigins.find(resumedRequestId, suspensionAwareNow())
    if (origin === undefined) {
      const isMixed = targets.some(({ service }) => softwareVersions.isMixed(service, catalog.replicas, suspensionAwareNow()))
      if (!isMixed) return this._begin()
      if (resumedRequestId !== undefined) origin = await requestStreamOrigin(resumedRequestId)
      if (this._isOver) return
    }
    if (origin === undefined) return this._refuse('origin-unknown')
    this._placement.continueFrom(origin)
    this._begin()
  }

  /** Ends a request that must not be sent to any replica, or not once more; returns whether it did. */
  private _endIfBlocked (): boolean {
    const blockedFeatures = this._state.crashes.blockOf(this._request, this._state.suspensionAwareNow())
    if (blockedFeatures === undefined) return false
    const { requestId } = this._request.head
    this._state.log.decision('request-blocked', { requestId, features: blockedFeatures.join(','), attempts: this._attempts })
    if (this._relay.hasBegun) this._breakOff()
    else if (this._possibleRuns === 0) this._refuse('crashes-replicas')
    else this._fail('crashes-replicas')
    return true
  }

  private _tryNext (): void {
    if (this._endIfBlocked()) return
    const selection = this._placement.select(this._tried)
    if (selection === undefined) {
      if (this._waitForReservedSend()) return
      if (this._possibleRuns === 0) this._refuse(this._placement.isAtLimit ? 'at-limit' : 'no-replica')
      else this._fail('no-replica-left')
      return
    }
    switch (this._attempts > 0 ? 'send' : this._placement.admit(selection)) {
      case 'send': return this._send(selection)
      case 'hold':
        this._holdTimer = setTimeout(() => { if (!this._isOver) this._tryNext() }, HOLD_CHECK_INTERVAL)
        return
      case 'refuse': this._refuse('crowded')
    }
  }

  /** Reserves a send within the replicas' rate limits and waits for it; false if none is possible in time. */
  private _waitForReservedSend (): boolean {
    const { receivedAt, route } = this._request
    if (this._possibleRuns > 0 || this._hasTriedReservation) return false
    this._hasTriedReservation = true
    const delay = this._placement.reserveSend(this._tried, receivedAt + route.objective * LIMIT_WAIT_SHARE)
    if (delay === undefined) return false
    this._holdTimer = setTimeout(() => { if (!this._isOver) this._tryNext() }, delay)
    return true
  }

  private _send (selection: Selection): void {
    const [state, request] = [this._state, this._request]
    const { replica } = selection
    const now = state.now()
    const channel = state.channels.acquire(replica, this._isRepeatable)
    const attempt = new ReplicaAttempt(state, selection, channel, request.head.prompt, this._relay.kind === 'events')
    this._attempt = attempt
    this._attempts += 1
    this._tried.add(replica.id)
    this._possibleRuns += 1
    this._placement.onSent(selection)
    state.log.decision('attempt', {
      requestId: request.head.requestId,
      attempt: this._attempts,
      route: request.route.name,
      replica: replica.id,
      softwareVersion: replica.softwareVersion,
      resumes: request.head.resumedRequestId,
      cost: Math.round(selection.cost),
      freshTokens: selection.freshTokens,
      fetchedTokens: selection.fetchedTokens,
      salt: selection.salt,
      weightVersion: replica.weightVersions[request.head.prompt?.model ?? ''],
      requiredVersion: this._placement.requiredVersion,
      parts: request.head.prompt?.parts.map(({ id, tokens }, index) => `${id}:${tokens}:${selection.origins[index] ?? 'read'}`).join(','),
      saves: selection.saves?.map(address => address === undefined ? '-' : '+').join(''),
      wait: Math.round(selection.wait),
      rateLimit: state.replicaLimits.rateOf(replica),
      isReusedChannel: channel.completedExchanges > 0,
      configurationRevision: state.catalog.configurationRevision,
      catalogAge: Math.round(state.suspensionAwareNow() - state.catalog.listedAt)
    })
    attempt.watchSilence(this._firstSilenceTimeout(), elapsed => { this._onSilence(attempt, elapsed) })
    channel.send({
      method: request.method,
      target: request.target,
      headers: this._headersFor(selection, now),
      body: request.body.length > 0 ? request.body : undefined
    }, {
      isExpected: head => this._isExpected(head),
      onHead: head => { this._onHead(attempt, head) },
      onBody: chunk => { this._onBody(attempt, chunk) },
      onEnd: () => { this._onEnd(attempt) },
      onFault: (fault, detail) => { this._onFault(attempt, fault, detail) }
    })
  }

  private _headersFor ({ replica, salt, sources, saves, fetchUntil }: Selection, now: Milliseconds): [string, string][] {
    const [state, request] = [this._state, this._request]
    const { prompt, lastEventId } = request.head
    const headers = forwardedHeaders(request.rawHeaders, name => state.callerProtocol.isForwarded(name))
    if (request.body.length > 0 || hasBodyHeaders(request.rawHeaders)) headers.push(['Content-Length', String(request.body.length)])
    headers.push(...state.replicaProtocol.forwardHeaders({
      replicaId: replica.id,
      timeLeft: Math.max(1, Math.floor(request.deadline - now)),
      workspace: request.workspace?.name,
      priority: prompt === undefined ? undefined : request.workspace?.priority ?? request.route.priority,
      salt,
      // The salt contains the version that this instance has observed. A replica with other weights must not store or use parts
      // under that salt.
      weightVersion: replica.weightVersions[prompt?.model ?? ''],
      sources,
      saves,
      fetchUntil: fetchUntil === undefined ? undefined : state.storedParts.storeClockAt(fetchUntil),
      lastEventId: this._relay.lastEventId ?? lastEventId
    }))
    return headers
  }

  private _isExpected (head: AnswerHead): boolean {
    const facts = this._factsOf(head)
    if (facts.requestId === undefined) return facts.isNotRun
    return facts.requestId === this._request.head.requestId
  }

  private _factsOf (head: AnswerHead): AnswerFacts {
    return this._state.replicaProtocol.readAnswer(head.status, head.headers)
  }

  private _onHead (attempt: ReplicaAttempt, head: AnswerHead): void {
    if (attempt.isOver) return
    attempt.hasHead = true
    const facts = this._factsOf(head)
    this._recordNotices(attempt, facts)
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
      this._failure = { head, body: new BufferedBytes() }
      return
    }
    this._failure = undefined
    const { prompt } = this._request.head
    if (prompt !== undefined && facts.weightVersion !== undefined) {
      this._state.catalog.observeWeightVersion(attempt.replica, prompt.model, facts.weightVersion)
    }
    this._relay.onHead(head)
  }

  /** Records what the replica says about the requests that it still accepts. Ignores an answer that is not the replica's own. */
  private _recordNotices (attempt: ReplicaAttempt, { isLeaving, retryAfter, rateLimit, isNotRun, isSealed }: AnswerFacts): void {
    if (!isNotRun && !isSealed) return
    const { replica } = attempt
    const { notices, channels, log, now } = this._state
    const { requestId } = this._request.head
    this._recordLimit(attempt, rateLimit)
    if (isLeaving && notices.onLeaving(replica, now())) {
      channels.closeIdleConnections(replica.id)
      log.change('replica-leaving', { replica: replica.id, requestId })
    }
    if (retryAfter === undefined) return
    notices.onRetryAfter(replica, retryAfter, now())
    log.decision('replica-closed', { replica: replica.id, requestId, for: retryAfter })
  }

  private _recordLimit ({ replica, suspensionAwareSentAt }: ReplicaAttempt, rate: StatedRate | undefined): void {
    const { replicaLimits, log, metrics, suspensionAwareNow } = this._state
    const { requestId } = this._request.head
    if (rate !== undefined) metrics.count('answers_with_rate_limit_total', rate === 'unreadable' ? 'unreadable' : 'stated')
    if (rate === 'unreadable') {
      // The previous limit stays, since the new one is not known.
      log.decision('replica-limit-unreadable', { replica: replica.id, requestId, rate: replicaLimits.rateOf(replica) })
      return
    }
    const now = suspensionAwareNow()
    const change = replicaLimits.onAnswer(replica, rate, suspensionAwareSentAt, now)
    if (change === undefined) return
    log.decision('replica-limit', {
      replica: replica.id, requestId, change, rate, after: Math.round(now - suspensionAwareSentAt)
    })
  }

  private _onBody (attempt: ReplicaAttempt, chunk: OwnedBytes): void {
    if (attempt.isOver) return
    if (this._failure !== undefined) {
      this._failure.body.add(chunk)
      if (this._failure.body.length <= MAXIMUM_FAILURE_BYTES) return
      this._failure = undefined
      this._endOversized(attempt, 'the body of a failure exceeds the maximum size')
      return
    }
    if (attempt.recordBody()) {
      this._firstByteAt ??= this._state.now()
      this._placement.onFirstByte(attempt.selection, attempt.sentAt)
    }
    const progress = this._relay.progress
    const canContinue = this._relay.onBody(chunk)
    const { exceededLimit } = this._relay
    if (exceededLimit !== undefined) return this._endOversized(attempt, exceededLimit)
    // Bytes alone do not count as progress: a stalled replica may send some now and then.
    if (this._relay.progress > progress) {
      this._recordOrigin(attempt)
      this._recordAnswer(attempt, false)
      this._watchProgress(attempt)
    }
    if (!canContinue) this._waitForCaller(attempt)
  }

  /** Once the caller has an event, only replicas with the same version of the software may go on. */
  private _recordOrigin ({ replica }: ReplicaAttempt): void {
    const { head, deadline, route } = this._request
    if (this._hasOrigin || !route.isResumable || head.requestId === undefined) return
    this._hasOrigin = true
    const { streamOrigins, now, suspensionAwareNow } = this._state
    const origin = { service: this._placement.service, softwareVersion: replica.softwareVersion ?? '' }
    this._placement.continueFrom(origin)
    // A resumed stream is named by the request that brought its first event.
    if (head.lastEventId === undefined) streamOrigins.onBegan(head.requestId, origin, deadline - now(), suspensionAwareNow())
  }

  private _watchProgress (attempt: ReplicaAttempt): void {
    const silence = this._isRepeatable && this._relay.kind === 'events' ? STREAM_SILENCE_TIMEOUT : undefined
    attempt.watchSilence(silence, elapsed => { this._onSilence(attempt, elapsed) })
  }

  /** Pauses the replica while the caller reads more slowly than it writes. A caller that stops reading is disconnected. */
  private _waitForCaller (attempt: ReplicaAttempt): void {
    attempt.channel.pause()
    // While its channel is paused, the silence of the replica means nothing.
    attempt.watchSilence(undefined, () => {})
    clearTimeout(this._stallTimer)
    this._stallTimer = setTimeout(() => { this._onCallerStalled() }, this._stallTimeout)
  }

  private _onDrained (): void {
    clearTimeout(this._stallTimer)
    const attempt = this._attempt
    if (attempt === undefined || this._isOver) return
    attempt.channel.resume()
    this._watchProgress(attempt)
  }

  private _onCallerStalled (): void {
    if (this._isOver) return
    this._state.metrics.count('stalled_callers_total')
    this._state.log.decision('caller-stalled', { requestId: this._request.head.requestId, for: this._stallTimeout })
    const attempt = this._attempt
    if (attempt !== undefined) this._closeAttempt(attempt, undefined)
    this._breakOff()
  }

  /** The idle timeout of the configuration also limits how long a caller may stop reading. */
  private get _stallTimeout (): Milliseconds {
    return this._state.catalog.routes?.configuration.limits.idleTimeout ?? DEFAULT_STALL_TIMEOUT
  }

  private _endOversized (attempt: ReplicaAttempt, detail: string): void {
    this._state.metrics.count('answers_without_end_total')
    this._endAttempt(attempt, 'broken', detail)
  }

  private _onEnd (attempt: ReplicaAttempt): void {
    if (attempt.isOver) return
    if (this._failure === undefined && this._relay.isCutOff) {
      this._onFault(attempt, 'connection-ended', 'the stream ended inside an event')
      return
    }
    this._recordAnswer(attempt, true)
    if (this._failure !== undefined) {
      this._endAttempt(attempt, 'failed', `status ${this._failure.head.status}`)
      return
    }
    this._closeAttempt(attempt, 'answered')
    this._relay.onEnd()
    this._finish('answered')
  }

  private _onFault (attempt: ReplicaAttempt, fault: ExchangeFault, detail: string): void {
    if (attempt.isOver) return
    if (fault === 'malformed') this._state.metrics.count('malformed_answers_total')
    if (fault === 'connection-ended' && (attempt.hasHead || !this._mayBeStale(attempt))) this._recordCrash(attempt)
    this._endAttempt(attempt, fault === 'not-connected' ? 'not-sent' : 'broken', `${fault}: ${detail}`)
  }

  /** Records that the replica's connection ended during this request, which suggests that the replica crashed. */
  private _recordCrash (attempt: ReplicaAttempt): void {
    const { crashes, log, metrics, suspensionAwareNow } = this._state
    const { fingerprint, features, head } = this._request
    const replicaRun = replicaRunOf(attempt.replica)
    // A replica crashes as it begins an answer; one that had begun is lost with others.
    const suspected = attempt.hasAnswered ? [] : [...features]
    const report = { fingerprint, replicaRun, service: this._placement.service, features: suspected, age: 0 }
    crashes.record(report, suspensionAwareNow())
    metrics.count('suspected_replica_crashes_total', attempt.hasAnswered ? 'answering' : 'before-answer')
    log.decision('replica-crash-suspected', {
      requestId: head.requestId,
      replicaRun,
      fingerprint,
      parts: head.prompt?.parts.map(({ id }) => id).join(','),
      hasBegunAnswer: attempt.hasAnswered
    })
  }

  private _recordAnswer (attempt: ReplicaAttempt, isComplete: boolean): void {
    if (attempt.hasAnswered && !isComplete) return
    attempt.hasAnswered = true
    const { fingerprint, features } = this._request
    this._state.crashes.onAnswered(
      { service: this._placement.service, fingerprint, features }, isComplete, this._state.suspensionAwareNow())
  }

  /** Whether the replica may have closed the reused connection just as the request was sent. */
  private _mayBeStale (attempt: ReplicaAttempt): boolean {
    return attempt.channel.completedExchanges > 0 && this._state.now() - attempt.sentAt < STALE_CHANNEL_WINDOW
  }

  private _endAttempt (attempt: ReplicaAttempt, end: AttemptEnd, detail: string): void {
    const now = this._state.now()
    this._closeAttempt(attempt, this._healthSignalOf(attempt, end))
    if (end === 'not-sent' || end === 'not-run') this._possibleRuns -= 1
    const context = this._contextAt(now)
    let verdict = decideAfterAttempt(end, context)
    // No part of the request was sent, so that the next attempt is no retry.
    const isRetryUncounted = end === 'not-sent'
    if (verdict === 'try-another' && !isRetryUncounted && !this._trySpendRetry(now)) verdict = finalVerdict(end, context)
    this._reportAttemptEnd(attempt, end, detail, verdict)
    switch (verdict) {
      case 'try-another': return this._tryNext()
      case 'refuse': return this._refuse('not-run')
      case 'pass-failure': return this._passFailure()
      case 'fail': return this._fail(end)
      case 'break-off': return this._breakOff()
    }
  }

  private _contextAt (now: Milliseconds): AttemptContext {
    const { route } = this._request
    return {
      kind: route.kind,
      isResumable: route.isResumable,
      possibleRuns: this._possibleRuns,
      maximumAttempts: route.maximumAttempts,
      hasBegunAnswer: this._relay.hasBegun,
      hasOtherReplica: this._placement.hasUntriedReplica(this._tried),
      isTimeLeft: this._request.deadline - now > MINIMUM_ATTEMPT_TIME
    }
  }

  private _trySpendRetry (now: Milliseconds): boolean {
    return this._state.retryBudget.trySpend(this._placement.service, this._state.fronts.knownSize, now)
  }

  private _reportAttemptEnd (attempt: ReplicaAttempt, end: AttemptEnd, detail: string, verdict: AttemptVerdict): void {
    this._state.metrics.count('attempt_ends_total', end)
    this._state.log.decision('attempt-ended', {
      requestId: this._request.head.requestId,
      attempt: this._attempts,
      replica: attempt.replica.id,
      end,
      detail,
      after: Math.round(this._state.now() - attempt.sentAt),
      possibleRuns: this._possibleRuns,
      verdict
    })
  }

  /** What the end of an attempt says about health; nothing if the replica is full with our requests or stated a retry delay. */
  private _healthSignalOf (attempt: ReplicaAttempt, end: AttemptEnd): HealthSignal | undefined {
    if (end === 'not-sent' || end === 'timed-out') return 'unreachable'
    if (end !== 'not-run') return 'failed'
    if (this._state.notices.isClosed(attempt.replica, this._state.now())) return undefined
    return this._state.loads.of(attempt.replica.id).requests < attempt.replica.slots ? 'failed' : undefined
  }

  private _closeAttempt (attempt: ReplicaAttempt, signal: HealthSignal | undefined): void {
    attempt.close(signal)
    this._attempt = undefined
  }

  /** Abandons a silent attempt only if another one may follow; otherwise its answer may still arrive. */
  private _onSilence (attempt: ReplicaAttempt, silence: Milliseconds): void {
    const now = this._state.now()
    const context = this._contextAt(now)
    if (decideAfterAttempt('timed-out', context) !== 'try-another' || !this._trySpendRetry(now)) return
    this._closeAttempt(attempt, 'unreachable')
    this._reportAttemptEnd(attempt, 'timed-out', `silent for ${Math.round(silence)} ms`, 'try-another')
    this._tryNext()
  }

  private _firstSilenceTimeout (): Milliseconds | undefined {
    const { route } = this._request
    if (!this._isRepeatable || this._possibleRuns >= route.maximumAttempts) return undefined
    return route.objective * (route.kind === 'streaming' ? FIRST_EVENT_TIMEOUT_FACTOR : PLAIN_ATTEMPT_TIMEOUT_SHARE)
  }

  private get _isRepeatable (): boolean {
    return isRepeatable(this._request.route.kind, this._request.route.isResumable)
  }

  private _onDeadline (): void {
    if (this._isOver) return
    const attempt = this._attempt
    if (attempt !== undefined) this._closeAttempt(attempt, this._relay.hasBegun ? undefined : 'failed')
    if (this._relay.hasBegun) this._breakOff()
    else if (this._possibleRuns === 0) this._refuse('no-time-left')
    else this._fail('deadline')
  }

  private _onCallerDisconnected (): void {
    if (this._isOver) return
    const attempt = this._attempt
    if (attempt !== undefined) this._closeAttempt(attempt, undefined)
    this._finish('caller-gone')
  }

  private _refuse (reason: RefusalReason): void {
    refuse(this._request.response, reason, this._state, this._retryDelayFor(reason))
    this._finish(`refused-${reason}`)
  }

  /** Undefined where the default delay of the reason applies. */
  private _retryDelayFor (reason: RefusalReason): Milliseconds | undefined {
    return reason === 'no-replica' || reason === 'at-limit' || reason === 'not-run' ? this._placement.retryDelay : undefined
  }

  private _fail (reason: string): void {
    const { response } = this._request
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

  /** Destroys the connection, so that the caller sees that the answer is incomplete. */
  private _breakOff (): void {
    this._request.response.destroy()
    this._finish('broken-off')
  }

  private _finish (outcome: string): void {
    if (this._isOver) return
    this._isOver = true
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
