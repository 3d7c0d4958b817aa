/**
 * Tells crashes of replicas from losses of this instance's own links. A connection that ends during a request shows neither. It
 * was a crash if the replica cannot be connected to just after another one of its service could be, or if its run has ended.
 */
import type { Milliseconds } from '../common/index.js'
import type { CrashReport } from './messages.js'

/** Without a verdict for this long, a loss no longer counts. */
const VERIFICATION_LIFETIME: Milliseconds = 10_000
const MAXIMUM_REPORTS_OF_RUN = 256

/** A replica whose crash is verified. */
export interface SuspectedReplica {
  id: string
  /** See `replicaRunOf`. */
  run: string
  service: string
}

/** A verified crash: what was lost, and when. */
export interface VerifiedCrash {
  report: CrashReport
  at: Milliseconds
}

interface Suspicion {
  replica: SuspectedReplica
  at: Milliseconds
  reports: CrashReport[]
  /** Whether a connection to the replica could not be opened since. */
  hasFailed: boolean
  /** Whether one is being opened, now that another replica of the service could be connected to. */
  isCompared: boolean
}

/** Losses of connections to replicas whose cause is not known yet. */
export class CrashVerification {
  private readonly _suspicions = new Map<string, Suspicion>()

  /** Adds a request that was lost with a connection; returns whether the replica has to be probed now. */
  add (replica: SuspectedReplica, report: CrashReport, now: Milliseconds): boolean {
    for (const [run, { at }] of this._suspicions) if (now - at > VERIFICATION_LIFETIME) this._suspicions.delete(run)
    const known = this._suspicions.get(replica.run)
    if (known === undefined) {
      this._suspicions.set(replica.run, { replica, at: now, reports: [report], hasFailed: false, isCompared: false })
      return true
    }
    if (known.reports.length < MAXIMUM_REPORTS_OF_RUN) known.reports.push(report)
    return false
  }

  /**
   * Records that a connection to a replica was opened. If none could be before, it may have restarted since.
   * @returns ids of the suspected replicas of the service to probe now
   */
  onConnected ({ run, service }: SuspectedReplica, now: Milliseconds): string[] {
    const own = this._suspicions.get(run)
    if (own?.hasFailed === false) this._suspicions.delete(run)
    const probes: string[] = []
    for (const suspicion of this._suspicions.values()) {
      const { replica, at, hasFailed, isCompared } = suspicion
      if (replica.run === run || replica.service !== service || at >= now || !hasFailed || isCompared) continue
      suspicion.isCompared = true
      probes.push(replica.id)
    }
    return probes
  }

  /**
   * Records that no connection to a replica could be opened.
   * @returns the crash if this verifies it; otherwise whether another replica of the service has to be probed now
   */
  onConnectFailed (run: string): VerifiedCrash[] | 'probe-another' | undefined {
    const suspicion = this._suspicions.get(run)
    if (suspicion === undefined) return undefined
    if (suspicion.isCompared) return this._take(run)
    const isFirst = !suspicion.hasFailed
    suspicion.hasFailed = true
    return isFirst ? 'probe-another' : undefined
  }

  /** Records that no replica of a service can be connected to, so that failed connections show nothing. */
  onCutOff (service: string): void {
    for (const suspicion of this._suspicions.values()) if (suspicion.replica.service === service) suspicion.isCompared = false
  }

  /** Records that a run of a replica has ended: it was removed, or restarted. */
  onRunEnded (run: string): VerifiedCrash[] {
    return this._take(run)
  }

  private _take (run: string): VerifiedCrash[] {
    const suspicion = this._suspicions.get(run)
    this._suspicions.delete(run)
    return suspicion?.reports.map(report => ({ report, at: suspicion.at })) ?? []
  }
}
