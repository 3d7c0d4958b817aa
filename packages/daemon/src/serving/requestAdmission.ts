/** Performs the effects of `AdmissionQueue`: callers await a promise until their request is admitted or refused. */
import { Result } from 'true-myth'
import {
  AdmissionQueue, RefusalError,
  type AdmissionEffect, type AdmissionMessage, type AdmissionSettings, type Milliseconds, type RequestClass,
  type RunOutcome
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { AcceptedRequest } from './acceptedRequest.js'

const MAXIMUM_WAITING = 1_024
const MINIMUM_LIMIT = 4
/** Small, so that an instance that starts under overload can still observe its baseline latency. */
const INITIAL_LIMIT = 32

/** The place of an admitted request; its owner calls `leave` exactly once, when the request ends. */
export interface AdmissionTicket {
  /** @param refusal the error that the request ended with; undefined if it was answered */
  leave (refusal?: unknown): void
}

/** Admits the requests of this instance. */
export class RequestAdmission {
  private readonly _queue: AdmissionQueue
  private readonly _waiting = new Map<number, (result: Result<AdmissionTicket, RefusalError>) => void>()
  private _lastId = 0
  private _timer: NodeJS.Timeout | undefined

  /** @param maximumRunning most requests that may run at once, whatever the latency */
  constructor (
    maximumRunning: number, random: AdmissionSettings['random'], private readonly _clock: Clock
  ) {
    this._queue = new AdmissionQueue({
      initialLimit: Math.min(INITIAL_LIMIT, maximumRunning),
      minimumLimit: Math.min(MINIMUM_LIMIT, maximumRunning),
      maximumLimit: maximumRunning,
      maximumWaiting: MAXIMUM_WAITING,
      random
    })
  }

  /** Number of requests that run or wait. */
  get openRequests (): number {
    return this._queue.running + this._queue.waiting
  }

  /** Waits until the request is admitted or refused. Aborting the signal removes it from the queue and refuses it. */
  async enter (request: AcceptedRequest, signal: AbortSignal): Promise<Result<AdmissionTicket, RefusalError>> {
    const id = ++this._lastId
    const onAbort = () => { this._cancel(id) }
    try {
      return await new Promise(resolve => {
        this._waiting.set(id, resolve)
        signal.addEventListener('abort', onAbort, { once: true })
        this._handle({ kind: 'enter', entry: this._entryOf(id, request) })
      })
    } finally {
      signal.removeEventListener('abort', onAbort)
    }
  }

  private _entryOf (id: number, { workspace, kind, deadline }: AcceptedRequest): Extract<AdmissionMessage, { kind: 'enter' }>['entry'] {
    const requestClass: RequestClass = kind.treatment === 'durable' ? 'batch' : kind.priority
    return {
      id,
      workspace: workspace.name,
      share: workspace.share,
      maximumConcurrent: workspace.maximumConcurrent,
      requestClass,
      requestKind: kind.name,
      deadline
    }
  }

  private _cancel (id: number): void {
    this._handle({ kind: 'cancel', id })
    this._answer(id, Result.err(new RefusalError('deadline-exceeded', 499, true, 'The caller disconnected', 'Send the request again')))
  }

  private _handle (message: AdmissionMessage): void {
    for (const effect of this._queue.handle(message, this._clock.monotonic())) this._perform(effect)
  }

  private _perform (effect: AdmissionEffect): void {
    switch (effect.kind) {
      case 'admit': return this._answer(effect.id, Result.ok(this._ticketOf(effect.id)))
      case 'refuse': return this._answer(effect.id, Result.err(effect.refusal))
      case 'wake-at': return this._wakeAt(effect.at)
    }
  }

  private _ticketOf (id: number): AdmissionTicket {
    return {
      leave: refusal => { this._handle({ kind: 'leave', id, outcome: outcomeOf(refusal) }) }
    }
  }

  private _answer (id: number, result: Result<AdmissionTicket, RefusalError>): void {
    this._waiting.get(id)?.(result)
    this._waiting.delete(id)
  }

  private _wakeAt (at: Milliseconds): void {
    clearTimeout(this._timer)
    const delay = Math.max(0, Math.floor(at - this._clock.monotonic()) + 1)
    this._timer = setTimeout(() => { this._handle({ kind: 'wake' }) }, delay)
    this._timer.unref()
  }
}

function outcomeOf (refusal: unknown): RunOutcome {
  if (refusal === undefined) return 'answered'
  const isOverloaded = refusal instanceof RefusalError && (refusal.kind === 'no-replica' || refusal.status === 504)
  return isOverloaded ? 'overloaded' : 'failed'
}
