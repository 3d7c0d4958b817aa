/** Stops requests that crash the replicas that run them: the same request is counted across re-sends and instances. */
import type { Milliseconds } from '../common/index.js'

/** Crashes after which a request is no longer sent to any replica. */
const CRASHES_TO_STOP = 3
/** A crash that is older than this no longer counts. */
const CRASH_LIFETIME: Milliseconds = 60_000
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

/** Holds the crashes that are known. */
export class RepeatedCrashes {
  /** When each run of a replica ended, by request. */
  private readonly _requests = new Map<string, Map<string, Milliseconds>>()
  private _news: { report: CrashReport, at: Milliseconds }[] = []

  /** A replica ended under the request here. */
  record (report: CrashReport, now: Milliseconds): void {
    if (this.hear(report, now)) this._news.push({ report, at: now })
  }

  /** Another instance told of a crash; whether it is news. */
  hear ({ fingerprint, replicaRun }: CrashReport, now: Milliseconds): boolean {
    const runs = this._requests.get(fingerprint) ?? new Map<string, Milliseconds>()
    if (runs.has(replicaRun)) return false
    runs.set(replicaRun, now)
    this._requests.delete(fingerprint)
    this._requests.set(fingerprint, runs)
    if (this._requests.size > MAXIMUM_REQUESTS) {
      const oldest = this._requests.keys().next()
      if (oldest.done !== true) this._requests.delete(oldest.value)
    }
    return true
  }

  /** The request ran whole, so that it was not what ended those replicas. */
  clear (fingerprint: string): void {
    this._requests.delete(fingerprint)
  }

  /** What the other instances should be told now. */
  news (now: Milliseconds): CrashReport[] {
    this._news = this._news.filter(({ at }) => now - at < NEWS_LIFETIME)
    return this._news.map(({ report }) => report)
  }

  /** Whether the request may be sent to no replica any more. */
  isStopped (fingerprint: string, now: Milliseconds): boolean {
    const runs = this._requests.get(fingerprint)
    if (runs === undefined) return false
    for (const [run, at] of runs) if (now - at > CRASH_LIFETIME) runs.delete(run)
    return runs.size >= CRASHES_TO_STOP
  }
}
