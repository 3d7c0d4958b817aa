/** Runs the wait queues of this instance, one for each service: passes on events that free room, and carries out refusals. */
import {
  LearnedCosts, ReplicaSlowdowns, ServiceRooms, SlotLimits, WaitQueue, type Milliseconds, type OfferOutcome,
  type WaitingRequest, type WaitRefusal
} from '@wasabihead/coordination'
import type { GatewayMetrics } from '../telemetry/index.js'

/** Timers are late by some milliseconds; a queue is checked at most this often by its timer. */
const MINIMUM_CHECK_DELAY: Milliseconds = 5

/** Heartbeats of hundreds of peers arrive in each second, and each pass over a queue selects replicas several times. */
const PEER_LOADS_INTERVAL: Milliseconds = 20

/** A waiting request, as the queue calls it. */
export interface Waiter {
  /** Sends the request if it lacks at most the allowed share of a replica's memory. */
  offer: (allowance: number) => OfferOutcome
  refuse: (retryAfter: Milliseconds) => void
}

interface ServiceQueue {
  queue: WaitQueue
  waiters: Map<number, Waiter>
  timer: NodeJS.Timeout | undefined
  isScheduled: boolean
}

/** The wait queues, and the estimates by which they decide. */
export class WaitQueues {
  readonly rooms = new ServiceRooms()
  readonly slowdowns = new ReplicaSlowdowns()
  readonly slotLimits = new SlotLimits()
  private readonly _queues = new Map<string, ServiceQueue>()
  private _lastId = 0
  private _peerLoadsAt: Milliseconds = -Infinity

  constructor (private readonly _metrics: GatewayMetrics, private readonly _now: () => Milliseconds) {}

  /** What was learned of the replicas of a service from its answers. */
  learnedCosts (service: string): LearnedCosts {
    return new LearnedCosts(service, this.rooms.of(service), this.slowdowns, this.slotLimits)
  }

  /** Returns whether the request may be sent at once. */
  admitAtOnce (service: string, request: Omit<WaitingRequest, 'id'>, crowding: number): boolean {
    return this._of(service).queue.admitAtOnce({ ...request, id: 0 }, crowding, this._now())
  }

  /** Adds a request that waits. It is offered its turn, or refused, later than this call. */
  enter (service: string, request: Omit<WaitingRequest, 'id'>, waiter: Waiter): number {
    const id = this._lastId += 1
    const own = this._of(service)
    own.queue.enter({ ...request, id }, this._now())
    own.waiters.set(id, waiter)
    this._schedule(own)
    this._measure()
    return id
  }

  /** Removes a request that ended or goes another way. */
  leave (service: string, id: number): void {
    const own = this._of(service)
    if (!own.waiters.delete(id)) return
    own.queue.leave(id)
    this._measure()
    this._schedule(own)
  }

  /** Room may have become free at replicas of the service. */
  onRoomFreed (service: string): void {
    const own = this._queues.get(service)
    if (own !== undefined) this._schedule(own)
  }

  /** The loads of a peer arrived, which may have freed room at any service. */
  onPeerLoads (): void {
    const now = this._now()
    if (now - this._peerLoadsAt < PEER_LOADS_INTERVAL) return
    this._peerLoadsAt = now
    for (const own of this._queues.values()) this._schedule(own)
  }

  /** Events of one turn of the event loop, such as many ends of answers in one read, are handled together. */
  private _schedule (own: ServiceQueue): void {
    if (own.isScheduled || own.queue.size === 0) return
    own.isScheduled = true
    setImmediate(() => {
      own.isScheduled = false
      this._advance(own)
    })
  }

  private _advance (own: ServiceQueue): void {
    const refusals = own.queue.advance((id, allowance) => {
      const outcome = own.waiters.get(id)?.offer(allowance) ?? 'left'
      if (outcome !== 'declined') own.waiters.delete(id)
      return outcome
    }, this._now())
    for (const refusal of refusals) this._refuse(own, refusal)
    this._measure()
    this._setTimer(own)
  }

  private _refuse ({ waiters }: ServiceQueue, { id, retryAfter }: WaitRefusal): void {
    const waiter = waiters.get(id)
    waiters.delete(id)
    waiter?.refuse(retryAfter)
  }

  private _setTimer (own: ServiceQueue): void {
    const now = this._now()
    const at = own.queue.nextCheckAt(now)
    clearTimeout(own.timer)
    if (at === undefined) return
    own.timer = setTimeout(() => { this._schedule(own) }, Math.max(MINIMUM_CHECK_DELAY, Math.ceil(at - now)))
  }

  private _measure (): void {
    let waiting = 0
    for (const { queue } of this._queues.values()) waiting += queue.size
    this._metrics.gauge('waiting_requests', waiting)
  }

  private _of (service: string): ServiceQueue {
    const known = this._queues.get(service)
    if (known !== undefined) return known
    const own: ServiceQueue = {
      queue: new WaitQueue(this.rooms.of(service)), waiters: new Map(), timer: undefined, isScheduled: false
    }
    this._queues.set(service, own)
    return own
  }
}
