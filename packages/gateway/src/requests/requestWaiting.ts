/** How a request waits that was sent to no replica yet and finds no room. */
import {
  isQueueTooLong, urgencyOf, type Milliseconds, type OfferOutcome, type Selection, type WaitingRequest
} from '@wasabihead/coordination'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'
import type { RequestPlacement } from './requestPlacement.js'
import type { WaitQueues } from './waitQueues.js'

/** Interval at which a request that waits for memory of a replica is checked. */
const HOLD_CHECK_INTERVAL: Milliseconds = 30
/** A request whose answer takes most of its objective has this share left for waiting at least. */
const MAXIMUM_ANSWER_SHARE = 0.6

/** What happens to a request for which a replica was selected: it is sent now, waits, or is refused. */
export type AdmissionVerdict = 'send' | 'wait' | 'refuse'

/** What a waiting request does: it is tried again, or refused. Nothing of it is called after `close`. */
export interface WaitingActions {
  onTurn: () => void
  onRefused: () => void
}

/** The waiting of one request. */
export abstract class RequestWaiting {
  constructor (
    protected readonly _request: CallerRequest,
    protected readonly _placement: RequestPlacement,
    protected readonly _actions: WaitingActions
  ) {}

  /** Delay before the caller of a refused request should retry; undefined where that of the reason applies. */
  abstract readonly retryAfter: Milliseconds | undefined

  /** Decides whether a request is sent to the selected replica; one that waits is tried again or refused later. */
  abstract admit (selection: Selection): AdmissionVerdict

  /** Ends the waiting. */
  abstract close (): void
}

/** Checks again at an interval, on a timer of its own. */
export class TimedWaiting extends RequestWaiting {
  override readonly retryAfter = undefined
  private _timer: NodeJS.Timeout | undefined

  override admit (selection: Selection): AdmissionVerdict {
    const admission = this._placement.admit(selection)
    if (admission !== 'hold') return admission
    this._timer = setTimeout(this._actions.onTurn, HOLD_CHECK_INTERVAL)
    return 'wait'
  }

  override close (): void {
    clearTimeout(this._timer)
  }
}

/** Waits in the queue of the service, in order with the other requests of this instance. */
export class QueuedWaiting extends RequestWaiting {
  private _retryAfter: Milliseconds | undefined
  private _place: { service: string, id: number } | undefined
  /** The offer that is being tried, and what came of it so far. */
  private _offer: { allowance: number, outcome: OfferOutcome } | undefined

  constructor (
    private readonly _state: GatewayState, private readonly _queues: WaitQueues, request: CallerRequest,
    placement: RequestPlacement, actions: WaitingActions
  ) {
    super(request, placement, actions)
  }

  override get retryAfter (): Milliseconds | undefined {
    return this._retryAfter
  }

  override admit (selection: Selection): AdmissionVerdict {
    const crowding = this._isBehindLongQueue(selection) ? Infinity : selection.crowding
    const offer = this._offer
    if (offer !== undefined) {
      offer.outcome = crowding <= offer.allowance ? 'sent' : 'declined'
      return offer.outcome === 'sent' ? 'send' : 'wait'
    }
    if (!this._needsRoom(selection)) return 'send'
    const request = this._describe(selection)
    const { service } = this._placement
    if (this._queues.admitAtOnce(service, request, crowding)) return 'send'
    const id = this._queues.enter(service, request, {
      offer: allowance => this._onOffer(allowance),
      refuse: retryAfter => { this._onRefused(retryAfter, selection.crowding) }
    })
    this._place = { service, id }
    return 'wait'
  }

  override close (): void {
    if (this._place === undefined) return
    const { service, id } = this._place
    this._place = undefined
    this._queues.leave(service, id)
  }

  private _onOffer (allowance: number): OfferOutcome {
    const offer: { allowance: number, outcome: OfferOutcome } = { allowance, outcome: 'left' }
    this._offer = offer
    this._actions.onTurn()
    this._offer = undefined
    if (offer.outcome === 'declined') return offer.outcome
    if (offer.outcome === 'sent') this._report('sent')
    this._place = undefined
    return offer.outcome
  }

  private _onRefused (retryAfter: Milliseconds, crowding: number): void {
    this._place = undefined
    this._retryAfter = retryAfter
    this._report('refused', { retryAfter: Math.round(retryAfter), crowding })
    this._actions.onRefused()
  }

  private _report (outcome: 'sent' | 'refused', details: { retryAfter?: Milliseconds, crowding?: number } = {}): void {
    const { metrics, log, now } = this._state
    const { head, receivedAt } = this._request
    metrics.count('waits_ended_total', outcome)
    log.decision('wait-ended', {
      requestId: head.requestId,
      service: this._placement.service,
      outcome,
      after: Math.round(now() - receivedAt),
      ...details
    })
  }

  private _isBehindLongQueue ({ queuedTokens, freshTokens, salt }: Selection): boolean {
    const { routes } = this._state.catalog
    if (salt === undefined || routes === undefined) return false
    const { service } = this._placement
    const { timePerToken } = this._state.speeds.of(service)
    const shortestObjective = routes.shortestObjective(service)
    return isQueueTooLong({ queueTime: queuedTokens * timePerToken, readTime: freshTokens * timePerToken, shortestObjective })
  }

  /** At an engine, a request without a prompt needs no memory. */
  private _needsRoom ({ salt }: Selection): boolean {
    return salt !== undefined || this._state.catalog.routes?.service(this._placement.service)?.engine === undefined
  }

  private _describe (selection: Selection): Omit<WaitingRequest, 'id'> {
    const { route, workspace, receivedAt, fingerprint, head: { prompt } } = this._request
    return {
      workspace: workspace?.name ?? '',
      route: route.name,
      priority: urgencyOf(route, workspace),
      room: prompt === undefined || selection.salt === undefined ? 1 : prompt.inputTokens + prompt.maximumOutputTokens,
      receivedAt,
      objective: route.objective,
      sendBy: receivedAt + route.objective - this._timeToAnswer(selection),
      fingerprint
    }
  }

  /** Expected time from sending the request to an answer that is on time: to the first event of a stream, else to the end. */
  private _timeToAnswer ({ freshTokens, salt }: Selection): Milliseconds {
    const { route } = this._request
    const { service } = this._placement
    const firstToken = salt === undefined ? 0 : this._state.speeds.of(service).timeToFirstToken(freshTokens)
    const expected = route.kind === 'streaming' ? firstToken : this._queues.rooms.of(service).meanRun ?? firstToken
    return Math.min(expected, route.objective * MAXIMUM_ANSWER_SHARE)
  }
}
