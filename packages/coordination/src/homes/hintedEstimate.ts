/** What a home's hint adds to the belief about a replica. */
import type { Milliseconds } from '../common/index.js'
import type { ReplicaBelief } from '../routing/index.js'
import type { ReplicaHint } from './homeDirectory.js'

/** Longest time that a replica's cache events are on their way; a younger placement may not be in them. */
const EVENT_LAG: Milliseconds = 1_000
/** Longest time for which a hint stands in for missing cache events; blocks placed earlier are likely evicted. */
const HINT_LIFETIME: Milliseconds = 600_000

/**
 * The belief with the blocks of the hint expected. The replica's own events outrank the hint: it counts only where events
 * are missing, or where the placement is too young to be in them, and never across a restart of the replica.
 */
export function withHint (
  belief: ReplicaBelief, hint: ReplicaHint, blockKeys: readonly string[], now: Milliseconds
): ReplicaBelief {
  const isSameRun = belief.incarnation === 0 || belief.incarnation === hint.incarnation
  const isUsable = hint.age < (belief.needsSnapshot ? HINT_LIFETIME : EVENT_LAG)
  if (!isSameRun || !isUsable) return belief
  const expectedBlocks = new Map(belief.expectedBlocks)
  for (const blockKey of blockKeys.slice(0, hint.blockCount)) expectedBlocks.set(blockKey, now + EVENT_LAG)
  return { ...belief, expectedBlocks }
}
