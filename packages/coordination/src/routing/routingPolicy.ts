/** Chooses the replica with the least predicted time to first token. */
import type { Milliseconds } from '../common/index.js'
import type { LinkEstimates, ImportTable } from '../cache/index.js'
import type { ReplicaBelief } from './replicaTable.js'

const MILLISECONDS_PER_SECOND = 1_000
const QUEUED_REQUEST_COST: Milliseconds = 20

/** A prompt to place. */
export interface PlacementRequest {
  promptTokens: number
  blockKeys: readonly string[]
  blockTokens: number
  blockBytes: number
  prefillTokensPerSecond: number
  /** Blocks that some store holds, with the predicted speed of its link. */
  storedBlockKeys: ReadonlySet<string>
  linkBytesPerSecond: number
  /** For each stored block the names of the links that lead to a store holding it. */
  linksOfBlocks: ReadonlyMap<string, readonly string[]>
  links: LinkEstimates
  imports: ImportTable
  /** 0 weighs only time to first token, 1 weighs only the share of recomputed prompt work. */
  recomputeWeight: number
}

/** A block to import, and the link to import it over. */
export interface BlockImport {
  blockKey: string
  /** Empty where the import runs already and is to be waited for. */
  link: string
}

/** Where a prompt goes, and which blocks are imported there first. */
export interface Placement {
  replica: string
  /** Whole blocks at the prompt's start that the replica is believed to hold. */
  reusedBlocks: number
  importBlockKeys: string[]
  /** The imports with their links, where the policy chose them; in the order of the prompt. */
  imports?: BlockImport[]
  predictedFirstToken: Milliseconds
}

/** Decides placements. Variants are baselines and successors measured beside each other. */
export abstract class RoutingPolicy {
  /** The best placement among the replicas, or undefined where none accepts work. */
  abstract place (request: PlacementRequest, replicas: readonly ReplicaBelief[], now: Milliseconds): Placement | undefined
}

/** Predicts the queue and the cheaper of import and recompute for each replica, and takes the least. */
export class PredictedFirstTokenPolicy extends RoutingPolicy {
  override place (request: PlacementRequest, replicas: readonly ReplicaBelief[]): Placement | undefined {
    let best: Placement | undefined
    for (const replica of replicas) {
      if (!replica.acceptsWork) continue
      const candidate = predict(request, replica)
      if (best === undefined || candidate.predictedFirstToken < best.predictedFirstToken) best = candidate
    }
    return best
  }
}

function predict (request: PlacementRequest, replica: ReplicaBelief): Placement {
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

function queueTime (request: PlacementRequest, replica: ReplicaBelief): Milliseconds {
  const queuedTokens = (replica.load?.queuedPromptTokens ?? 0) + replica.ownTokensSinceReport
  const running = Math.max(replica.load?.runningRequests ?? 0, replica.ownRunning)
  return prefillTime(request, queuedTokens) + running * QUEUED_REQUEST_COST
}

function prefillTime (request: PlacementRequest, tokens: number): Milliseconds {
  return Math.max(0, tokens) / request.prefillTokensPerSecond * MILLISECONDS_PER_SECOND
}

/** Count of a prompt's leading blocks that are held. */
export function countLeadingBlocks (blockKeys: readonly string[], held: ReadonlySet<string>): number {
  let count = 0
  while (count < blockKeys.length && held.has(blockKeys[count] as string)) count += 1
  return count
}
