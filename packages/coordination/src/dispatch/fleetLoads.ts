/** Tracks the load of each replica: the work sent by this instance, plus the loads last reported by other instances. */
import type { Milliseconds } from '../common/index.js'

/** Load of one replica. */
export interface ReplicaLoad {
  /** Requests in flight, until they are answered in full. */
  requests: number
  /** Prompt tokens of requests whose first event has not been received yet. */
  prefillTokens: number
  /** Memory, in tokens, that the requests in flight use or will use. */
  memoryTokens: number
}

/** Loads reported by an instance expire after this time. */
const REMOTE_LOAD_LIFETIME: Milliseconds = 1_500

interface RemoteLoads {
  receivedAt: Milliseconds
  byReplica: ReadonlyMap<string, ReplicaLoad>
}

/** Sums the loads of replicas over all instances. */
export class FleetLoads {
  private readonly _local = new Map<string, ReplicaLoad>()
  private readonly _remote = new Map<string, RemoteLoads>()
  private readonly _total = new Map<string, ReplicaLoad>()

  /** Adds to the load that this instance puts on a replica; negative amounts subtract. */
  add (replicaId: string, change: ReplicaLoad): void {
    addTo(this._local, replicaId, change, 1)
    addTo(this._total, replicaId, change, 1)
  }

  /** Applies the loads reported by another instance, replacing its previous report. */
  receive (instance: string, byReplica: ReadonlyMap<string, ReplicaLoad>, now: Milliseconds): void {
    this._remove(instance)
    this._remote.set(instance, { receivedAt: now, byReplica })
    for (const [replicaId, load] of byReplica) addTo(this._total, replicaId, load, 1)
  }

  /** Removes the loads of instances that have not reported within the lifetime. */
  expire (now: Milliseconds): void {
    for (const [name, { receivedAt }] of this._remote) if (now - receivedAt > REMOTE_LOAD_LIFETIME) this._remove(name)
  }

  /** Loads that this instance puts on replicas, to be sent to its peers. */
  get local (): ReadonlyMap<string, ReplicaLoad> {
    return this._local
  }

  /** Total load of a replica over this instance and all others whose report has not expired. */
  of (replicaId: string): Readonly<ReplicaLoad> {
    return this._total.get(replicaId) ?? NO_LOAD
  }

  private _remove (instance: string): void {
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
