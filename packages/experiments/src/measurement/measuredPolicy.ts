/** The policies that are replayed beside each other: the project's own, its first version, and the usual baselines. */
import {
  firstByRendezvous, PredictedFirstTokenPolicy, TieredPlacementPolicy,
  type Milliseconds, type Placement, type PlacementRequest, type ReplicaState, type RoutingPolicy
} from '@wasabihead/coordination'
import { FirstVersionTransfers, NoTransfers, TieredTransfers, type TransferFleet, type Transfers } from './transfers.js'

/** A policy as the replay drives it. */
export abstract class MeasuredPolicy {
  /** Name for the command line. */
  abstract readonly name: string
  /** Whether blocks are exported to the stores and imported from them. */
  abstract readonly usesStores: boolean

  /** Chooses a replica, and the blocks to import. */
  abstract place (request: PlacementRequest, replicas: readonly ReplicaState[], now: Milliseconds): Placement | undefined

  /** How blocks move under this policy. */
  createTransfers (fleet: TransferFleet): Transfers {
    return new NoTransfers(fleet)
  }
}

/** Each replica in turn. */
export class RoundRobinPolicy extends MeasuredPolicy {
  override readonly name = 'round-robin'
  override readonly usesStores = false
  private _next = 0

  override place (_request: PlacementRequest, replicas: readonly ReplicaState[]): Placement | undefined {
    const replica = replicas[this._next++ % Math.max(1, replicas.length)]
    return replica === undefined ? undefined : plainPlacement(replica)
  }
}

/** The replica with the fewest prompt tokens waiting. */
export class LeastLoadedPolicy extends MeasuredPolicy {
  override readonly name = 'least-loaded'
  override readonly usesStores = false

  override place (_request: PlacementRequest, replicas: readonly ReplicaState[]): Placement | undefined {
    let best = replicas[0]
    for (const replica of replicas) {
      if (best !== undefined && waitingTokens(replica) < waitingTokens(best)) best = replica
    }
    return best === undefined ? undefined : plainPlacement(best)
  }
}

/** The replica that the prompt's first block ranks first, whatever its load. */
export class PromptAffinityPolicy extends MeasuredPolicy {
  override readonly name = 'prompt-affinity'
  override readonly usesStores = false

  override place (request: PlacementRequest, replicas: readonly ReplicaState[]): Placement | undefined {
    const first = firstByRendezvous(request.blockKeys[0] ?? '', replicas.map(({ name }) => name))
    const replica = replicas.find(({ name }) => name === first)
    return replica === undefined ? undefined : plainPlacement(replica)
  }
}

/** A policy of the library, with the stores. */
export class LibraryPolicy extends MeasuredPolicy {
  override readonly usesStores = true

  constructor (
    override readonly name: string,
    private readonly _policy: RoutingPolicy,
    private readonly _transfers: new (fleet: TransferFleet) => Transfers
  ) {
    super()
  }

  override place (request: PlacementRequest, replicas: readonly ReplicaState[], now: Milliseconds): Placement | undefined {
    return this._policy.place(request, replicas, now)
  }

  override createTransfers (fleet: TransferFleet): Transfers {
    return new this._transfers(fleet)
  }
}

/** New policies, each without state, in the order of the table. */
export function createPolicies (): MeasuredPolicy[] {
  return [
    new RoundRobinPolicy(),
    new LeastLoadedPolicy(),
    new PromptAffinityPolicy(),
    new LibraryPolicy('first-version', new PredictedFirstTokenPolicy(), FirstVersionTransfers),
    new LibraryPolicy('tiered', new TieredPlacementPolicy(), TieredTransfers)
  ]
}

function plainPlacement (replica: ReplicaState): Placement {
  return { replica: replica.name, reusedBlocks: 0, importBlockKeys: [], predictedFirstToken: 0 }
}

function waitingTokens (replica: ReplicaState): number {
  return (replica.load?.queuedPromptTokens ?? 0) + replica.ownTokensSinceReport
}
