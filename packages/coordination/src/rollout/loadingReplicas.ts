/** Replicas that load new weights, as the instance that orders them tells the others. */
import type { Milliseconds } from '../common/index.js'

/** What was told longer ago no longer counts. */
const LIFETIME: Milliseconds = 1_000

/** Holds what each instance told last. */
export class LoadingReplicas {
  private readonly _byInstance = new Map<string, { heardAt: Milliseconds, replicaIds: ReadonlySet<string> }>()

  /** Takes what an instance tells, which replaces what it told before. */
  hear (instance: string, replicaIds: readonly string[], now: Milliseconds): void {
    if (replicaIds.length === 0) this._byInstance.delete(instance)
    else this._byInstance.set(instance, { heardAt: now, replicaIds: new Set(replicaIds) })
  }

  /** What an instance told last. */
  toldBy (instance: string, now: Milliseconds): string[] {
    const told = this._byInstance.get(instance)
    return told === undefined || now - told.heardAt > LIFETIME ? [] : [...told.replicaIds]
  }

  /** Whether the replica is loading, so that it refuses requests. */
  has (replicaId: string, now: Milliseconds): boolean {
    for (const { heardAt, replicaIds } of this._byInstance.values()) {
      if (now - heardAt <= LIFETIME && replicaIds.has(replicaId)) return true
    }
    return false
  }
}
