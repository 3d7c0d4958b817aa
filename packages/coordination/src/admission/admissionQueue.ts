/**
 * Admits requests to run: by class first, by workspace share within a class, under a limit that follows latency. What
 * would miss its deadline in the queue is refused at once, with a come-back time worked out from how fast the queue drains.
 */
import type { Milliseconds, SeededRandom } from '../common/index.js'
import { spreadRetryAfter } from '../retry/index.js'
import { AdaptiveLimit, type AdaptiveLimitSettings } from './adaptiveLimit.js'
import { RefusalError } from './errors.js'
import { FairQueue } from './fairQueue.js'
import {
  REQUEST_CLASSES,
  type AdmissionEffect, type AdmissionEntry, type AdmissionMessage, type RequestClass, type RunOutcome
} from './messages.js'

/** Settings of admission. */
export interface AdmissionSettings extends AdaptiveLimitSettings {
  /** Most requests that wait at once on this instance. */
  maximumWaiting: number
  /** Source of jitter for come-back times. */
  random: SeededRandom
}

/** Share of the limit that each class may fill, so that a flood of a lower class leaves room for a higher one. */
const CLASS_SHARES: Record<RequestClass, number> = { interactive: 1, normal: 0.9, batch: 0.75 }
/** One of so many admissions goes to the lowest class that waits, so that it is slow and not starved. */
const LOWEST_CLASS_TURN = 10
const ESTIMATE_WEIGHT = 0.1
const FIRST_SERVICE_ESTIMATE: Milliseconds = 200
const MAXIMUM_ESTIMATES = 256
const SHORTEST_RETRY_AFTER: Milliseconds = 100
const LONGEST_RETRY_AFTER: Milliseconds = 60_000

interface RunningEntry {
  entry: AdmissionEntry
  admittedAt: Milliseconds
}

/** Decides which requests run on this instance. */
export class AdmissionQueue {
  private readonly _limit: AdaptiveLimit
  private readonly _queues: Record<RequestClass, FairQueue> = {
    interactive: new FairQueue(), normal: new FairQueue(), batch: new FairQueue()
  }

  private readonly _running = new Map<number, RunningEntry>()
  private readonly _runningByWorkspace = new Map<string, number>()
  private readonly _serviceByKind = new Map<string, Milliseconds>()
  private _meanService = FIRST_SERVICE_ESTIMATE
  private _admissionsSinceLowest = 0
  /** No waiting entry becomes too late before this time. */
  private _nextLate: Milliseconds = Infinity

  /** @param _settings bounds */
  constructor (private readonly _settings: AdmissionSettings) {
    this._limit = new AdaptiveLimit(_settings)
  }

  /** Requests running now. */
  get running (): number {
    return this._running.size
  }

  /** Requests waiting now. */
  get waiting (): number {
    return REQUEST_CLASSES.reduce((sum, requestClass) => sum + this._queues[requestClass].size, 0)
  }

  /** Requests that may run at once now. */
  get limit (): number {
    return this._limit.limit
  }

  /** Takes a message and returns what is to be done. */
  handle (message: AdmissionMessage, now: Milliseconds): AdmissionEffect[] {
    switch (message.kind) {
      case 'enter': return this._onEnter(message.entry, now)
      case 'leave': return this._onLeave(message.id, message.outcome, now)
      case 'cancel': return this._onCancel(message.id, now)
      case 'wake': return this._advance(now)
    }
  }

  private _onEnter (entry: AdmissionEntry, now: Milliseconds): AdmissionEffect[] {
    if (now >= entry.deadline || this._wouldMiss(entry, now)) return [this._refuse(entry, 'deadline')]
    if (this.waiting >= this._settings.maximumWaiting) {
      const evicted = this._chooseEvicted(entry)
      if (evicted === entry) return [this._refuse(entry, 'queue')]
      this._queues[evicted.requestClass].remove(evicted)
      this._enqueue(entry)
      return [this._refuse(evicted, 'queue'), ...this._advance(now)]
    }
    this._enqueue(entry)
    return this._advance(now)
  }

  private _enqueue (entry: AdmissionEntry): void {
    this._nextLate = Math.min(this._nextLate, this._latestStart(entry))
    this._queues[entry.requestClass].add(entry, this._serviceOf(entry.requestKind))
  }

  private _onLeave (id: number, outcome: RunOutcome, now: Milliseconds): AdmissionEffect[] {
    const running = this._running.get(id)
    if (running === undefined) return []
    const service = now - running.admittedAt
    if (outcome === 'overloaded') this._limit.onOverloaded()
    if (outcome === 'answered') this._learn(running.entry.requestKind, service)
    this._forgetRunning(running.entry)
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
    if (running !== undefined) this._forgetRunning(running.entry)
    return this._advance(now)
  }

  private _learn (requestKind: string, service: Milliseconds): void {
    this._limit.onEnded(requestKind, service, this._running.size)
    const known = this._serviceByKind.get(requestKind) ?? service
    if (this._serviceByKind.size >= MAXIMUM_ESTIMATES) this._serviceByKind.clear()
    this._serviceByKind.set(requestKind, known + (service - known) * ESTIMATE_WEIGHT)
    this._meanService += (service - this._meanService) * ESTIMATE_WEIGHT
  }

  private _forgetRunning (entry: AdmissionEntry): void {
    this._running.delete(entry.id)
    const own = this._runningByWorkspace.get(entry.workspace) ?? 0
    if (own <= 1) this._runningByWorkspace.delete(entry.workspace)
    else this._runningByWorkspace.set(entry.workspace, own - 1)
  }

  /** Admits while there is room, and refuses those for whom it has become too late. */
  private _advance (now: Milliseconds): AdmissionEffect[] {
    const effects: AdmissionEffect[] = []
    for (;;) {
      const entry = this._takeNext()
      if (entry === undefined) break
      if (this._isTooLate(entry, now)) effects.push(this._refuse(entry, 'deadline'))
      else effects.push(this._admit(entry, now))
    }
    return [...effects, ...this._refuseLate(now)]
  }

  private _takeNext (): AdmissionEntry | undefined {
    const isLowestTurn = this._admissionsSinceLowest >= LOWEST_CLASS_TURN - 1
    const order = isLowestTurn ? [...REQUEST_CLASSES].reverse() : REQUEST_CLASSES
    for (const requestClass of order) {
      const share = isLowestTurn ? 1 : CLASS_SHARES[requestClass]
      if (this._running.size >= Math.max(1, Math.floor(this.limit * share))) continue
      const entry = this._queues[requestClass].takeNext(candidate => this._hasOwnRoom(candidate))
      if (entry === undefined) continue
      this._admissionsSinceLowest = isLowestTurn ? 0 : this._admissionsSinceLowest + 1
      return entry
    }
    return undefined
  }

  private _hasOwnRoom (entry: AdmissionEntry): boolean {
    return (this._runningByWorkspace.get(entry.workspace) ?? 0) < entry.maximumConcurrent
  }

  private _admit (entry: AdmissionEntry, now: Milliseconds): AdmissionEffect {
    this._running.set(entry.id, { entry, admittedAt: now })
    this._runningByWorkspace.set(entry.workspace, (this._runningByWorkspace.get(entry.workspace) ?? 0) + 1)
    return { kind: 'admit', id: entry.id }
  }

  /** Looks through the queues only when the earliest may be too late, so that most messages cost no walk. */
  private _refuseLate (now: Milliseconds): AdmissionEffect[] {
    const effects: AdmissionEffect[] = []
    if (now > this._nextLate) {
      this._nextLate = Infinity
      for (const queue of Object.values(this._queues)) effects.push(...this._refuseLateIn(queue, now))
    }
    if (this.waiting === 0) this._nextLate = Infinity
    else effects.push({ kind: 'wake-at', at: this._nextLate })
    return effects
  }

  private _refuseLateIn (queue: FairQueue, now: Milliseconds): AdmissionEffect[] {
    const effects: AdmissionEffect[] = []
    for (const entry of [...queue.entries()]) {
      if (this._isTooLate(entry, now)) {
        queue.remove(entry)
        effects.push(this._refuse(entry, 'deadline'))
      } else this._nextLate = Math.min(this._nextLate, this._latestStart(entry))
    }
    return effects
  }

  private _latestStart (entry: AdmissionEntry): Milliseconds {
    return entry.deadline - this._serviceOf(entry.requestKind)
  }

  private _isTooLate (entry: AdmissionEntry, now: Milliseconds): boolean {
    return now >= entry.deadline || now > this._latestStart(entry)
  }

  private _serviceOf (requestKind: string): Milliseconds {
    return this._serviceByKind.get(requestKind) ?? this._meanService
  }

  private _wouldMiss (entry: AdmissionEntry, now: Milliseconds): boolean {
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
    return entries * this._meanService / Math.max(1, this.limit)
  }

  /** The newest entry of the lowest class's longest line gives way, unless the new one's own line is as long. */
  private _chooseEvicted (entry: AdmissionEntry): AdmissionEntry {
    for (const requestClass of [...REQUEST_CLASSES].reverse()) {
      const queue = this._queues[requestClass]
      const candidate = queue.findNewestOfLongest()
      if (candidate === undefined) {
        if (requestClass === entry.requestClass) return entry
        continue
      }
      const isSameClass = requestClass === entry.requestClass
      const isOwnLineLong = queue.loadOf(entry.workspace) + 1 / entry.share >= queue.loadOf(candidate.workspace)
      return isSameClass && isOwnLineLong ? entry : candidate
    }
    return entry
  }

  private _refuse (entry: AdmissionEntry, reason: 'deadline' | 'queue'): AdmissionEffect {
    const drain = this._drainTime(this._countAhead(entry) + 1)
    const retryAfter = Math.min(LONGEST_RETRY_AFTER, Math.max(SHORTEST_RETRY_AFTER, drain))
    const problem = reason === 'deadline'
      ? 'The request would wait past its deadline'
      : 'Too many requests wait'
    const refusal = new RefusalError('overloaded', 429, true, problem, 'Come back after the time given',
      spreadRetryAfter(retryAfter, this._settings.random.next()))
    return { kind: 'refuse', id: entry.id, refusal }
  }
}
