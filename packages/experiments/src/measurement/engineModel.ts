/** Cost model of an engine: prefill in chunks by priority, decoding beside it, and a bounded least-recently-used cache. */
import { MILLISECONDS_PER_SECOND, type CacheEvent, type LoadReport, type Milliseconds } from '@wasabihead/coordination'
import type { VirtualTime } from '../simulation/index.js'
import type { TraceRequest } from './trace.js'

const TIME_PER_OUTPUT_TOKEN: Milliseconds = 25
/** Share by which each decoding request slows the prefill beside it. */
const DECODE_SLOWDOWN = 0.01
const MAXIMUM_EVENTS = 4_000

/** A request in the engine's hands. */
export interface EngineTask {
  request: TraceRequest
  /** The prefill begins with this many leading blocks held. */
  onPrefillStarted: (heldBlocks: number) => void
  /** Told the tokens that were computed, and the time that it took. */
  onFirstToken: (recomputedTokens: number, computeTime: Milliseconds) => void
  onFinished: () => void
  /** The engine was lost before the first token. */
  onCut: () => void
}

interface QueuedTask extends EngineTask {
  /** Undefined until the prefill begins and the cache is looked at. */
  remainingTokens: number | undefined
  recomputedTokens: number
  computeTime: Milliseconds
}

/** One engine replica. */
export class EngineModel {
  incarnation = 1
  isLost = false
  /** Time spent on prefill. */
  busyTime: Milliseconds = 0
  /** Told after each change of load or cache. */
  onChanged: () => void = () => {}
  private _held = new Set<string>()
  private _events: CacheEvent[] = []
  private _eventSequence = 0
  private _loadSequence = 0
  private _decoding = 0
  private _isBusy = false
  private _queue: QueuedTask[] = []

  constructor (
    readonly name: string,
    readonly dataCentre: string,
    private readonly _time: VirtualTime,
    private readonly _cacheBlocks: number,
    private readonly _blockTokens: number,
    private readonly _prefillTokensPerSecond: number
  ) {}

  /** Sequence number of the last cache event. */
  get eventSequence (): number {
    return this._eventSequence
  }

  /** Whether a block is held. */
  holds (blockKey: string): boolean {
    return this._held.has(blockKey)
  }

  /** All blocks held. */
  get blockKeys (): string[] {
    return [...this._held]
  }

  /** The load as it is now. */
  report (): LoadReport {
    const queuedPromptTokens = this._queue.reduce((sum, task) => sum + (task.remainingTokens ?? this._missingTokens(task)), 0)
    return {
      incarnation: this.incarnation,
      sequence: ++this._loadSequence,
      runningRequests: this._decoding,
      queuedRequests: this._queue.length,
      queuedPromptTokens
    }
  }

  /** Cache events after a sequence number, as far as they are kept. */
  eventsAfter (sequence: number): CacheEvent[] {
    const first = this._events[0]?.sequence ?? 0
    return this._events.slice(Math.max(0, sequence + 1 - first))
  }

  /** Takes a request. */
  enqueue (task: EngineTask): void {
    this._queue.push({ ...task, remainingTokens: undefined, recomputedTokens: 0, computeTime: 0 })
    if (!this._isBusy) this._runChunk()
    this.onChanged()
  }

  /** Holds blocks as just used, and evicts the least recently used. */
  hold (blockKeys: readonly string[]): void {
    for (const blockKey of blockKeys) {
      const isNew = !this._held.delete(blockKey)
      this._held.add(blockKey)
      if (isNew) this._record('stored', blockKey)
    }
    while (this._held.size > this._cacheBlocks) {
      const oldest = this._held.values().next().value as string
      this._held.delete(oldest)
      this._record('removed', oldest)
    }
  }

  /** Forgets the cache and what runs; gives the requests that were cut. */
  restart (): EngineTask[] {
    const cut = this._queue
    this._queue = []
    this._held = new Set()
    this._events = []
    this._eventSequence = 0
    this._loadSequence = 0
    this.incarnation += 1
    this.onChanged()
    return cut
  }

  private _runChunk (): void {
    const task = this._nextTask()
    this._isBusy = task !== undefined
    if (task === undefined) return
    if (task.remainingTokens === undefined) {
      task.remainingTokens = this._missingTokens(task)
      task.recomputedTokens = task.remainingTokens
      const heldBlocks = this._countLeading(task.request.blockKeys)
      this.hold(task.request.blockKeys.slice(0, heldBlocks))
      task.onPrefillStarted(heldBlocks)
    }
    const tokens = Math.min(this._blockTokens, task.remainingTokens)
    const slowdown = 1 + this._decoding * DECODE_SLOWDOWN
    const { incarnation } = this
    const chunkTime = tokens / this._prefillTokensPerSecond * slowdown * MILLISECONDS_PER_SECOND
    this.busyTime += chunkTime
    task.computeTime += chunkTime
    this._time.after(chunkTime, () => {
      if (incarnation === this.incarnation) this._finishChunk(task, tokens)
      this._runChunk()
    })
  }

  private _finishChunk (task: QueuedTask, tokens: number): void {
    task.remainingTokens = (task.remainingTokens ?? 0) - tokens
    if (task.remainingTokens > 0) return
    this._queue.splice(this._queue.indexOf(task), 1)
    this.hold(task.request.blockKeys)
    task.onFirstToken(task.recomputedTokens, task.computeTime)
    this._decoding += 1
    this._time.after(task.request.outputTokens * TIME_PER_OUTPUT_TOKEN, () => {
      this._decoding -= 1
      task.onFinished()
      this.onChanged()
    })
    this.onChanged()
  }

  private _nextTask (): QueuedTask | undefined {
    let best = this._queue[0]
    for (const task of this._queue) {
      if (task.request.priority < (best?.request.priority ?? 0)) best = task
    }
    return best
  }

  private _missingTokens (task: EngineTask): number {
    return task.request.promptTokens - this._countLeading(task.request.blockKeys) * this._blockTokens
  }

  private _countLeading (blockKeys: readonly string[]): number {
    const missing = blockKeys.findIndex(blockKey => !this._held.has(blockKey))
    return missing === -1 ? blockKeys.length : missing
  }

  private _record (change: 'stored' | 'removed', blockKey: string): void {
    this._eventSequence += 1
    this._events.push({ sequence: this._eventSequence, change, blockKey })
    if (this._events.length > 2 * MAXIMUM_EVENTS) this._events = this._events.slice(-MAXIMUM_EVENTS)
  }
}
