/**
 * Stops requests that crash the replicas that run them: the same request is counted across re-sends and instances. A stop is
 * kept in the store for instances that start later, or were cut off while its crashes were told.
 */
import type { Milliseconds } from '../common/index.js'

/** Crashes after which a request is no longer sent to any replica. */
const CRASHES_TO_STOP = 3
/** A crash, or a stop, that is older than this no longer counts. */
export const CRASH_LIFETIME: Milliseconds = 60_000
/** A crash is told to the other instances for this long, since heartbeats may be lost. */
const NEWS_LIFETIME: Milliseconds = 3_000
/** Most requests that are remembered; the oldest go first. */
const MAXIMUM_REQUESTS = 1_000

/** One crash, named so that it counts once however often it is told. */
export interface CrashReport {
  fingerprint: string
  /** The run of the replica that ended. */
  replicaRun: string
}

/** A stop as the store has it. */
export interface ListedStop {
  fingerprint: string
  /** The revision of its record. */
  revision: number
}

interface CrashingRequest {
  /** When each run of a replica ended. */
  runs: Map<string, Milliseconds>
  /** Whether this instance saw one of them end. */
  isSeenHere: boolean
  isWritten: boolean
}

/** Holds the crashes that are known. */
export class RepeatedCrashes {
  private readonly _requests = new Map<string, CrashingRequest>()
  /** Stops that the store lists, and when they were read first. */
  private _listed = new Map<string, { revision: number, at: Milliseconds }>()
  /** Stops in the store whose requests have run whole since. */
  private _lifted = new Set<string>()
  private _news: { report: CrashReport, at: Milliseconds }[] = []

  /** A replica ended under the request here. */
  record (report: CrashReport, now: Milliseconds): void {
    if (this.hear(report, now)) this._news.push({ report, at: now })
    const request = this._requests.get(report.fingerprint)
    if (request !== undefined) request.isSeenHere = true
  }

  /** Another instance told of a crash; whether it is news. */
  hear ({ fingerprint, replicaRun }: CrashReport, now: Milliseconds): boolean {
    const request = this._requests.get(fingerprint) ?? { runs: new Map(), isSeenHere: false, isWritten: false }
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

  /** The request ran whole, so that it was not what ended those replicas. */
  clear (fingerprint: string): void {
    const listed = this._listed.get(fingerprint)
    if (listed !== undefined || this._requests.get(fingerprint)?.isWritten === true) this._lifted.add(fingerprint)
    if (listed !== undefined) listed.at = -Infinity
    this._requests.delete(fingerprint)
  }

  /** Takes the stops that the store lists. */
  hearStops (stops: readonly ListedStop[], now: Milliseconds): void {
    const before = this._listed
    this._listed = new Map(stops.map(({ fingerprint, revision }) => {
      const known = before.get(fingerprint)
      return [fingerprint, known?.revision === revision ? known : { revision, at: now }]
    }))
  }

  /** Stops that this instance has to write to the store: those of which it saw a crash. */
  unwrittenStops (now: Milliseconds): string[] {
    const seen = [...this._requests].filter(([, { isSeenHere, isWritten }]) => isSeenHere && !isWritten)
    return seen.flatMap(([fingerprint]) => this._isCounted(fingerprint, now) ? fingerprint : [])
  }

  /** The store has the stop. */
  onStopWritten (fingerprint: string): void {
    const request = this._requests.get(fingerprint)
    if (request === undefined) this._lifted.add(fingerprint)
    else request.isWritten = true
  }

  /** Stops to remove from the store, each given once. */
  takeLiftedStops (): string[] {
    const lifted = [...this._lifted]
    this._lifted.clear()
    return lifted
  }

  /** What the other instances should be told now. */
  news (now: Milliseconds): CrashReport[] {
    this._news = this._news.filter(({ at }) => now - at < NEWS_LIFETIME)
    return this._news.map(({ report }) => report)
  }

  /** Whether the request may be sent to no replica any more. */
  isStopped (fingerprint: string, now: Milliseconds): boolean {
    const listed = this._listed.get(fingerprint)
    return (listed !== undefined && now - listed.at <= CRASH_LIFETIME) || this._isCounted(fingerprint, now)
  }

  private _isCounted (fingerprint: string, now: Milliseconds): boolean {
    const runs = this._requests.get(fingerprint)?.runs
    if (runs === undefined) return false
    for (const [run, at] of runs) if (now - at > CRASH_LIFETIME) runs.delete(run)
    return runs.size >= CRASHES_TO_STOP
  }
}
