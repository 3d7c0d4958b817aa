/** Serves one request: chooses replicas, sends, decides what follows a failure, and passes the answer on. */
import {
  decideAfterAttempt, finalVerdict, isRepeatable, replicaRunOf, type AttemptContext, type AttemptEnd, type HealthSignal,
  type AttemptVerdict, type Milliseconds, type Selection
} from '@wasabihead/coordination'
import { HeldBytes, type AnswerHead, type ExchangeFault, type OwnedBytes } from '../channels/index.js'
import type { AnswerFacts, StatedRate } from '../protocol/index.js'
import { AnswerRelay, EventStreamRelay, WholeAnswerRelay } from './answerRelay.js'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'
import { passedHeaders } from './passedHeaders.js'
import { ReplicaAttempt } from './replicaAttempt.js'
import { RequestPlacement } from './requestPlacement.js'
import { refuse, type RefusalReason } from './refusals.js'

/** Part of the objective after which a repeatable plain request is tried elsewhere; the second try is then still on time. */
const PLAIN_ATTEMPT_SHARE = 0.6
/** Times the objective after which a stream that has not begun is tried elsewhere, if its replica sends nothing at all. */
const FIRST_EVENT_SHARE = 1.5
/** Longest time without a new event in a stream that can be resumed elsewhere; callers give up after two seconds or more. */
const STREAM_SILENCE: Milliseconds = 1_500
/** A kept connection that ends within this time of a request was probably closed before it. */
const STALE_CHANNEL_SIGN: Milliseconds = 10
/** Part of the objective for which a request waits for a place at a replica with a limit; a refusal by then is early. */
const PLACE_WAIT_SHARE = 0.12
/** Between two looks at a request that waits for memory. */
const HOLD_CHECK: Milliseconds = 30
/** An attempt with less time than this left is not worth sending. */
const SHORTEST_ATTEMPT: Milliseconds = 15
/** How long a caller may not read, while no configuration tells it. */
const DEFAULT_STALL_TIMEOUT: Milliseconds = 15_000
/** Failures are held whole, so that another replica's answer can take their place. */
const MAXIMUM_FAILURE_BYTES = 262_144
const SUCCESS_END = 300
const FAILURE_BEGIN = 500
const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504

/** One request from its acceptance to its end. */
export class RequestRun {
  private readonly _tried = new Set<string>()
  private readonly _relay: AnswerRelay
  private readonly _placement: RequestPlacement
  private readonly _deadlineTimer: NodeJS.Timeout
  private _attempt: ReplicaAttempt | undefined
  private _attempts = 0
  private _possibleRuns = 0
  private _isOver = false
  private _hasWaitedForPlace = false
  private _holdTimer: NodeJS.Timeout | undefined
  private _stallTimer: NodeJS.Timeout | undefined
  private _firstByteAt: Milliseconds | undefined
  /** The failure that a replica answered with last, passed on where nothing better follows. */
  private _failure: { head: AnswerHead, body: HeldBytes } | undefined

  constructor (
    private readonly _state: GatewayState, private readonly _request: CallerRequest, private readonly _onOver: () => void
  ) {
    const { route, response, head } = _request
    this._relay = route.kind === 'streaming'
      ? new EventStreamRelay(response, () => { this._onDrained() }, head.lastEventId)
      : new WholeAnswerRelay(response, () => { this._onDrained() })
    this._placement = new RequestPlacement(_state, _request)
    this._deadlineTimer = setTimeout(() => { this._onDeadline() }, Math.max(0, _request.deadline - _state.now()))
    response.once('close', () => { this._onCallerGone() })
  }

  /** Begins. */
  start (): void {
    const now = this._state.now()
    if (this._state.crashes.isBlocked(this._request.fingerprint, now)) {
      this._refuse('crashes-replicas')
      return
    }
    this._state.retryBudget.onRequest(this._placement.service, now)
    this._tryNext()
  }

  private _tryNext (): void {
    const selection = this._placement.select(this._tried)
    if (selection === undefined) {
      if (this._waitForPlace()) return
      if (this._possibleRuns === 0) this._refuse(this._placement.isAtLimit ? 'at-limit' : 'no-replica')
      else this._fail('no-replica-left')
      return
    }
    switch (this._attempts > 0 ? 'send' : this._placement.admit(selection)) {
      case 'send': return this._send(selection)
      case 'hold':
        this._holdTimer = setTimeout(() => { if (!this._isOver) this._tryNext() }, HOLD_CHECK)
        return
      case 'refuse': this._refuse('crowded')
    }
  }

  /** Whether the request waits for a place that a replica at its limit has for it in time. */
  private _waitForPlace (): boolean {
    const { receivedAt, route } = this._request
    if (this._possibleRuns > 0 || this._hasWaitedForPlace) return false
    this._hasWaitedForPlace = true
    const delay = this._placement.reservePlace(this._tried, receivedAt + route.objective * PLACE_WAIT_SHARE)
    if (delay === undefined) return false
    this._holdTimer = setTimeout(() => { if (!this._isOver) this._tryNext() }, delay)
    return true
  }

  private _send (selection: Selection): void {
    const [state, request] = [this._state, this._request]
    const { replica } = selection
    const now = state.now()
    const channel = state.channels.take(replica, this._isRepeatable)
    const attempt = new ReplicaAttempt(state, selection, channel, request.head.prompt, this._relay.kind === 'events')
    this._attempt = attempt
    this._attempts += 1
    this._tried.add(replica.id)
    this._possibleRuns += 1
    this._placement.noteSent(selection)
    state.log.decision('attempt', {
      requestId: request.head.requestId,
      attempt: this._attempts,
      route: request.route.name,
      replica: replica.id,
      cost: Math.round(selection.cost),
      freshTokens: selection.freshTokens,
      fetchedTokens: selection.fetchedTokens,
      salt: selection.salt,
      weightVersion: replica.weightVersions[request.head.prompt?.model ?? ''],
      requiredVersion: this._placement.requiredVersion,
      parts: request.head.prompt?.parts.map(({ id, tokens }, index) => `${id}:${tokens}:${selection.origins[index] ?? 'read'}`).join(','),
      saves: selection.saves?.map(address => address === undefined ? '-' : '+').join(''),
      wait: Math.round(selection.wait),
      rateLimit: state.limits.rateOf(replica),
      isReusedChannel: channel.completed > 0,
      configurationRevision: state.catalog.configurationRevision,
      catalogAge: Math.round(state.beliefNow() - state.catalog.listedAt)
    })
    attempt.watchSilence(this._firstSilence(), elapsed => { this._onSilence(attempt, elapsed) })
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
    const headers = passedHeaders(request.rawHeaders, name => state.callerProtocol.isForwarded(name))
    if (request.body.length > 0 || hasBodyHeaders(request.rawHeaders)) headers.push(['Content-Length', String(request.body.length)])
    headers.push(...state.replicaProtocol.forwardHeaders({
      replicaId: replica.id,
      timeLeft: Math.max(1, Math.floor(request.deadline - now)),
      workspace: request.workspace?.name,
      priority: prompt === undefined ? undefined : request.workspace?.priority ?? request.route.priority,
      salt,
      // The salt names a version by belief. A replica with other weights must not keep or use parts under it.
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
    this._noteNotices(attempt, facts)
    if (facts.isNotRun) {
      this._endAttempt(attempt, 'not-run', `status ${head.status}`)
      return
    }
    if (!facts.isSealed || head.headers['content-encoding'] !== undefined) {
      this._endAttempt(attempt, 'broken', 'the answer is not the replica\'s own')
      return
    }
    const isFailure = head.status >= FAILURE_BEGIN
    if (isFailure || (this._relay.hasBegun && head.status >= SUCCESS_END)) {
      this._failure = { head, body: new HeldBytes() }
      return
    }
    this._failure = undefined
    const { prompt } = this._request.head
    if (prompt !== undefined && facts.weightVersion !== undefined) {
      this._state.catalog.observeWeightVersion(attempt.replica, prompt.model, facts.weightVersion)
    }
    this._relay.onHead(head)
  }

  /** Takes what the replica says about the requests that it still wants. An answer that is not its own says nothing. */
  private _noteNotices (attempt: ReplicaAttempt, { isLeaving, retryAfter, rateLimit, isNotRun, isSealed }: AnswerFacts): void {
    if (!isNotRun && !isSealed) return
    const { replica } = attempt
    const { notices, channels, log, now } = this._state
    const { requestId } = this._request.head
    this._noteLimit(attempt, rateLimit)
    if (isLeaving && notices.onLeaving(replica, now())) {
      channels.forget(replica.id)
      log.change('replica-leaving', { replica: replica.id, requestId })
    }
    if (retryAfter === undefined) return
    notices.onRetryAfter(replica, retryAfter, now())
    log.decision('replica-closed', { replica: replica.id, requestId, for: retryAfter })
  }

  private _noteLimit ({ replica, beliefSentAt }: ReplicaAttempt, rate: StatedRate | undefined): void {
    const { limits, log, metrics, beliefNow } = this._state
    const { requestId } = this._request.head
    if (rate !== undefined) metrics.count('answers_with_rate_limit_total', rate === 'unreadable' ? 'unreadable' : 'stated')
    if (rate === 'unreadable') {
      // What the replica means is not known, so that what it said before holds.
      log.decision('replica-limit-unreadable', { replica: replica.id, requestId, rate: limits.rateOf(replica) })
      return
    }
    const now = beliefNow()
    const change = limits.onAnswer(replica, rate, beliefSentAt, now)
    if (change === undefined) return
    log.decision('replica-limit', { replica: replica.id, requestId, change, rate, after: Math.round(now - beliefSentAt) })
  }

  private _onBody (attempt: ReplicaAttempt, chunk: OwnedBytes): void {
    if (attempt.isOver) return
    if (this._failure !== undefined) {
      this._failure.body.add(chunk)
      if (this._failure.body.length <= MAXIMUM_FAILURE_BYTES) return
      this._failure = undefined
      this._endExcessive(attempt, 'the body of a failure does not end')
      return
    }
    if (attempt.noteBody()) {
      this._firstByteAt ??= this._state.now()
      this._placement.noteFirstByte(attempt.selection, attempt.sentAt)
    }
    const progress = this._relay.progress
    const mayGoOn = this._relay.onBody(chunk)
    const { excess } = this._relay
    if (excess !== undefined) return this._endExcessive(attempt, excess)
    // Bytes alone do not count: a stalled replica may send one now and then.
    if (this._relay.progress > progress) this._watchProgress(attempt)
    if (!mayGoOn) this._waitForCaller(attempt)
  }

  private _watchProgress (attempt: ReplicaAttempt): void {
    const silence = this._isRepeatable && this._relay.kind === 'events' ? STREAM_SILENCE : undefined
    attempt.watchSilence(silence, elapsed => { this._onSilence(attempt, elapsed) })
  }

  /** The caller reads more slowly than the replica writes; a caller that has stopped reading is given up. */
  private _waitForCaller (attempt: ReplicaAttempt): void {
    attempt.channel.pause()
    // The replica's silence is our doing.
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

  /** The configuration says how long a caller may be idle. */
  private get _stallTimeout (): Milliseconds {
    return this._state.catalog.routes?.configuration.limits.idleTimeout ?? DEFAULT_STALL_TIMEOUT
  }

  private _endExcessive (attempt: ReplicaAttempt, detail: string): void {
    this._state.metrics.count('answers_without_end_total')
    this._endAttempt(attempt, 'broken', detail)
  }

  private _onEnd (attempt: ReplicaAttempt): void {
    if (attempt.isOver) return
    if (this._failure !== undefined) {
      this._endAttempt(attempt, 'failed', `status ${this._failure.head.status}`)
      return
    }
    this._closeAttempt(attempt, 'answered')
    this._state.crashes.clear(this._request.fingerprint)
    this._relay.onEnd()
    this._finish('answered')
  }

  private _onFault (attempt: ReplicaAttempt, fault: ExchangeFault, detail: string): void {
    if (attempt.isOver) return
    if (fault === 'malformed') this._state.metrics.count('malformed_answers_total')
    if (fault === 'connection-ended' && (attempt.hasHead || !this._mayBeStale(attempt))) {
      this._state.crashes.record({
        fingerprint: this._request.fingerprint, replicaRun: replicaRunOf(attempt.replica)
      }, this._state.now())
    }
    this._endAttempt(attempt, fault === 'not-connected' ? 'not-sent' : 'broken', `${fault}: ${detail}`)
  }

  /** A kept connection may have been closed by the replica just as the request was sent. */
  private _mayBeStale (attempt: ReplicaAttempt): boolean {
    return attempt.channel.completed > 0 && this._state.now() - attempt.sentAt < STALE_CHANNEL_SIGN
  }

  private _endAttempt (attempt: ReplicaAttempt, end: AttemptEnd, detail: string): void {
    const now = this._state.now()
    this._closeAttempt(attempt, this._signOf(attempt, end))
    if (end === 'not-sent' || end === 'not-run') this._possibleRuns -= 1
    const context = this._contextAt(now)
    let verdict = decideAfterAttempt(end, context)
    // Nothing of it arrived anywhere, so that the next attempt is no repeat.
    const isFree = end === 'not-sent'
    if (verdict === 'try-another' && !isFree && !this._spendRepeat(now)) verdict = finalVerdict(end, context)
    this._noteAttemptEnd(attempt, end, detail, verdict)
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
      hasOtherReplica: this._placement.hasReplicaBeside(this._tried),
      isTimeLeft: this._request.deadline - now > SHORTEST_ATTEMPT
    }
  }

  private _spendRepeat (now: Milliseconds): boolean {
    return this._state.retryBudget.trySpend(this._placement.service, this._state.fronts.knownSize, now)
  }

  private _noteAttemptEnd (attempt: ReplicaAttempt, end: AttemptEnd, detail: string, verdict: AttemptVerdict): void {
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

  /** A replica that is full because of us, or says when it takes requests again, is no worse for it. */
  private _signOf (attempt: ReplicaAttempt, end: AttemptEnd): HealthSignal | undefined {
    if (end === 'not-sent' || end === 'timed-out') return 'unreachable'
    if (end !== 'not-run') return 'failed'
    if (this._state.notices.isClosed(attempt.replica, this._state.now())) return undefined
    return this._state.loads.of(attempt.replica.id).requests < attempt.replica.slots ? 'failed' : undefined
  }

  private _closeAttempt (attempt: ReplicaAttempt, sign: HealthSignal | undefined): void {
    attempt.close(sign)
    this._attempt = undefined
  }

  /** A silent attempt is given up only where another one may follow; else its answer may still come. */
  private _onSilence (attempt: ReplicaAttempt, silence: Milliseconds): void {
    const now = this._state.now()
    const context = this._contextAt(now)
    if (decideAfterAttempt('timed-out', context) !== 'try-another' || !this._spendRepeat(now)) return
    this._closeAttempt(attempt, 'unreachable')
    this._noteAttemptEnd(attempt, 'timed-out', `silent for ${Math.round(silence)} ms`, 'try-another')
    this._tryNext()
  }

  private _firstSilence (): Milliseconds | undefined {
    const { route } = this._request
    if (!this._isRepeatable || this._possibleRuns >= route.maximumAttempts) return undefined
    return route.objective * (route.kind === 'streaming' ? FIRST_EVENT_SHARE : PLAIN_ATTEMPT_SHARE)
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

  private _onCallerGone (): void {
    if (this._isOver) return
    const attempt = this._attempt
    if (attempt !== undefined) this._closeAttempt(attempt, undefined)
    this._finish('caller-gone')
  }

  private _refuse (reason: RefusalReason): void {
    refuse(this._request.response, reason, this._state, this._comeBackFor(reason))
    this._finish(`refused-${reason}`)
  }

  /** Undefined where the reason alone says when to come back. */
  private _comeBackFor (reason: RefusalReason): Milliseconds | undefined {
    return reason === 'no-replica' || reason === 'at-limit' || reason === 'not-run' ? this._placement.opensIn : undefined
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
    WholeAnswerRelay.pass(this._request.response, failure.head, failure.body.take())
    this._finish('passed-failure')
  }

  /** The caller must see that the answer is not whole. */
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
    this._onOver()
  }
}

function hasBodyHeaders (rawHeaders: readonly string[]): boolean {
  return rawHeaders.some((name, index) => index % 2 === 0 && /^(content-length|transfer-encoding)$/i.test(name))
}
