/** Policies that choose the replica for a prompt, and the baseline policy: the least predicted time to first token. */
import type { Milliseconds } from '../common/index.js'
import type { LinkEstimates, ImportTable } from '../cache/index.js'
import type { ReplicaState } from './replicaTable.js'

const MILLISECONDS_PER_SECOND = 1_000
/** Delay that each running request adds to the predicted wait of a prompt. */
const RUNNING_REQUEST_COST: Milliseconds = 20

/** A prompt to place. */
export interface PlacementRequest {
  promptTokens: number
  /** Keys of the prompt's whole blocks, in order. */
  blockKeys: readonly string[]
  /** Tokens in one block. */
  blockTokens: number
  /** Size of one block in a cache. */
  blockBytes: number
  prefillTokensPerSecond: number
  /** Blocks that at least one store holds. */
  storedBlockKeys: ReadonlySet<string>
  /** Predicted speed of the link over which stored blocks are imported. */
  linkBytesPerSecond: number
  /** For each stored block, the names of the links to the stores that hold it. */
  linksOfBlocks: ReadonlyMap<string, readonly string[]>
  links: LinkEstimates
  imports: ImportTable
  /** Weight from 0 (minimize only the time to first token) to 1 (minimize only the recompute time). */
  recomputeWeight: number
}

/** A block to import, and the link to import it over. */
export interface BlockImport {
  blockKey: string
  /** Empty if the import is already in progress and only needs to be waited for. */
  link: string
}

/** The replica chosen for a prompt, and the blocks to import there first. */
export interface Placement {
  replica: string
  /** Leading whole blocks of the prompt that the replica is likely to hold. */
  reusedBlocks: number
  importBlockKeys: string[]
  /** The imports with their links, in prompt order; undefined if the policy does not choose links. */
  imports?: BlockImport[]
  predictedFirstToken: Milliseconds
}

/** Decides placements. Experiments compare its implementations on the same requests. */
export abstract class RoutingPolicy {
  /** The best placement among the replicas, or undefined if none accepts work. */
  abstract place (request: PlacementRequest, replicas: readonly ReplicaState[], now: Milliseconds): Placement | undefined
}

/**
 * Predicts the queue time and the cheaper of importing and recomputing for each replica, and chooses the lowest sum. It
 * counts only blocks that cache events report, and imports all stored blocks or none.
 */
export class PredictedFirstTokenPolicy extends RoutingPolicy {
  override place (request: PlacementRequest, replicas: readonly ReplicaState[]): Placement | undefined {
    let best: Placement | undefined
    for (const replica of replicas) {
      if (!replica.acceptsWork) continue
      const candidate = predict(request, replica)
      if (best === undefined || candidate.predictedFirstToken < best.predictedFirstToken) best = candidate
    }
    return best
  }
}

function predict (request: PlacementRequest, replica: ReplicaState): Placement {
  const reusedBlocks = countLeadingBlocks(request.blockKeys, replica.blockKeys)
  const missing = request.blockKeys.slice(reusedBlocks)
  const importable = missing.slice(0, countLeadingBlocks(missing, request.storedBlockKeys))
  const importTime = importable.length * request.blockBytes / request.linkBytesPerSecond * MILLISECONDS_PER_SECOND
  const recomputeTime = prefillTime(request, importable.length * request.blockTokens)
  const importBlockKeys = importTime < recomputeTime ? importable : []
  const remainingTokens = request.promptTokens - (reusedBlocks + importBlockKeys.length) * request.blockTokens
  const predictedFirstToken = queueTime(request, replica) +
    (importBlockKeys.length > 0 ? importTime : 0) +
    prefillTime(request, remainingTokens)
  return { replica: replica.name, reusedBlocks, importBlockKeys, predictedFirstToken }
}

function queueTime (request: PlacementRequest, replica: ReplicaState): Milliseconds {
  const queuedTokens = (replica.load?.queuedPromptTokens ?? 0) + replica.ownTokensSinceReport
  const running = Math.max(replica.load?.runningRequests ?? 0, replica.ownRunningRequests)
  return prefillTime(request, queuedTokens) + running * RUNNING_REQUEST_COST
}

function prefillTime (request: PlacementRequest, tokens: number): Milliseconds {
  return Math.max(0, tokens) / request.prefillTokensPerSecond * MILLISECONDS_PER_SECOND
}

/** Number of leading blocks of a prompt that are held. */
export function countLeadingBlocks (blockKeys: readonly string[], held: ReadonlySet<string>): number {
  let count = 0
  while (count < blockKeys.length && held.has(blockKeys[count] as string)) count += 1
  return count
}
