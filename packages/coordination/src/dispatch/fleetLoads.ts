/** The load of each replica: what this instance has sent to it, and what other instances last told of theirs. */
import type { Milliseconds } from '../common/index.js'

/** What one replica is doing. */
export interface ReplicaLoad {
  /** Requests sent and not yet answered in full. */
  requests: number
  /** Prompt tokens of requests whose first event has not come yet. */
  prefillTokens: number
  /** Tokens of memory that the running requests hold or will hold. */
  memoryTokens: number
}

/** Loads that an instance told, older than this, are no longer counted. */
const REMOTE_LOAD_LIFETIME: Milliseconds = 1_500

const NO_LOAD: ReplicaLoad = { requests: 0, prefillTokens: 0, memoryTokens: 0 }

interface RemoteLoads {
  heardAt: Milliseconds
  byReplica: Map<string, ReplicaLoad>
}

/** Sums loads over the fleet. */
export class FleetLoads {
  private readonly _local = new Map<string, ReplicaLoad>()
  private readonly _remote = new Map<string, RemoteLoads>()

  /** Counts work of this instance in (or, with negative amounts, out). */
  add (replicaId: string, change: ReplicaLoad): void {
    const load = this._local.get(replicaId) ?? { ...NO_LOAD }
    load.requests += change.requests
    load.prefillTokens += change.prefillTokens
    load.memoryTokens += change.memoryTokens
    if (load.requests <= 0 && load.prefillTokens <= 0 && load.memoryTokens <= 0) this._local.delete(replicaId)
    else this._local.set(replicaId, load)
  }

  /** Takes what another instance told of its own load, which replaces what it told before. */
  hear (instance: string, loads: ReadonlyMap<string, ReplicaLoad>, now: Milliseconds): void {
    this._remote.set(instance, { heardAt: now, byReplica: new Map(loads) })
  }

  /** This instance's own load, to be told to others. */
  get local (): ReadonlyMap<string, ReplicaLoad> {
    return this._local
  }

  /** The load of a replica over all instances that are heard. */
  of (replicaId: string, now: Milliseconds): ReplicaLoad {
    const total = { ...(this._local.get(replicaId) ?? NO_LOAD) }
    for (const [instance, { heardAt, byReplica }] of this._remote) {
      if (now - heardAt > REMOTE_LOAD_LIFETIME) {
        this._remote.delete(instance)
        continue
      }
      const load = byReplica.get(replicaId)
      if (load === undefined) continue
      total.requests += load.requests
      total.prefillTokens += load.prefillTokens
      total.memoryTokens += load.memoryTokens
    }
    return total
  }
}
