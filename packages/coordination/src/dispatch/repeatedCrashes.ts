/** Stops requests that crash the replicas that run them: the same request is counted across re-sends and instances. */
import type { Milliseconds } from '../common/index.js'

/** Crashes after which a request is no longer sent to any replica. */
const CRASHES_TO_STOP = 3
/** A crash that is older than this no longer counts. */
const CRASH_LIFETIME: Milliseconds = 60_000
/** Most requests that are remembered; the oldest go first. */
const MAXIMUM_REQUESTS = 1_000

/** One crash, named so that it counts once however often it is told. */
export interface CrashReport {
  fingerprint: string
  /** The run of the replica that ended. */
  replicaRun: string
}

interface Crashes {
  runs: Map<string, Milliseconds>
}

/** Holds the crashes that are known. */
export class RepeatedCrashes {
  private readonly _requests = new Map<string, Crashes>()

  /** Takes a crash seen here or told by another instance; whether it is news. */
  record ({ fingerprint, replicaRun }: CrashReport, now: Milliseconds): boolean {
    const crashes = this._requests.get(fingerprint) ?? { runs: new Map<string, Milliseconds>() }
    if (crashes.runs.has(replicaRun)) return false
    crashes.runs.set(replicaRun, now)
    this._requests.delete(fingerprint)
    this._requests.set(fingerprint, crashes)
    if (this._requests.size > MAXIMUM_REQUESTS) {
      const oldest = this._requests.keys().next()
      if (oldest.done !== true) this._requests.delete(oldest.value)
    }
    return true
  }

  /** How many replicas the request has crashed lately. */
  count (fingerprint: string, now: Milliseconds): number {
    const crashes = this._requests.get(fingerprint)
    if (crashes === undefined) return 0
    for (const [run, at] of crashes.runs) if (now - at > CRASH_LIFETIME) crashes.runs.delete(run)
    return crashes.runs.size
  }

  /** Whether the request may be sent to no replica any more. */
  isStopped (fingerprint: string, now: Milliseconds): boolean {
    return this.count(fingerprint, now) >= CRASHES_TO_STOP
  }
}
