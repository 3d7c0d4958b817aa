/** Replicas that load new weights, as the instance that orders them tells the others. */
import type { Milliseconds } from '../common/index.js'
import type { LoadedReplica } from './rolloutPlanner.js'

/** What was told longer ago no longer counts: an instance of a large fleet tells once in a second. */
const LIFETIME: Milliseconds = 1_500

interface Told {
  heardAt: Milliseconds
  loading: ReadonlySet<string>
  loaded: readonly LoadedReplica[]
}

/** Holds what each instance told last. */
export class LoadingReplicas {
  private readonly _byInstance = new Map<string, Told>()

  /** Takes what an instance tells, which replaces what it told before. */
  hear (instance: string, loading: readonly string[], loaded: readonly LoadedReplica[], now: Milliseconds): void {
    if (loading.length === 0 && loaded.length === 0) this._byInstance.delete(instance)
    else this._byInstance.set(instance, { heardAt: now, loading: new Set(loading), loaded })
  }

  /** What an instance told last. */
  toldBy (instance: string, now: Milliseconds): { loading: string[], loaded: readonly LoadedReplica[] } {
    const told = this._byInstance.get(instance)
    return told === undefined || now - told.heardAt > LIFETIME
      ? { loading: [], loaded: [] }
      : { loading: [...told.loading], loaded: told.loaded }
  }

  /** Whether the replica is loading, so that it refuses requests. */
  has (replicaId: string, now: Milliseconds): boolean {
    for (const { heardAt, loading } of this._byInstance.values()) {
      if (now - heardAt <= LIFETIME && loading.has(replicaId)) return true
    }
    return false
  }
}
