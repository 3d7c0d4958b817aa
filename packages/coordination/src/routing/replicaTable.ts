/** One instance's view of each replica: its reported load and cache, and the requests of this instance in flight there. */
import type { CacheEventBatch, CacheSnapshot, LoadReport } from '../platform/index.js'
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'

/** Maximum delay of load reports and cache events: they may not include work that was sent less than this before. */
const REPORT_LAG: Milliseconds = 1_000
/** Maximum time for which a block that was sent to a replica counts as held without confirmation by a cache event. */
const EXPECTED_BLOCK_TIME: Milliseconds = 60_000
/** Maximum number of blocks of each replica that count as held without confirmation by a cache event. */
const MAXIMUM_EXPECTED_BLOCKS = 2_000

/** A prompt that this instance sent to a replica. */
export interface Dispatch {
  /** Prompt tokens that the replica has to compute, without those of cached or imported blocks. */
  computedTokens: number
  sentAt: Milliseconds
}

/** One instance's view of one replica. Times are points on the local monotonic clock. */
export interface ReplicaState {
  name: string
  dataCentre: string
  incarnation: number
  /** False from a failure until the next load report of the replica. */
  acceptsWork: boolean
  load: LoadReport | undefined
  loadReceivedAt: Milliseconds
  /** Prompt tokens that this instance sent since the last load report, cached ones included. */
  ownTokensSinceReport: number
  /** Requests of this instance in flight on the replica. */
  ownRunningRequests: number
  /** Dispatches of this instance that the last load report may not include, oldest first. */
  recentDispatches: Dispatch[]
  /** Blocks that this instance sent there, with the time until which they count as held without a cache event. */
  expectedBlocks: Map<string, Milliseconds>
  /** Sequence number of the last cache event or snapshot that was applied. */
  lastEventSequence: number
  /** True while cache events are known to be missing; `blockKeys` may then be incomplete or stale. */
  needsSnapshot: boolean
  /** Blocks that the replica holds according to its cache events. */
  blockKeys: Set<string>
}

/** Maintains the state of all configured replicas from their reports and the dispatches of this instance. */
export class ReplicaTable {
  private readonly _replicas = new Map<string, ReplicaState>()

  /** The state of all replicas; the entries are live, not copies. */
  get replicas (): readonly ReplicaState[] {
    return [...this._replicas.values()]
  }

  /** The live state of one replica, or undefined if it is not configured. */
  find (name: string): ReplicaState | undefined {
    return this._replicas.get(name)
  }

  /** Replaces the set of replicas; a new replica starts without load and blocks, a listed one keeps its state. */
  configure (replicas: ReadonlyArray<{ name: string, dataCentre: string }>): void {
    const names = new Set(replicas.map(replica => replica.name))
    for (const name of this._replicas.keys()) {
      if (!names.has(name)) this._replicas.delete(name)
    }
    for (const replica of replicas) {
      if (!this._replicas.has(replica.name)) this._replicas.set(replica.name, createState(replica.name, replica.dataCentre))
    }
  }

  /** Records a load report and accepts work again; reports of an old incarnation or out of order are dropped. */
  onLoadReport (name: string, report: LoadReport, now: Milliseconds): void {
    const replica = this._replicas.get(name)
    if (replica === undefined || report.incarnation < replica.incarnation) return
    this._updateIncarnation(replica, report.incarnation)
    if (replica.load !== undefined && report.sequence <= replica.load.sequence) return
    replica.load = report
    replica.loadReceivedAt = now
    replica.ownTokensSinceReport = 0
    replica.recentDispatches = replica.recentDispatches.filter(dispatch => dispatch.sentAt > now - REPORT_LAG)
    replica.acceptsWork = true
  }

  /** Applies cache events. After a gap in the sequence the blocks are unreliable until a snapshot is applied. */
  onCacheEvents (name: string, batch: CacheEventBatch): void {
    const replica = this._replicas.get(name)
    if (replica === undefined || batch.incarnation < replica.incarnation) return
    this._updateIncarnation(replica, batch.incarnation)
    for (const event of batch.events) {
      if (event.sequence <= replica.lastEventSequence) continue
      if (event.sequence !== replica.lastEventSequence + 1) replica.needsSnapshot = true
      replica.lastEventSequence = event.sequence
      if (event.change === 'stored') replica.blockKeys.add(event.blockKey)
      else removeBlock(replica, event.blockKey)
    }
    if (batch.lastSequence > replica.lastEventSequence) replica.needsSnapshot = true
  }

  /** Applies a cache snapshot, unless later events have been applied already. */
  onCacheSnapshot (name: string, snapshot: CacheSnapshot): void {
    const replica = this._replicas.get(name)
    if (replica === undefined || snapshot.incarnation < replica.incarnation) return
    this._updateIncarnation(replica, snapshot.incarnation)
    if (snapshot.sequence < replica.lastEventSequence) return
    replica.blockKeys = new Set(snapshot.blockKeys)
    replica.lastEventSequence = snapshot.sequence
    replica.needsSnapshot = false
  }

  /**
   * Records a dispatch of this instance.
   * @param promptTokens all tokens of the prompt
   * @param computedTokens tokens that the replica has to compute
   * @param blockKeys blocks of the prompt, which the replica is expected to hold from now on
   */
  onDispatched (
    name: string, promptTokens: number, computedTokens: number, blockKeys: readonly string[], now: Milliseconds
  ): void {
    const replica = this._replicas.get(name)
    if (replica === undefined) return
    replica.ownRunningRequests += 1
    replica.ownTokensSinceReport += promptTokens
    replica.recentDispatches.push({ computedTokens, sentAt: now })
    for (const blockKey of blockKeys) {
      replica.expectedBlocks.delete(blockKey)
      replica.expectedBlocks.set(blockKey, now + EXPECTED_BLOCK_TIME)
    }
    while (replica.expectedBlocks.size > MAXIMUM_EXPECTED_BLOCKS) {
      replica.expectedBlocks.delete(replica.expectedBlocks.keys().next().value as string)
    }
  }

  /** Records the end of a dispatch. After `REPORT_LAG` only cache events, which lag, decide whether the blocks are held. */
  onFinished (name: string, blockKeys: readonly string[], now: Milliseconds): void {
    const replica = this._replicas.get(name)
    if (replica === undefined) return
    replica.ownRunningRequests = Math.max(0, replica.ownRunningRequests - 1)
    for (const blockKey of blockKeys) {
      const expectedUntil = replica.expectedBlocks.get(blockKey)
      if (expectedUntil !== undefined) replica.expectedBlocks.set(blockKey, Math.min(expectedUntil, now + REPORT_LAG))
    }
  }

  /** Stops sending new work to a replica until its next load report. */
  onFailed (name: string): void {
    const replica = this._replicas.get(name)
    if (replica === undefined) return
    replica.acceptsWork = false
    replica.expectedBlocks.clear()
  }

  private _updateIncarnation (replica: ReplicaState, incarnation: number): void {
    if (incarnation === replica.incarnation) return
    replica.incarnation = incarnation
    replica.load = undefined
    replica.recentDispatches = []
    replica.expectedBlocks = new Map()
    replica.blockKeys = new Set()
    replica.lastEventSequence = 0
    replica.needsSnapshot = true
  }
}

/** Whether a replica is likely to hold a block, by its cache events or because the block was sent there recently. */
export function isLikelyHeld (replica: ReplicaState, blockKey: string, now: Milliseconds): boolean {
  return replica.blockKeys.has(blockKey) || (replica.expectedBlocks.get(blockKey) ?? 0) > now
}

/**
 * Estimates the prompt tokens that wait on a replica: those of the last report and of later dispatches, less the tokens
 * processed since. A dispatch is processed only from the time when it was sent: idle replicas report rarely, and idle time
 * before a dispatch must not count as processing time for it.
 */
export function queuedPromptTokens (replica: ReplicaState, prefillTokensPerSecond: number, now: Milliseconds): number {
  const tokensPerMillisecond = prefillTokensPerSecond / MILLISECONDS_PER_SECOND
  let queuedTokens = replica.load?.queuedPromptTokens ?? 0
  let processedUntil = replica.loadReceivedAt
  for (const { computedTokens, sentAt } of replica.recentDispatches) {
    const sentAfter = Math.max(0, sentAt - processedUntil)
    queuedTokens = Math.max(0, queuedTokens - sentAfter * tokensPerMillisecond) + computedTokens
    processedUntil += sentAfter
  }
  return Math.max(0, queuedTokens - (now - processedUntil) * tokensPerMillisecond)
}

function removeBlock (replica: ReplicaState, blockKey: string): void {
  replica.blockKeys.delete(blockKey)
  replica.expectedBlocks.delete(blockKey)
}

function createState (name: string, dataCentre: string): ReplicaState {
  return {
    name,
    dataCentre,
    incarnation: 0,
    acceptsWork: true,
    load: undefined,
    loadReceivedAt: 0,
    ownTokensSinceReport: 0,
    ownRunningRequests: 0,
    recentDispatches: [],
    expectedBlocks: new Map(),
    lastEventSequence: 0,
    needsSnapshot: true,
    blockKeys: new Set()
  }
}
