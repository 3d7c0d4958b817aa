/** What one instance believes about each replica: its load, its cache, and what this instance has in flight there. */
import type { CacheEventBatch, CacheSnapshot, LoadReport } from '../platform/index.js'
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'

/** Longest time that a load report is taken to have been on its way: work sent less long before may not be in it. */
const REPORT_LAG: Milliseconds = 1_000
/** Longest time for which a block that was sent to a replica counts as held there before its events tell. */
const EXPECTED_BLOCK_TIME: Milliseconds = 60_000
/** Most blocks for each replica that count as held before their events tell. */
const MAXIMUM_EXPECTED_BLOCKS = 2_000

/** A prompt that this instance sent to a replica. */
export interface Dispatch {
  /** Prompt tokens that the replica has to compute. */
  computedTokens: number
  sentAt: Milliseconds
}

/** Belief about one replica. */
export interface ReplicaBelief {
  name: string
  dataCentre: string
  incarnation: number
  /** False from the first sign of leaving or failure until the replica proves itself again. */
  acceptsWork: boolean
  load: LoadReport | undefined
  loadReadAt: Milliseconds
  /** Prompt tokens that this instance sent since the last load report. */
  ownTokensSinceReport: number
  ownRunning: number
  /** Own dispatches that the last load report may not include. */
  recentDispatches: Dispatch[]
  /** Blocks that this instance sent there, and until when they count as held. */
  expectedBlocks: Map<string, Milliseconds>
  lastEventSequence: number
  /** True while events are known to be missing; the blocks are then only a guess. */
  needsSnapshot: boolean
  blockKeys: Set<string>
}

/** Holds the beliefs about all replicas. */
export class ReplicaTable {
  private readonly _beliefs = new Map<string, ReplicaBelief>()

  /** All beliefs. */
  get beliefs (): readonly ReplicaBelief[] {
    return [...this._beliefs.values()]
  }

  /** The belief about one replica. */
  find (name: string): ReplicaBelief | undefined {
    return this._beliefs.get(name)
  }

  /** Keeps just the replicas listed; a replica not known before starts without load and blocks. */
  keepOnly (replicas: ReadonlyArray<{ name: string, dataCentre: string }>): void {
    const names = new Set(replicas.map(replica => replica.name))
    for (const name of this._beliefs.keys()) {
      if (!names.has(name)) this._beliefs.delete(name)
    }
    for (const replica of replicas) {
      if (!this._beliefs.has(replica.name)) this._beliefs.set(replica.name, emptyBelief(replica.name, replica.dataCentre))
    }
  }

  /** Takes a load report; reports of an old incarnation or out of order are dropped. */
  onLoadReport (name: string, report: LoadReport, now: Milliseconds): void {
    const belief = this._beliefs.get(name)
    if (belief === undefined || report.incarnation < belief.incarnation) return
    this._noticeIncarnation(belief, report.incarnation)
    if (belief.load !== undefined && report.sequence <= belief.load.sequence) return
    belief.load = report
    belief.loadReadAt = now
    belief.ownTokensSinceReport = 0
    belief.recentDispatches = belief.recentDispatches.filter(dispatch => dispatch.sentAt > now - REPORT_LAG)
    belief.acceptsWork = true
  }

  /** Takes cache events. A gap makes the blocks doubtful until a snapshot. */
  onCacheEvents (name: string, batch: CacheEventBatch): void {
    const belief = this._beliefs.get(name)
    if (belief === undefined || batch.incarnation < belief.incarnation) return
    this._noticeIncarnation(belief, batch.incarnation)
    for (const event of batch.events) {
      if (event.sequence <= belief.lastEventSequence) continue
      if (event.sequence !== belief.lastEventSequence + 1) belief.needsSnapshot = true
      belief.lastEventSequence = event.sequence
      if (event.change === 'stored') belief.blockKeys.add(event.blockKey)
      else forgetBlock(belief, event.blockKey)
    }
    if (batch.lastSequence > belief.lastEventSequence) belief.needsSnapshot = true
  }

  /** Takes a snapshot, unless events past it have been seen. */
  onCacheSnapshot (name: string, snapshot: CacheSnapshot): void {
    const belief = this._beliefs.get(name)
    if (belief === undefined || snapshot.incarnation < belief.incarnation) return
    this._noticeIncarnation(belief, snapshot.incarnation)
    if (snapshot.sequence < belief.lastEventSequence) return
    belief.blockKeys = new Set(snapshot.blockKeys)
    belief.lastEventSequence = snapshot.sequence
    belief.needsSnapshot = false
  }

  /** Counts a dispatch of this instance's own: all the prompt's tokens, those to be computed, and its blocks. */
  onDispatched (
    name: string, promptTokens: number, computedTokens: number, blockKeys: readonly string[], now: Milliseconds
  ): void {
    const belief = this._beliefs.get(name)
    if (belief === undefined) return
    belief.ownRunning += 1
    belief.ownTokensSinceReport += promptTokens
    belief.recentDispatches.push({ computedTokens, sentAt: now })
    for (const blockKey of blockKeys) {
      belief.expectedBlocks.delete(blockKey)
      belief.expectedBlocks.set(blockKey, now + EXPECTED_BLOCK_TIME)
    }
    while (belief.expectedBlocks.size > MAXIMUM_EXPECTED_BLOCKS) {
      belief.expectedBlocks.delete(belief.expectedBlocks.keys().next().value as string)
    }
  }

  /** Counts the end of a dispatch. From now on the replica's events, which lag, tell whether it holds the blocks. */
  onFinished (name: string, blockKeys: readonly string[], now: Milliseconds): void {
    const belief = this._beliefs.get(name)
    if (belief === undefined) return
    belief.ownRunning = Math.max(0, belief.ownRunning - 1)
    for (const blockKey of blockKeys) {
      const until = belief.expectedBlocks.get(blockKey)
      if (until !== undefined) belief.expectedBlocks.set(blockKey, Math.min(until, now + REPORT_LAG))
    }
  }

  /** Stops new work to a replica until its next load report. */
  onFailed (name: string): void {
    const belief = this._beliefs.get(name)
    if (belief === undefined) return
    belief.acceptsWork = false
    belief.expectedBlocks.clear()
  }

  private _noticeIncarnation (belief: ReplicaBelief, incarnation: number): void {
    if (incarnation === belief.incarnation) return
    belief.incarnation = incarnation
    belief.load = undefined
    belief.recentDispatches = []
    belief.expectedBlocks = new Map()
    belief.blockKeys = new Set()
    belief.lastEventSequence = 0
    belief.needsSnapshot = true
  }
}

/** Whether a replica is believed to hold a block, by its events or because the block was sent there lately. */
export function isBelievedHeld (belief: ReplicaBelief, blockKey: string, now: Milliseconds): boolean {
  return belief.blockKeys.has(blockKey) || (belief.expectedBlocks.get(blockKey) ?? 0) > now
}

/**
 * Prompt tokens that wait on a replica: the last report and what was sent since, each worked off from its own time on. An
 * idle replica reports seldom, and the time that it was idle works nothing off of what is sent to it later.
 */
export function queuedPromptTokens (belief: ReplicaBelief, prefillTokensPerSecond: number, now: Milliseconds): number {
  const tokensPerMillisecond = prefillTokensPerSecond / MILLISECONDS_PER_SECOND
  let queuedTokens = belief.load?.queuedPromptTokens ?? 0
  let workedUntil = belief.loadReadAt
  for (const { computedTokens, sentAt } of belief.recentDispatches) {
    const sentAfter = Math.max(0, sentAt - workedUntil)
    queuedTokens = Math.max(0, queuedTokens - sentAfter * tokensPerMillisecond) + computedTokens
    workedUntil += sentAfter
  }
  return Math.max(0, queuedTokens - (now - workedUntil) * tokensPerMillisecond)
}

function forgetBlock (belief: ReplicaBelief, blockKey: string): void {
  belief.blockKeys.delete(blockKey)
  belief.expectedBlocks.delete(blockKey)
}

function emptyBelief (name: string, dataCentre: string): ReplicaBelief {
  return {
    name,
    dataCentre,
    incarnation: 0,
    acceptsWork: true,
    load: undefined,
    loadReadAt: 0,
    ownTokensSinceReport: 0,
    ownRunning: 0,
    recentDispatches: [],
    expectedBlocks: new Map(),
    lastEventSequence: 0,
    needsSnapshot: true,
    blockKeys: new Set()
  }
}
