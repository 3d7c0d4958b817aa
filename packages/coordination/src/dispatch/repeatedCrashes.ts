/**
 * Blocks requests that crash the replicas that run them. Crashes are counted by request fingerprint, over retries and over all
 * instances. A block is also written to the store, for instances that start later or were partitioned while its crashes were
 * reported.
 */
import type { Milliseconds } from '../common/index.js'

/** Number of crashes after which a request is blocked. */
const CRASHES_TO_BLOCK = 3
/** Crashes and blocks expire after this time. */
export const CRASH_LIFETIME: Milliseconds = 60_000
/** A crash is repeated in heartbeats for this long, since heartbeats may be lost. */
const UPDATE_LIFETIME: Milliseconds = 3_000
/** Maximum number of requests retained; the one whose last crash is oldest is evicted first. */
const MAXIMUM_REQUESTS = 1_000

/** One crash. Fingerprint and run identify it, so that it counts once however often it is reported. */
export interface CrashReport {
  fingerprint: string
  /** The replica's run that crashed; see `replicaRunOf`. */
  replicaRun: string
}

/** A block listed in the store. */
export interface ListedBlock {
  fingerprint: string
  /** Store revision of the record. */
  revision: number
}

interface CrashingRequest {
  /** Time at which each crash was recorded, by run of a replica. */
  runs: Map<string, Milliseconds>
  /** Whether this instance itself observed one of the crashes. */
  isObservedLocally: boolean
  /** Whether the store has the block. */
  isWritten: boolean
}

/** Crashes recorded by this instance and its peers, and the blocks that follow from them. */
export class RepeatedCrashes {
  private readonly _requests = new Map<string, CrashingRequest>()
  /** Blocks listed in the store, with the time at which each revision was first read. */
  private _listed = new Map<string, { revision: number, at: Milliseconds }>()
  /** Blocks to remove from the store, since their requests have completed. */
  private _lifted = new Set<string>()
  private _updates: { report: CrashReport, at: Milliseconds }[] = []

  /** Records a crash that this instance observed, to be reported to its peers. */
  record (report: CrashReport, now: Milliseconds): void {
    if (this.receive(report, now)) this._updates.push({ report, at: now })
    const request = this._requests.get(report.fingerprint)
    if (request !== undefined) request.isObservedLocally = true
  }

  /** Records a crash reported by another instance; returns whether it is new. */
  receive ({ fingerprint, replicaRun }: CrashReport, now: Milliseconds): boolean {
    const request = this._requests.get(fingerprint) ?? { runs: new Map(), isObservedLocally: false, isWritten: false }
    if (request.runs.has(replicaRun)) return false
    request.runs.set(replicaRun, now)
    this._requests.delete(fingerprint)
    this._requests.set(fingerprint, request)
    if (this._requests.size > MAXIMUM_REQUESTS) {
      const oldest = this._requests.keys().next()
      if (oldest.done !== true) this._requests.delete(oldest.value)
    }
    return true
  }

  /** Clears the crashes of a request that completed, and so did not cause them. Lifts its block. */
  clear (fingerprint: string): void {
    const listed = this._listed.get(fingerprint)
    if (listed !== undefined || this._requests.get(fingerprint)?.isWritten === true) this._lifted.add(fingerprint)
    if (listed !== undefined) listed.at = -Infinity
    this._requests.delete(fingerprint)
  }

  /** Replaces the listed blocks with those read from the store. A revision listed before keeps the time of its first read. */
  applyBlocks (stops: readonly ListedBlock[], now: Milliseconds): void {
    const before = this._listed
    this._listed = new Map(stops.map(({ fingerprint, revision }) => {
      const known = before.get(fingerprint)
      return [fingerprint, known?.revision === revision ? known : { revision, at: now }]
    }))
  }

  /** Fingerprints of the blocks that this instance has to write to the store: those of which it observed a crash itself. */
  unwrittenBlocks (now: Milliseconds): string[] {
    const observed = [...this._requests].filter(([, { isObservedLocally, isWritten }]) => isObservedLocally && !isWritten)
    return observed.flatMap(([fingerprint]) => this._hasReachedLimit(fingerprint, now) ? fingerprint : [])
  }

  /** Records that a block is in the store; it is lifted again if its request completed in the meantime. */
  onBlockWritten (fingerprint: string): void {
    const request = this._requests.get(fingerprint)
    if (request === undefined) this._lifted.add(fingerprint)
    else request.isWritten = true
  }

  /** Returns the fingerprints of blocks to remove from the store. Each is returned once. */
  takeLiftedBlocks (): string[] {
    const lifted = [...this._lifted]
    this._lifted.clear()
    return lifted
  }

  /** Crashes to report to the other instances now. */
  updates (now: Milliseconds): CrashReport[] {
    this._updates = this._updates.filter(({ at }) => now - at < UPDATE_LIFETIME)
    return this._updates.map(({ report }) => report)
  }

  /** Whether the request is blocked and must not be sent to any replica. */
  isBlocked (fingerprint: string, now: Milliseconds): boolean {
    const listed = this._listed.get(fingerprint)
    return (listed !== undefined && now - listed.at <= CRASH_LIFETIME) || this._hasReachedLimit(fingerprint, now)
  }

  private _hasReachedLimit (fingerprint: string, now: Milliseconds): boolean {
    const runs = this._requests.get(fingerprint)?.runs
    if (runs === undefined) return false
    for (const [run, at] of runs) if (now - at > CRASH_LIFETIME) runs.delete(run)
    return runs.size >= CRASHES_TO_BLOCK
  }
}
