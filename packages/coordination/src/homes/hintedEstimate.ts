/** What a home's hint adds to the estimate of a replica's cached blocks. */
import type { Milliseconds } from '../common/index.js'
import type { ReplicaState } from '../routing/index.js'
import type { ReplicaHint } from './homeDirectory.js'

/** Longest delay of a replica's cache events; they may lack placements that are younger. */
const EVENT_LAG: Milliseconds = 1_000
/** Longest time for which a hint replaces missing cache events; blocks that were placed earlier are likely evicted. */
const HINT_LIFETIME: Milliseconds = 600_000

/**
 * Returns the estimate with the blocks of the hint as expected blocks. The replica's own events take precedence: the hint
 * counts only where events are missing, or where the placement is too recent to be in them, and never across a restart of
 * the replica. `blockKeys` are the prompt's, from the first on.
 */
export function withHint (
  estimate: ReplicaState, hint: ReplicaHint, blockKeys: readonly string[], now: Milliseconds
): ReplicaState {
  const isSameRun = estimate.incarnation === 0 || estimate.incarnation === hint.incarnation
  const isUsable = hint.age < (estimate.needsSnapshot ? HINT_LIFETIME : EVENT_LAG)
  if (!isSameRun || !isUsable) return estimate
  const expectedBlocks = new Map(estimate.expectedBlocks)
  for (const blockKey of blockKeys.slice(0, hint.blockCount)) expectedBlocks.set(blockKey, now + EVENT_LAG)
  return { ...estimate, expectedBlocks }
}
