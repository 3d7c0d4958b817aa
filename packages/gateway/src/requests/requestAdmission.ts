/** Admits one request: whether it may be sent, when it is sent, how long it waits for that, and how it is refused. */
import type { Milliseconds, Selection, StreamOrigin } from '@wasabihead/coordination'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'
import type { PeerPlacement } from './peerPlacement.js'
import { findOrigin } from './replicaRunCheck.js'
import type { RequestPlacement } from './requestPlacement.js'
import { refuse, type RefusalReason } from './refusals.js'
import {
  QueuedWaiting, TimedWaiting, type AdmissionVerdict, type RequestWaiting, type WaitingActions
} from './requestWaiting.js'

/** Share of the objective for which a request waits for replicas at their rate limit; a refusal is still early by then. */
const LIMIT_WAIT_SHARE = 0.12

/** The waiting, the retries and the refusal of one request. */
export class RequestAdmission {
  private _hasTriedReservation = false
  private readonly _waiting: RequestWaiting
  private _timer: NodeJS.Timeout | undefined
  /** The retry that was spent, until the request is sent again. */
  private _unusedRetry: { service: string, spentAt: Milliseconds } | undefined

  constructor (
    private readonly _state: GatewayState,
    private readonly _request: CallerRequest,
    private readonly _placement: RequestPlacement,
    private readonly _peers: PeerPlacement,
    private readonly _actions: WaitingActions
  ) {
    const { waitQueues } = _state
    this._waiting = waitQueues === undefined
      ? new TimedWaiting(_request, _placement, _actions)
      : new QueuedWaiting(_state, waitQueues, _request, _placement, _actions)
  }

  /** What the request has in common with others that crash replicas; undefined if it may be sent. */
  get blockedFeatures (): readonly string[] | undefined {
    return this._state.crashes.blockOf(this._request, this._state.suspensionAwareNow())
  }

  /** Whether the instance, which may be stopping, still sends the request. */
  maySend (possibleRuns: number, now: Milliseconds): boolean {
    const { objective } = this._request.route
    return this._state.gracefulStop.maySend({ possibleRuns, objective }, now)
  }

  /** Decides whether a request that was sent to no replica yet is sent to the selected one; one that waits gets a turn later. */
  admit (selection: Selection): AdmissionVerdict {
    return this._waiting.admit(selection)
  }

  /** Reserves a send within the replicas' rate limits and waits for it; false if none is possible in time. */
  waitForReservedSend (tried: ReadonlySet<string>, possibleRuns: number): boolean {
    const { receivedAt, route } = this._request
    if (possibleRuns > 0 || this._hasTriedReservation) return false
    this._hasTriedReservation = true
    const delay = this._placement.reserveSend(tried, receivedAt + route.objective * LIMIT_WAIT_SHARE)
    if (delay === undefined) return false
    this._timer = setTimeout(this._actions.onTurn, delay)
    return true
  }

  /** Why a request is refused for which no replica was selected. */
  get reasonWithoutReplica (): RefusalReason {
    if (this._placement.isCutOff) return 'cut-off'
    return this._placement.isAtLimit ? 'at-limit' : 'no-replica'
  }

  /**
   * Resolves with where the stream began that the request goes on with: undefined if any replica may go on with it, `refuse` if
   * it is not known and several versions of the software may serve.
   */
  async findResumedOrigin (resumedRequestId: string | undefined): Promise<StreamOrigin | undefined | 'refuse'> {
    // Also asked for where one version is known: the instance that began the stream may have read of another one earlier.
    const origin = resumedRequestId === undefined ? 'unknown' : await this._findOrigin(resumedRequestId)
    if (typeof origin === 'object') return origin
    return this._mayVersionsBeMixed() || (origin === 'unanswered' && !this._isCatalogRecent) ? 'refuse' : undefined
  }

  /** Spends a retry of the budget, unless one was spent already that is not used yet. */
  trySpendRetry (now: Milliseconds): boolean {
    const { service } = this._placement
    // The other attempt ended while a replica was chosen for the retry.
    if (this._unusedRetry?.service === service) return true
    if (!this._state.retryBudget.trySpend(service, this._state.fronts.knownSize, now)) return false
    this._unusedRetry = { service, spentAt: now }
    return true
  }

  /** No replica was found that may go on with the request. */
  giveBackRetry (): void {
    if (this._unusedRetry === undefined) return
    const { service, spentAt } = this._unusedRetry
    this._unusedRetry = undefined
    this._state.retryBudget.giveBack(service, spentAt)
  }

  /** The request is being sent, so that a retry that was spent for it is used. */
  onSent (): void {
    this._unusedRetry = undefined
  }

  /**
   * Answers the caller with a refusal.
   * @param onDelay gets the delay before the caller should retry, before the head of the answer is written; undefined where the
   * default delay of the reason applies
   */
  refuse (reason: RefusalReason, onDelay: (retryAfter: Milliseconds | undefined) => void): void {
    const retryAfter = this._retryDelayFor(reason)
    onDelay(retryAfter)
    const isOwn = reason === 'crowded' && retryAfter !== undefined
    refuse(this._request.response, reason, this._state, retryAfter, isOwn ? 0 : undefined)
  }

  /** Ends the waiting. */
  close (): void {
    this.giveBackRetry()
    clearTimeout(this._timer)
    this._waiting.close()
  }

  private _retryDelayFor (reason: RefusalReason): Milliseconds | undefined {
    switch (reason) {
      case 'cut-off':
      case 'not-run': return this._peers.retryAfter ?? this._placement.retryDelay
      case 'no-replica':
      case 'at-limit': return this._placement.retryDelay
      case 'crowded': return this._waiting.retryAfter
      default: return undefined
    }
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
}
