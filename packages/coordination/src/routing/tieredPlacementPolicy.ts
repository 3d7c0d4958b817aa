/**
 * Chooses a replica and a cut of the prompt: blocks before the cut are reused or imported, the rest is computed. Imports
 * continue while the prompt waits in the queue, and share each link with the transfers in flight on it.
 */
import { ImportForecast } from '../cache/index.js'
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'
import { isLikelyHeld, queuedPromptTokens, type ReplicaState } from './replicaTable.js'
import { RoutingPolicy, type BlockImport, type Placement, type PlacementRequest } from './routingPolicy.js'

/** Delay that each running request adds to the predicted wait of a prompt. */
const RUNNING_REQUEST_COST: Milliseconds = 10
/** Weight of the recompute time in the score for the delay that it causes to later prompts. */
const RECOMPUTE_LOAD_WEIGHT = 0.25

/** The policy for cache stores with memory and disk tiers behind shared links. */
export class TieredPlacementPolicy extends RoutingPolicy {
  override place (
    request: PlacementRequest, replicas: readonly ReplicaState[], now: Milliseconds
  ): Placement | undefined {
    const forecast = new ImportForecast(request.blockKeys, request.linksOfBlocks, request.links, request.blockBytes, now)
    let best: ScoredCut | undefined
    for (const replica of replicas) {
      if (!replica.acceptsWork) continue
      const candidate = bestCutOn(request, replica, forecast, now)
      if (best === undefined || candidate.score < best.score) best = candidate
    }
    return best === undefined ? undefined : toPlacement(request, best, forecast, now)
  }
}

/** A replica and a cut: the number of leading blocks that it holds, and of the following blocks to import. */
interface ScoredCut {
  replica: ReplicaState
  reusedBlocks: number
  importedBlocks: number
  predictedFirstToken: Milliseconds
  /** Lower is better. */
  score: number
}

/** The best cut on a replica, of all cuts up to the first block that no store holds. */
function bestCutOn (
  request: PlacementRequest, replica: ReplicaState, forecast: ImportForecast, now: Milliseconds
): ScoredCut {
  const reusedBlocks = countHeldBlocks(request.blockKeys, replica, now)
  const queue = queueTime(request, replica, now)
  let importTime: Milliseconds = 0
  let best = scoreCut(request, replica, reusedBlocks, 0, queue)
  forecast.reset()
  for (let block = reusedBlocks; block < request.blockKeys.length; block++) {
    const endsAfter = timeUntilImported(request, replica, block, forecast, now)
    if (endsAfter === undefined) break
    importTime = Math.max(importTime, endsAfter)
    const candidate = scoreCut(request, replica, reusedBlocks, block + 1 - reusedBlocks, Math.max(queue, importTime))
    if (candidate.score < best.score) best = candidate
  }
  return best
}

/** Time until a block is imported, undefined if no store holds it. A running import is reused and adds no load to the link. */
function timeUntilImported (
  request: PlacementRequest, replica: ReplicaState, block: number, forecast: ImportForecast, now: Milliseconds
): Milliseconds | undefined {
  const running = request.imports.remainingTime(replica.name, request.blockKeys[block] as string, now)
  return running ?? forecast.plan(block)?.endsAfter
}

function scoreCut (
  request: PlacementRequest, replica: ReplicaState, reusedBlocks: number, importedBlocks: number, wait: Milliseconds
): ScoredCut {
  const readyTokens = (reusedBlocks + importedBlocks) * request.blockTokens
  const recomputeTime = prefillTime(request, request.promptTokens - readyTokens)
  const predictedFirstToken = wait + recomputeTime
  const { recomputeWeight } = request
  const score = (1 - recomputeWeight) * predictedFirstToken + (recomputeWeight + RECOMPUTE_LOAD_WEIGHT) * recomputeTime
  return { replica, reusedBlocks, importedBlocks, predictedFirstToken, score }
}

function toPlacement (request: PlacementRequest, cut: ScoredCut, forecast: ImportForecast, now: Milliseconds): Placement {
  const { replica, reusedBlocks, importedBlocks, predictedFirstToken } = cut
  const imports: BlockImport[] = []
  forecast.reset()
  for (let block = reusedBlocks; block < reusedBlocks + importedBlocks; block++) {
    const blockKey = request.blockKeys[block] as string
    const isRunning = request.imports.remainingTime(replica.name, blockKey, now) !== undefined
    imports.push({ blockKey, link: isRunning ? '' : forecast.plan(block)?.link ?? '' })
  }
  const importBlockKeys = imports.map(({ blockKey }) => blockKey)
  return { replica: replica.name, reusedBlocks, importBlockKeys, imports, predictedFirstToken }
}

function countHeldBlocks (blockKeys: readonly string[], replica: ReplicaState, now: Milliseconds): number {
  let count = 0
  while (count < blockKeys.length && isLikelyHeld(replica, blockKeys[count] as string, now)) count += 1
  return count
}

function queueTime (request: PlacementRequest, replica: ReplicaState, now: Milliseconds): Milliseconds {
  const running = Math.max(replica.load?.runningRequests ?? 0, replica.ownRunningRequests)
  const queued = prefillTime(request, queuedPromptTokens(replica, request.prefillTokensPerSecond, now))
  return queued + running * RUNNING_REQUEST_COST
}

function prefillTime (request: PlacementRequest, tokens: number): Milliseconds {
  return Math.max(0, tokens) / request.prefillTokensPerSecond * MILLISECONDS_PER_SECOND
}
