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

interface RemoteLoads {
  heardAt: Milliseconds
  byReplica: ReadonlyMap<string, ReplicaLoad>
}

/** Sums loads over the fleet. */
export class FleetLoads {
  private readonly _local = new Map<string, ReplicaLoad>()
  private readonly _remote = new Map<string, RemoteLoads>()
  private readonly _total = new Map<string, ReplicaLoad>()

  /** Counts work of this instance in (or, with negative amounts, out). */
  add (replicaId: string, change: ReplicaLoad): void {
    addTo(this._local, replicaId, change, 1)
    addTo(this._total, replicaId, change, 1)
  }

  /** Takes what another instance told of its own load, which replaces what it told before. */
  hear (instance: string, byReplica: ReadonlyMap<string, ReplicaLoad>, now: Milliseconds): void {
    this._forget(instance)
    this._remote.set(instance, { heardAt: now, byReplica })
    for (const [replicaId, load] of byReplica) addTo(this._total, replicaId, load, 1)
  }

  /** Drops what instances told that have fallen silent. */
  expire (now: Milliseconds): void {
    for (const [name, { heardAt }] of this._remote) if (now - heardAt > REMOTE_LOAD_LIFETIME) this._forget(name)
  }

  /** This instance's own load, to be told to others. */
  get local (): ReadonlyMap<string, ReplicaLoad> {
    return this._local
  }

  /** The load of a replica over all instances that were heard lately. */
  of (replicaId: string): Readonly<ReplicaLoad> {
    return this._total.get(replicaId) ?? NO_LOAD
  }

  private _forget (instance: string): void {
    const remote = this._remote.get(instance)
    if (remote === undefined) return
    this._remote.delete(instance)
    for (const [replicaId, load] of remote.byReplica) addTo(this._total, replicaId, load, -1)
  }
}

const NO_LOAD: Readonly<ReplicaLoad> = { requests: 0, prefillTokens: 0, memoryTokens: 0 }

function addTo (loads: Map<string, ReplicaLoad>, replicaId: string, change: ReplicaLoad, sign: 1 | -1): void {
  const load = loads.get(replicaId) ?? { ...NO_LOAD }
  load.requests += sign * change.requests
  load.prefillTokens += sign * change.prefillTokens
  load.memoryTokens += sign * change.memoryTokens
  if (load.requests === 0 && load.prefillTokens === 0 && load.memoryTokens === 0) loads.delete(replicaId)
  else loads.set(replicaId, load)
}
