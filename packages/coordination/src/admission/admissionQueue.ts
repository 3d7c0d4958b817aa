/**
 * Admits requests by class first and by workspace share within a class, under a limit that adapts to latency. A request
 * that would miss its deadline in the queue is refused at once, with a retry delay derived from the queue's drain rate.
 */
import type { Milliseconds, SeededRandom } from '../common/index.js'
import { jitteredRetryAfter } from '../retry/index.js'
import { AdaptiveLimit, type AdaptiveLimitSettings } from './adaptiveLimit.js'
import { RefusalError } from './errors.js'
import { FairQueue } from './fairQueue.js'
import {
  REQUEST_CLASSES,
  type AdmissionEffect, type AdmissionEntry, type AdmissionMessage, type RequestClass, type RunOutcome
} from './messages.js'

/** Settings of admission. */
export interface AdmissionSettings extends AdaptiveLimitSettings {
  /** Maximum number of requests that wait on this instance. */
  maximumWaiting: number
  /** Source of jitter for retry delays. */
  random: SeededRandom
}

/** Share of the limit up to which each class is admitted, so that a flood of a lower class leaves room for a higher one. */
const CLASS_SHARES: Record<RequestClass, number> = { interactive: 1, normal: 0.9, batch: 0.75 }
/** One in this many admissions takes the lowest waiting class first, so that it is slowed down but not starved. */
const LOWEST_CLASS_INTERVAL = 10
/** Weight of a new sample in the moving averages of service time. */
const SAMPLE_WEIGHT = 0.1
const INITIAL_SERVICE_TIME: Milliseconds = 200
const MAXIMUM_REQUEST_KINDS = 256
const SHORTEST_RETRY_AFTER: Milliseconds = 100
const LONGEST_RETRY_AFTER: Milliseconds = 60_000

interface RunningEntry {
  entry: AdmissionEntry
  admittedAt: Milliseconds
}

/** Decides which requests run on this instance. It holds no timers; the caller carries out the effects. */
export class AdmissionQueue {
  private readonly _limit: AdaptiveLimit
  private readonly _queues: Record<RequestClass, FairQueue> = {
    interactive: new FairQueue(), normal: new FairQueue(), batch: new FairQueue()
  }

  private readonly _running = new Map<number, RunningEntry>()
  private readonly _runningByWorkspace = new Map<string, number>()
  private readonly _serviceTimeByKind = new Map<string, Milliseconds>()
  private _meanServiceTime = INITIAL_SERVICE_TIME
  private _admissionsSinceLowest = 0
  /** Lower bound of the time at which a waiting entry becomes too late to meet its deadline. */
  private _nextTooLateAt: Milliseconds = Infinity

  /** @param _settings limits and the source of jitter */
  constructor (private readonly _settings: AdmissionSettings) {
    this._limit = new AdaptiveLimit(_settings)
  }

  /** Number of requests running. */
  get running (): number {
    return this._running.size
  }

  /** Number of requests waiting, in all classes. */
  get waiting (): number {
    return REQUEST_CLASSES.reduce((sum, requestClass) => sum + this._queues[requestClass].size, 0)
  }

  /** Maximum number of concurrent requests at present. */
  get limit (): number {
    return this._limit.limit
  }

  /** Handles a message and returns the effects to carry out, in order. */
  handle (message: AdmissionMessage, now: Milliseconds): AdmissionEffect[] {
    switch (message.kind) {
      case 'enter': return this._onEnter(message.entry, now)
      case 'leave': return this._onLeave(message.id, message.outcome, now)
      case 'cancel': return this._onCancel(message.id, now)
      case 'wake': return this._advance(now)
    }
  }

  private _onEnter (entry: AdmissionEntry, now: Milliseconds): AdmissionEffect[] {
    if (now >= entry.deadline || this._wouldMissDeadline(entry, now)) return [this._refuse(entry, 'deadline')]
    if (this.waiting >= this._settings.maximumWaiting) {
      const evicted = this._selectForEviction(entry)
      if (evicted === entry) return [this._refuse(entry, 'queue')]
      this._queues[evicted.requestClass].remove(evicted)
      this._enqueue(entry)
      return [this._refuse(evicted, 'queue'), ...this._advance(now)]
    }
    this._enqueue(entry)
    return this._advance(now)
  }

  private _enqueue (entry: AdmissionEntry): void {
    this._nextTooLateAt = Math.min(this._nextTooLateAt, this._latestStart(entry))
    this._queues[entry.requestClass].add(entry, this._serviceTimeOf(entry.requestKind))
  }

  private _onLeave (id: number, outcome: RunOutcome, now: Milliseconds): AdmissionEffect[] {
    const running = this._running.get(id)
    if (running === undefined) return []
    const service = now - running.admittedAt
    if (outcome === 'overloaded') this._limit.onOverloaded()
    if (outcome === 'answered') this._recordServiceTime(running.entry.requestKind, service)
    this._releaseSlot(running.entry)
    return this._advance(now)
  }

  private _onCancel (id: number, now: Milliseconds): AdmissionEffect[] {
    for (const queue of Object.values(this._queues)) {
      for (const entry of queue.entries()) {
        if (entry.id !== id) continue
        queue.remove(entry)
        return this._advance(now)
      }
    }
    const running = this._running.get(id)
    if (running !== undefined) this._releaseSlot(running.entry)
    return this._advance(now)
  }

  private _recordServiceTime (requestKind: string, service: Milliseconds): void {
    this._limit.onEnded(requestKind, service, this._running.size)
    const known = this._serviceTimeByKind.get(requestKind) ?? service
    if (this._serviceTimeByKind.size >= MAXIMUM_REQUEST_KINDS) this._serviceTimeByKind.clear()
    this._serviceTimeByKind.set(requestKind, known + (service - known) * SAMPLE_WEIGHT)
    this._meanServiceTime += (service - this._meanServiceTime) * SAMPLE_WEIGHT
  }

  private _releaseSlot (entry: AdmissionEntry): void {
    this._running.delete(entry.id)
    const runningInWorkspace = this._runningByWorkspace.get(entry.workspace) ?? 0
    if (runningInWorkspace <= 1) this._runningByWorkspace.delete(entry.workspace)
    else this._runningByWorkspace.set(entry.workspace, runningInWorkspace - 1)
  }

  /** Admits entries while there is capacity, and refuses those that can no longer meet their deadlines. */
  private _advance (now: Milliseconds): AdmissionEffect[] {
    const effects: AdmissionEffect[] = []
    for (;;) {
      const entry = this._takeNext()
      if (entry === undefined) break
      if (this._isTooLate(entry, now)) effects.push(this._refuse(entry, 'deadline'))
      else effects.push(this._admit(entry, now))
    }
    return [...effects, ...this._refuseTooLate(now)]
  }

  private _takeNext (): AdmissionEntry | undefined {
    const isLowestClassFirst = this._admissionsSinceLowest >= LOWEST_CLASS_INTERVAL - 1
    const order = isLowestClassFirst ? [...REQUEST_CLASSES].reverse() : REQUEST_CLASSES
    for (const requestClass of order) {
      const share = isLowestClassFirst ? 1 : CLASS_SHARES[requestClass]
      if (this._running.size >= Math.max(1, Math.floor(this.limit * share))) continue
      const entry = this._queues[requestClass].takeNext(candidate => this._isBelowWorkspaceMaximum(candidate))
      if (entry === undefined) continue
      this._admissionsSinceLowest = isLowestClassFirst ? 0 : this._admissionsSinceLowest + 1
      return entry
    }
    return undefined
  }

  private _isBelowWorkspaceMaximum (entry: AdmissionEntry): boolean {
    return (this._runningByWorkspace.get(entry.workspace) ?? 0) < entry.maximumConcurrent
  }

  private _admit (entry: AdmissionEntry, now: Milliseconds): AdmissionEffect {
    this._running.set(entry.id, { entry, admittedAt: now })
    this._runningByWorkspace.set(entry.workspace, (this._runningByWorkspace.get(entry.workspace) ?? 0) + 1)
    return { kind: 'admit', id: entry.id }
  }

  /** Scans the queues only when some entry may have become too late, so that most messages cost no scan. */
  private _refuseTooLate (now: Milliseconds): AdmissionEffect[] {
    const effects: AdmissionEffect[] = []
    if (now > this._nextTooLateAt) {
      this._nextTooLateAt = Infinity
      for (const queue of Object.values(this._queues)) effects.push(...this._refuseTooLateIn(queue, now))
    }
    if (this.waiting === 0) this._nextTooLateAt = Infinity
    else effects.push({ kind: 'wake-at', at: this._nextTooLateAt })
    return effects
  }

  private _refuseTooLateIn (queue: FairQueue, now: Milliseconds): AdmissionEffect[] {
    const effects: AdmissionEffect[] = []
    for (const entry of [...queue.entries()]) {
      if (this._isTooLate(entry, now)) {
        queue.remove(entry)
        effects.push(this._refuse(entry, 'deadline'))
      } else this._nextTooLateAt = Math.min(this._nextTooLateAt, this._latestStart(entry))
    }
    return effects
  }

  private _latestStart (entry: AdmissionEntry): Milliseconds {
    return entry.deadline - this._serviceTimeOf(entry.requestKind)
  }

  private _isTooLate (entry: AdmissionEntry, now: Milliseconds): boolean {
    return now >= entry.deadline || now > this._latestStart(entry)
  }

  private _serviceTimeOf (requestKind: string): Milliseconds {
    return this._serviceTimeByKind.get(requestKind) ?? this._meanServiceTime
  }

  private _wouldMissDeadline (entry: AdmissionEntry, now: Milliseconds): boolean {
    const ahead = this._countAhead(entry)
    if (ahead === 0) return false
    return now + this._drainTime(ahead) > this._latestStart(entry)
  }

  private _countAhead (entry: AdmissionEntry): number {
    let ahead = 0
    for (const requestClass of REQUEST_CLASSES) {
      const queue = this._queues[requestClass]
      if (requestClass === entry.requestClass) return ahead + queue.countAhead(entry.workspace, entry.share)
      ahead += queue.size
    }
    return ahead
  }

  private _drainTime (entries: number): Milliseconds {
    return entries * this._meanServiceTime / Math.max(1, this.limit)
  }

  /**
   * The entry to evict from a full queue: the newest of the longest workspace queue (by entries per share) in the lowest
   * waiting class; or `entry` itself where its own workspace queue would be as long, or only higher classes wait.
   */
  private _selectForEviction (entry: AdmissionEntry): AdmissionEntry {
    for (const requestClass of [...REQUEST_CLASSES].reverse()) {
      const queue = this._queues[requestClass]
      const candidate = queue.findNewestOfLongest()
      if (candidate === undefined) {
        if (requestClass === entry.requestClass) return entry
        continue
      }
      const isSameClass = requestClass === entry.requestClass
      const isOwnQueueAsLong = queue.loadOf(entry.workspace) + 1 / entry.share >= queue.loadOf(candidate.workspace)
      return isSameClass && isOwnQueueAsLong ? entry : candidate
    }
    return entry
  }

  private _refuse (entry: AdmissionEntry, reason: 'deadline' | 'queue'): AdmissionEffect {
    const drainTime = this._drainTime(this._countAhead(entry) + 1)
    const retryAfter = Math.min(LONGEST_RETRY_AFTER, Math.max(SHORTEST_RETRY_AFTER, drainTime))
    const problem = reason === 'deadline'
      ? 'The request would miss its deadline in the queue'
      : 'Too many requests are queued'
    const refusal = new RefusalError('overloaded', 429, true, problem, 'Retry after the given delay',
      jitteredRetryAfter(retryAfter, this._settings.random.next()))
    return { kind: 'refuse', id: entry.id, refusal }
  }
}
