/** What one instance believes about each replica: its load, its cache, and what this instance has in flight there. */
import type { CacheEventBatch, CacheSnapshot, LoadReport } from '../platform/index.js'
import type { Milliseconds } from '../common/index.js'

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
      else belief.blockKeys.delete(event.blockKey)
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

  /** Counts a dispatch of this instance's own. */
  onDispatched (name: string, promptTokens: number): void {
    const belief = this._beliefs.get(name)
    if (belief === undefined) return
    belief.ownRunning += 1
    belief.ownTokensSinceReport += promptTokens
  }

  /** Counts the end of a dispatch. */
  onFinished (name: string): void {
    const belief = this._beliefs.get(name)
    if (belief !== undefined) belief.ownRunning = Math.max(0, belief.ownRunning - 1)
  }

  /** Stops new work to a replica until its next load report. */
  onFailed (name: string): void {
    const belief = this._beliefs.get(name)
    if (belief !== undefined) belief.acceptsWork = false
  }

  private _noticeIncarnation (belief: ReplicaBelief, incarnation: number): void {
    if (incarnation === belief.incarnation) return
    belief.incarnation = incarnation
    belief.load = undefined
    belief.blockKeys = new Set()
    belief.lastEventSequence = 0
    belief.needsSnapshot = true
  }
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
    lastEventSequence: 0,
    needsSnapshot: true,
    blockKeys: new Set()
  }
}
