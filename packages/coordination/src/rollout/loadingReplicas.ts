/** Replicas that are loading new weights, as reported to all instances by the one that orders them to. */
import type { Milliseconds } from '../common/index.js'
import type { LoadedReplica } from './rolloutPlanner.js'

/** A report expires after this time. In a large fleet an instance sends one each second. */
const LIFETIME: Milliseconds = 1_500

interface InstanceReport {
  receivedAt: Milliseconds
  loading: ReadonlySet<string>
  loaded: readonly LoadedReplica[]
}

/** The last report of each instance. */
export class LoadingReplicas {
  private readonly _byInstance = new Map<string, InstanceReport>()

  /** Records a report of an instance, which replaces its previous one. */
  record (instance: string, loading: readonly string[], loaded: readonly LoadedReplica[], now: Milliseconds): void {
    if (loading.length === 0 && loaded.length === 0) this._byInstance.delete(instance)
    else this._byInstance.set(instance, { receivedAt: now, loading: new Set(loading), loaded })
  }

  /** The last report of an instance; empty once it has expired. */
  reportedBy (instance: string, now: Milliseconds): { loading: string[], loaded: readonly LoadedReplica[] } {
    const report = this._byInstance.get(instance)
    return report === undefined || now - report.receivedAt > LIFETIME
      ? { loading: [], loaded: [] }
      : { loading: [...report.loading], loaded: report.loaded }
  }

  /** Whether a current report says that the replica is loading, and so refuses requests. */
  has (replicaId: string, now: Milliseconds): boolean {
    for (const { receivedAt, loading } of this._byInstance.values()) {
      if (now - receivedAt <= LIFETIME && loading.has(replicaId)) return true
    }
    return false
  }
}
