/** Chooses the replica for a request. */
import { rankByRendezvous, type Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'
import type { CachedParts, PromptPart } from './cachedParts.js'
import type { FleetLoads } from './fleetLoads.js'
import type { ReplicaHealth } from './replicaHealth.js'

/** A prompt as the caller describes it. */
export interface Prompt {
  model: string
  inputTokens: number
  maximumOutputTokens: number
  parts: readonly PromptPart[]
}

/** What is known when a replica is chosen. */
export interface SelectionView {
  loads: FleetLoads
  health: ReplicaHealth
  cachedParts: CachedParts
  /** Data centre of this instance. */
  zone: string
  now: Milliseconds
}

/** A request that needs a replica. */
export interface SelectionRequest {
  candidates: readonly Replica[]
  /** Replicas that this request has already been sent to. */
  tried: ReadonlySet<string>
  prompt?: Prompt | undefined
  /** Tokens that each candidate's memory holds. */
  cacheTokens?: number | undefined
  /** Namespace of the cached parts. */
  salt: string
}

/** The choice, and what decided it, for the log. */
export interface Selection {
  replica: Replica
  /** Predicted milliseconds until the first byte of the answer. */
  cost: number
  heldTokens: number
}

/** Prompt tokens that a replica reads in a millisecond; from the users' deployment sheets (38.7 and 42.6). */
export const PREFILL_TOKENS_PER_MILLISECOND = 40
/** A decoding step is longer while more requests run; from the sheets, 0.012 to 0.029 ms, over some steps. */
const RUNNING_REQUEST_COST: Milliseconds = 1
/** Typical service time of a plain request, from the sheets. */
const PLAIN_REQUEST_COST: Milliseconds = 85
/** Expected wait until a running request frees its memory, for a request that needs all of it. */
const MEMORY_WAIT: Milliseconds = 400
/** A request that fails costs about its objective. */
const SUSPICION_COST: Milliseconds = 1_500
/** Two crossings between data centres, and the price of the bytes. */
const OTHER_ZONE_COST: Milliseconds = 6
/** Keeps the prompts of one group on few replicas while nothing is known of their caches. */
const AFFINITY_COST: Milliseconds = 12

/** The cheapest replica for the request, or undefined where none can be used. */
export function selectReplica (request: SelectionRequest, view: SelectionView): Selection | undefined {
  const usable = request.candidates.filter(({ id }) => !request.tried.has(id))
  const open = usable.filter(({ id }) => !view.health.isExcluded(id, view.now))
  // Where every replica was unreachable, trying one is better than refusing.
  const candidates = open.length > 0 ? open : usable
  const ranks = affinityRanks(request, candidates)
  let best: Selection | undefined
  for (const replica of candidates) {
    const selection = weigh(replica, request, view, ranks?.get(replica.id) ?? 0)
    if (best === undefined || selection.cost < best.cost) best = selection
  }
  return best
}

function affinityRanks ({ prompt }: SelectionRequest, candidates: readonly Replica[]): Map<string, number> | undefined {
  const group = groupPart(prompt)
  if (group === undefined) return undefined
  return new Map(rankByRendezvous(group, candidates.map(({ id }) => id)).map((id, rank) => [id, rank]))
}

/** The last part belongs to the request alone; the one before it is shared by the requests of one group. */
function groupPart (prompt: Prompt | undefined): string | undefined {
  if (prompt === undefined) return undefined
  return prompt.parts.at(-2)?.id ?? prompt.parts.at(-1)?.id
}

function weigh (replica: Replica, request: SelectionRequest, view: SelectionView, rank: number): Selection {
  const load = view.loads.of(replica.id, view.now)
  const suspicionCost = view.health.suspicion(replica.id, view.now) * SUSPICION_COST
  const zoneCost = replica.zone === view.zone ? 0 : OTHER_ZONE_COST
  const { prompt } = request
  if (prompt === undefined) {
    const busyCost = (load.requests / Math.max(1, replica.slots)) * PLAIN_REQUEST_COST
    return { replica, cost: busyCost + suspicionCost + zoneCost, heldTokens: 0 }
  }
  const heldTokens = view.cachedParts.heldTokens(replica.id, request.salt, prompt.parts)
  const freshTokens = Math.max(0, prompt.inputTokens - heldTokens)
  const prefillCost = (load.prefillTokens + freshTokens) / PREFILL_TOKENS_PER_MILLISECOND
  const needed = prompt.inputTokens + prompt.maximumOutputTokens
  const missing = request.cacheTokens === undefined ? 0 : Math.max(0, load.memoryTokens + needed - request.cacheTokens)
  const memoryCost = MEMORY_WAIT * missing / needed
  const slotCost = load.requests >= replica.slots ? MEMORY_WAIT : load.requests * RUNNING_REQUEST_COST
  const affinityCost = Math.min(rank, 3) * AFFINITY_COST
  return { replica, cost: prefillCost + memoryCost + slotCost + suspicionCost + zoneCost + affinityCost, heldTokens }
}
