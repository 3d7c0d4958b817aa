/**
 * Costs of a service's replicas as learned from its answers, within bounds, in place of constants that were measured on one
 * deployment. Load pattern: demand and servers are uneven, and a wrong wait for memory or a slot piles requests up at replicas
 * that free little, or refuses them in vain.
 */
import type { Milliseconds } from '../common/index.js'
import type { ReplicaLoad } from './fleetLoads.js'
import type { ReplicaSlowdowns } from './replicaSlowdowns.js'
import type { ServiceRoom } from './serviceRoom.js'
import type { SlotLimits } from './slotLimits.js'

/** Bounds in tokens a millisecond: 10,000 tokens in runs of 10 s, and 1 million in runs of 5 s. */
const MINIMUM_TOKENS_FREED = 1
const MAXIMUM_TOKENS_FREED = 200
const MINIMUM_SLOT_WAIT: Milliseconds = 2
const MAXIMUM_SLOT_WAIT: Milliseconds = 2_000

/** Learned costs of the replicas of one service; undefined where too few answers are known. */
export class LearnedCosts {
  constructor (
    private readonly _service: string,
    private readonly _room: ServiceRoom,
    private readonly _slowdowns: ReplicaSlowdowns,
    private readonly _slotLimits: SlotLimits
  ) {}

  /** Mean time that a request takes. */
  get meanRun (): Milliseconds | undefined {
    return this._room.meanRun
  }

  /** Requests without a prompt that a replica with this load has too many with one more. */
  missingSlots ({ requests }: Readonly<ReplicaLoad>, slots: number): number {
    return Math.max(0, requests + 1 - this._slotLimits.limitOf(this._service, slots))
  }

  /** Memory that a replica with this load frees in a millisecond, in tokens. */
  tokensFreed ({ memoryTokens }: Readonly<ReplicaLoad>): number | undefined {
    const { meanRun } = this._room
    return meanRun === undefined ? undefined : clamp(memoryTokens / meanRun, MINIMUM_TOKENS_FREED, MAXIMUM_TOKENS_FREED)
  }

  /** Expected wait for a slot at a replica whose slots are all taken: until the first of its requests ends. */
  slotWait ({ requests }: Readonly<ReplicaLoad>): Milliseconds | undefined {
    const { meanRun } = this._room
    return meanRun === undefined ? undefined : clamp(meanRun / Math.max(1, requests), MINIMUM_SLOT_WAIT, MAXIMUM_SLOT_WAIT)
  }

  /** By how much times at the replica are multiplied at the moment. */
  slowdown (replicaId: string, now: Milliseconds): number {
    return this._slowdowns.of(replicaId, now)
  }
}

function clamp (value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value))
}
