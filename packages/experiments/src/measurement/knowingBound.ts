/** The bound of an all-knowing policy: the least share of prompt work that any policy could have recomputed. */
import type { TraceRequest } from './trace.js'
import type { Workload } from './workload.js'

/**
 * Share of prompt tokens that must be computed when all tiers are one cache that frees the block whose next use is
 * furthest away, every block can be reused on every replica, and nothing is ever in the wrong place.
 */
export function boundOfRecomputedShare (workload: Workload, trace: readonly TraceRequest[]): number {
  const counted = leastRecomputedTokens(workload, trace).filter(({ request }) => request.at >= workload.warmUp)
  const promptTokens = counted.reduce((sum, { request }) => sum + request.promptTokens, 0)
  return counted.reduce((sum, { recomputedTokens }) => sum + recomputedTokens, 0) / promptTokens
}

/** Prompt tokens that the all-knowing policy computes for a request. */
export interface LeastRecompute {
  request: TraceRequest
  recomputedTokens: number
}

/** What the all-knowing policy computes for each request, the warm-up included. */
export function leastRecomputedTokens (workload: Workload, trace: readonly TraceRequest[]): LeastRecompute[] {
  const capacity = poolCapacity(workload)
  const nextUses = findNextUses(trace)
  const held = new Map<string, number>()
  return trace.map((request, index) => {
    const missing = request.blockKeys.findIndex(blockKey => !held.has(blockKey))
    const reused = missing === -1 ? request.blockKeys.length : missing
    const next = nextUses[index] as number[]
    request.blockKeys.forEach((blockKey, block) => { hold(held, blockKey, next[block] as number) })
    if (held.size > capacity) freeFurthest(held, capacity)
    return { request, recomputedTokens: request.promptTokens - reused * workload.blockTokens }
  })
}

/**
 * The same for one pool as large that cannot know the future and frees the least recently used block: what is left when
 * placement, imports and exports are never to blame.
 */
export function pooledRecomputedTokens (workload: Workload, trace: readonly TraceRequest[]): LeastRecompute[] {
  const capacity = poolCapacity(workload)
  const held = new Set<string>()
  return trace.map(request => {
    const missing = request.blockKeys.findIndex(blockKey => !held.has(blockKey))
    const reused = missing === -1 ? request.blockKeys.length : missing
    for (const blockKey of request.blockKeys) {
      held.delete(blockKey)
      held.add(blockKey)
    }
    while (held.size > capacity) held.delete(held.values().next().value as string)
    return { request, recomputedTokens: request.promptTokens - reused * workload.blockTokens }
  })
}

/** Blocks that all tiers hold together. */
function poolCapacity (workload: Workload): number {
  return workload.replicas * workload.engineCacheBlocks +
    workload.stores * (workload.storeMemoryBlocks + workload.storeDiskBlocks)
}

/** For each request and block, the index of the next request that uses it. */
function findNextUses (trace: readonly TraceRequest[]): number[][] {
  const upcoming = new Map<string, number>()
  const nextUses: number[][] = new Array<number[]>(trace.length)
  for (let index = trace.length - 1; index >= 0; index--) {
    const { blockKeys } = trace[index] as TraceRequest
    nextUses[index] = blockKeys.map(blockKey => upcoming.get(blockKey) ?? Infinity)
    for (const blockKey of blockKeys) upcoming.set(blockKey, index)
  }
  return nextUses
}

/** A block that is never used again need not be held. */
function hold (held: Map<string, number>, blockKey: string, nextUse: number): void {
  if (nextUse === Infinity) held.delete(blockKey)
  else held.set(blockKey, nextUse)
}

function freeFurthest (held: Map<string, number>, capacity: number): void {
  const byNextUse = [...held].sort((left, right) => right[1] - left[1])
  for (const [blockKey] of byNextUse.slice(0, held.size - capacity)) held.delete(blockKey)
}
