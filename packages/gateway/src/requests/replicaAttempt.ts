/** An attempt to serve a request on one replica: the load that it adds, and what the replica says and shows of itself. */
import {
  replicaRunOf, type AttemptEnd, type BeginningRun, type HealthSignal, type Milliseconds, type PaceChange, type PacedEnd,
  type PacedSend, type Replica, type Selection, type StreamOrigin
} from '@wasabihead/coordination'
import type { AnswerHead, ReplicaChannel } from '../channels/index.js'
import type { AnswerFacts, StatedRate } from '../protocol/index.js'
import { Attempt } from './attempt.js'
import type { CallerRequest } from './callerRequest.js'
import { recordColdAnswer, suspectRestart } from './coldReplicaEvents.js'
import type { GatewayState } from './gatewayState.js'
import { isPaceInForce, reportPaceChange } from './replicaPace.js'

/** A reused connection that ends within this time after a request was probably closed before it. */
const STALE_CHANNEL_WINDOW: Milliseconds = 10

/** An attempt on a replica. Its load counts until it is closed, that of its prefill until the first body chunk. */
export class ReplicaAttempt extends Attempt {
  /** Whether the load of the prefill and of the fetches still counts: until the first body chunk or the end. */
  private _isPrefillPending = true
  private _prefillTokens: number
  private readonly _memoryTokens: number
  /** Undefined where the replica was not limited by its pace when the request was sent. */
  private readonly _pacedSend: PacedSend | undefined
  private _isRefused = false

  /** @param _isStream whether the answer is an event stream, whose chunks show that the replica is alive */
  constructor (
    state: GatewayState,
    private readonly _request: CallerRequest,
    readonly selection: Selection,
    channel: ReplicaChannel,
    private readonly _isStream: boolean
  ) {
    super(state, channel)
    const { prompt } = _request.head
    this._prefillTokens = selection.freshTokens
    this._memoryTokens = prompt === undefined ? 0 : prompt.inputTokens + prompt.maximumOutputTokens
    state.health.onSend(this.replica.id)
    state.links.onSent(this.replica.service, this.sentAt)
    state.loads.add(this.replica.id, { requests: 1, prefillTokens: this._prefillTokens, memoryTokens: this._memoryTokens })
    state.waitQueues?.rooms.of(this.replica.service).onTaken(this._room)
    this._addFetchLoads(1)
    this._pacedSend = state.serverPace.onSent(this.replica, this.suspensionAwareSentAt)
  }

  /** The selected replica. */
  get replica (): Replica {
    return this.selection.replica
  }

  override get destination (): string {
    return this.replica.id
  }

  override get origin (): StreamOrigin {
    return { service: this.replica.service, softwareVersion: this.replica.softwareVersion ?? '' }
  }

  override get beginningRun (): BeginningRun {
    const { now, suspensionAwareNow } = this._state
    const connectedFor = now() - (this.channel.connectedAt ?? now())
    return { replicaRun: replicaRunOf(this.replica), connectedAt: suspensionAwareNow() - connectedFor, replica: this.replica }
  }

  override isExpected (head: AnswerHead): boolean {
    const { requestId, isNotRun } = this._factsOf(head)
    if (requestId !== undefined) return requestId === this._request.head.requestId
    if (!isNotRun) return false
    // On a connection that carried another request it may be a copy of an answer to that one; this request may be running.
    const isFirst = this.channel.completedExchanges === 0
    const { metrics, log } = this._state
    metrics.count('refusals_without_id_total', isFirst ? 'first' : 'ambiguous')
    log.decision('refusal-without-id', { requestId: this._request.head.requestId, replica: this.replica.id, status: head.status, isFirst })
    return isFirst
  }

  override readHead (head: AnswerHead): AnswerFacts {
    const facts = this._factsOf(head)
    this._state.links.onBytes(this.replica.service, this._state.now())
    this._recordNotices(facts)
    this._isRefused = facts.isNotRun
    const { prompt } = this._request.head
    if (prompt !== undefined && facts.weightVersion !== undefined && facts.isSealed && !facts.isNotRun) {
      this._state.catalog.observeWeightVersion(this.replica, prompt.model, facts.weightVersion)
    }
    return facts
  }

  /** Has it verified that the replica crashed: its connection ended during this request. */
  override onConnectionLost (): void {
    if (!this.hasHead && this._mayBeStale) return
    const { log, metrics, onReplicaLost } = this._state
    const { fingerprint, features, head } = this._request
    const replicaRun = replicaRunOf(this.replica)
    // A replica crashes as it begins an answer; one that had begun is lost with others.
    const suspected = this.hasAnswered ? [] : [...features]
    const report = { fingerprint, replicaRun, service: this.replica.service, features: suspected, age: 0 }
    onReplicaLost(this.replica, report)
    metrics.count('suspected_replica_crashes_total', this.hasAnswered ? 'answering' : 'before-answer')
    log.decision('replica-crash-suspected', {
      requestId: head.requestId,
      replicaRun,
      fingerprint,
      parts: head.prompt?.parts.map(({ id }) => id).join(','),
      hasBegunAnswer: this.hasAnswered
    })
  }

  /** Nothing if the replica is full with our requests or stated a retry delay. */
  override healthSignalOf (end: AttemptEnd): HealthSignal | undefined {
    if (end === 'not-sent' || end === 'timed-out') return 'unreachable'
    if (end !== 'not-run') return 'failed'
    if (this._state.notices.isClosed(this.replica, this._state.now())) return undefined
    return this._state.loads.of(this.replica.id).requests < this.replica.slots ? 'failed' : undefined
  }

  override possibleRunsAfter (end: AttemptEnd, possibleRuns: number): number {
    return end === 'not-sent' || end === 'not-run' ? possibleRuns - 1 : possibleRuns
  }

  override isUnsent (end: AttemptEnd): boolean {
    return end === 'not-sent'
  }

  protected override _onBody (isFirst: boolean): void {
    const { health, links, now } = this._state
    if (isFirst) this._recordFirstByte()
    if (isFirst && this._isStream) health.onStream(this.replica.id, 1, now())
    health.onBytes(this.replica.id, now())
    links.onBytes(this.replica.service, now())
    this._releasePrefill()
  }

  protected override _onClosed (signal: HealthSignal | undefined): void {
    const { health, loads, now } = this._state
    if (this._hasBody && this._isStream) health.onStream(this.replica.id, -1, now())
    this._releasePrefill()
    loads.add(this.replica.id, { requests: -1, prefillTokens: 0, memoryTokens: -this._memoryTokens })
    // A replica that was silent may have restarted meanwhile.
    if (signal === 'unreachable') suspectRestart(this._state, this.replica.id)
    this._releaseRoom(signal === 'answered')
    if (signal === undefined) health.onInconclusive(this.replica.id)
    else health.record(this.replica.id, signal, now())
    this._recordPacedEnd(signal)
  }

  /** A sound replica may be silent for longer than other replicas take to begin an answer. */
  protected override _isDead (now: Milliseconds): boolean {
    const { health, loadingReplicas } = this._state
    return !this._hasBody && health.isSilent(this.replica.id, now) && !loadingReplicas.has(this.replica.id, now)
  }

  /** A busy replica queues a request while it serves others; sending it elsewhere as well would only add load. */
  protected override get _isLikelyQueued (): boolean {
    return this._isStream && !this._hasBody && this._state.health.hasSentBytesSince(this.replica.id, this.sentAt)
  }

  /** Whether the replica may have closed the reused connection just as the request was sent. */
  private get _mayBeStale (): boolean {
    return this.channel.completedExchanges > 0 && this._state.now() - this.sentAt < STALE_CHANNEL_WINDOW
  }

  private _factsOf (head: AnswerHead): AnswerFacts {
    return this._state.replicaProtocol.readAnswer(head.status, head.headers)
  }

  /** Records what the replica says about the requests that it still accepts. Ignores an answer that is not the replica's own. */
  private _recordNotices ({ isLeaving, retryAfter, rateLimit, coldLeft, isNotRun, isSealed }: AnswerFacts): void {
    if (!isNotRun && !isSealed) return
    const { notices, channels, log, now } = this._state
    const { requestId } = this._request.head
    this._recordLimit(rateLimit)
    recordColdAnswer(this._state, this.replica, coldLeft, this.suspensionAwareSentAt)
    if (isLeaving && notices.onLeaving(this.replica, now())) {
      channels.closeIdleConnections(this.replica.id)
      log.change('replica-leaving', { replica: this.replica.id, requestId })
    }
    if (retryAfter === undefined) return
    notices.onRetryAfter(this.replica, retryAfter, now())
    log.decision('replica-closed', { replica: this.replica.id, requestId, for: retryAfter })
  }

  private _recordLimit (rate: StatedRate | undefined): void {
    const { replicaLimits, log, metrics, suspensionAwareNow } = this._state
    const { requestId } = this._request.head
    if (rate !== undefined) metrics.count('answers_with_rate_limit_total', rate === 'unreadable' ? 'unreadable' : 'stated')
    if (rate === 'unreadable') {
      // The previous limit stays, since the new one is not known.
      log.decision('replica-limit-unreadable', { replica: this.replica.id, requestId, rate: replicaLimits.rateOf(this.replica) })
      return
    }
    const now = suspensionAwareNow()
    const change = replicaLimits.onAnswer(this.replica, rate, this.suspensionAwareSentAt, now)
    if (change === undefined) return
    log.decision('replica-limit', {
      replica: this.replica.id, requestId, change, rate, after: Math.round(now - this.suspensionAwareSentAt)
    })
  }

  private _recordFirstByte (): void {
    const { serverPace, suspensionAwareNow } = this._state
    if (serverPace.isEmpty) return
    const now = suspensionAwareNow()
    const { salt, wait } = this.selection
    const time = {
      elapsed: now - this.suspensionAwareSentAt,
      expected: salt === undefined ? undefined : wait,
      objective: this._request.route.objective
    }
    this._reportPace(serverPace.onFirstByte(this.replica, this._pacedSend, time, now))
  }

  private _recordPacedEnd (signal: HealthSignal | undefined): void {
    const { serverPace, suspensionAwareNow } = this._state
    // Only an unreachable replica without a pace may get one by this.
    if (signal === 'unreachable' && this._pacedSend === undefined && !isPaceInForce(this._state, this.replica)) return
    const end = this._isRefused ? 'refused' : pacedEndOf(signal)
    this._reportPace(serverPace.onEnd(this.replica, this._pacedSend, end, this.suspensionAwareSentAt, suspensionAwareNow()))
  }

  private _reportPace (change: PaceChange | undefined): void {
    const { requestId } = this._request.head
    const isBegun = change === 'begun'
    reportPaceChange(this._state, this.replica, change, isBegun ? { requestId, cause: 'unreachable' } : { requestId })
  }

  private _addFetchLoads (sign: 1 | -1): void {
    for (const [address, tokens] of this.selection.fetchLoads) {
      this._state.loads.add(address, { requests: sign, prefillTokens: sign * tokens, memoryTokens: 0 })
    }
  }

  /** Memory in tokens, or one slot for a request without a prompt. */
  private get _room (): number {
    return this.selection.salt === undefined ? 1 : this._memoryTokens
  }

  private _releaseRoom (isAnswered: boolean): void {
    const { waitQueues, loads, now } = this._state
    if (waitQueues === undefined) return
    const { id, service, slots } = this.replica
    const run = isAnswered ? now() - this.sentAt : undefined
    waitQueues.rooms.of(service).onFreed(this._room, run, now())
    if (run !== undefined && this.selection.salt === undefined) {
      waitQueues.slotLimits.onAnswered(service, slots, this._request.route.name, run, loads.of(id).requests + 1)
    }
    waitQueues.onRoomFreed(service)
  }

  private _releasePrefill (): void {
    if (!this._isPrefillPending) return
    this._isPrefillPending = false
    this._addFetchLoads(-1)
    this._state.loads.add(this.replica.id, { requests: 0, prefillTokens: -this._prefillTokens, memoryTokens: 0 })
    this._prefillTokens = 0
    this._state.waitQueues?.onRoomFreed(this.replica.service)
  }
}

function pacedEndOf (signal: HealthSignal | undefined): PacedEnd {
  switch (signal) {
    case undefined: return 'inconclusive'
    case 'failed': return 'refused'
    default: return signal
  }
}
