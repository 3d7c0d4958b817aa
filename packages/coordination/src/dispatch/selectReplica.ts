/** Selects the replica for a request, and the sources from which it fetches the prompt parts that it does not hold. */
import { firstByRendezvous, type Milliseconds, type SeededRandom } from '../common/index.js'
import type { Engine, Replica } from '../catalog/index.js'
import type { CachedParts, PromptPart } from './cachedParts.js'
import type { EngineSpeed } from './engineSpeed.js'
import type { FleetLoads } from './fleetLoads.js'
import type { LearnedCosts } from './learnedCosts.js'
import { averageLoads, fetchUntil, PartHolders, planFetches, type PartOrigin } from './promptFetches.js'
import type { PartStores } from './partStores.js'
import type { ReplicaHealth } from './replicaHealth.js'

/** A prompt as the caller describes it. */
export interface Prompt {
  model: string
  inputTokens: number
  maximumOutputTokens: number
  /** The last part is specific to this request; the parts before it are shared with other requests. */
  parts: readonly PromptPart[]
}

/** State that replica selection reads. */
export interface SelectionView {
  loads: FleetLoads
  health: ReplicaHealth
  cachedParts: CachedParts
  stores: PartStores
  /** Speed estimate for the engines of the service. */
  speed: EngineSpeed
  /** Replaces constants where it is in force. */
  learned?: LearnedCosts | undefined
  /** Data centre of this instance. */
  zone: string
  /** Number of instances that select replicas at the same time, including this one. */
  instances: number
  random: SeededRandom
  now: Milliseconds
}

/** A prompt, and what its placement on an engine depends on. */
export interface PromptDemand {
  prompt: Prompt
  engine: Engine
  /** Returns the namespace of the cached parts on a replica that has a weight version. */
  saltFor: (weightVersion: number) => string
  /** The announced weight version, once its announcement is old enough that replicas with older weights cost more. */
  wantedVersion: number | undefined
}

/** A request that needs a replica. */
export interface SelectionRequest {
  candidates: readonly Replica[]
  /** Ids of the replicas that this request has already been sent to. */
  tried: ReadonlySet<string>
  /** Replicas that prompt parts may be fetched from; defaults to the candidates. */
  holders?: readonly Replica[] | undefined
  demand?: PromptDemand | undefined
}

/** The selected replica, how the prompt is placed on it, and the estimates behind the selection. */
export interface Selection {
  replica: Replica
  /** Predicted milliseconds until the first byte of the answer, plus the other costs of the replica as milliseconds. */
  cost: number
  /**
   * Memory that the request needs beyond what the replica has left, as a share of the replica's total memory. For a request
   * without a prompt, the slots that it lacks.
   */
  crowding: number
  /** The part of the cost that is predicted time until the first byte. */
  wait: Milliseconds
  /** The same at the usual speed of the service; absent for a request without a prompt. */
  usualWait?: Milliseconds | undefined
  /** Prompt tokens known to be queued at the replica ahead of this prompt. */
  queuedTokens: number
  /** Tokens of the prompt that the replica has to read, since they are neither held nor fetched. */
  freshTokens: number
  fetchedTokens: number
  /** Source address for each part; undefined if no part has a source. */
  sources: (string | undefined)[] | undefined
  /** Predicted time until all fetches have ended. */
  fetchTime: Milliseconds
  /** Average load on each source address, in tokens, until the first byte of the answer. */
  fetchLoads: ReadonlyMap<string, number>
  /** Deadline of the fetches; undefined if nothing is fetched from a store. */
  fetchUntil: Milliseconds | undefined
  /** Address of the store that each part is saved to; undefined if no part is saved. */
  saves: (string | undefined)[] | undefined
  /** Namespace of the cached parts on the replica; undefined for a request without a prompt. */
  salt: string | undefined
  /** Where each shared part is expected to come from. */
  origins: PartOrigin[]
}

/** Each running request lengthens a decoding step by 0.012 to 0.029 ms, which adds up over some steps. */
const RUNNING_REQUEST_COST: Milliseconds = 1
/** Typical service time of a request without a prompt. */
const PLAIN_REQUEST_COST: Milliseconds = 85
/** Memory freed as running requests end: some 47,000 tokens within the 3 s that a request runs. */
const TOKENS_FREED_PER_MILLISECOND = 15
/** Expected wait for a slot if all are taken. */
const SLOT_WAIT: Milliseconds = 400
/** Cost of full suspicion: a failed request costs about its latency objective. */
const SUSPICION_COST: Milliseconds = 1_500
/** A round trip between data centres, and the price of the traffic. */
const OTHER_ZONE_COST: Milliseconds = 6
/** Cost of outdated weights, whose answers are worth a fifth less. */
const OLD_VERSION_COST: Milliseconds = 150
/**
 * Maximum random cost that each instance adds to a replica, per other instance. Without it, instances that decide at the same
 * time from the same updates would all select the same replica.
 */
const JITTER_PER_INSTANCE: Milliseconds = 3
/** No jitter is added up to this many instances: so few rarely select the same replica between two heartbeats. */
const INSTANCES_WITHOUT_JITTER = 6
/** Share of a group's uncached tokens assumed to be cached on its preferred replica, about whose cache nothing is known. */
const EXPECTED_CACHED_SHARE = 0.5
const NO_FETCH_LOADS: ReadonlyMap<string, number> = new Map()

/** Selects the replica with the lowest cost for the request; returns undefined if every candidate has already been tried. */
export function selectReplica (request: SelectionRequest, view: SelectionView): Selection | undefined {
  const untried = request.candidates.filter(({ id }) => !request.tried.has(id))
  const available = untried.filter(({ id }) => !view.health.isExcluded(id, view.now))
  // If every replica is excluded, trying one is better than refusing the request.
  const candidates = available.length > 0 ? available : untried
  const { demand } = request
  if (demand === undefined) return cheapest(candidates.map(replica => evaluatePlainRequest(replica, view)))
  const group = groupPart(demand.prompt)
  const preferredId = group === undefined ? undefined : firstByRendezvous(group, candidates.map(({ id }) => id))
  const holders = new PartHolders(request.holders ?? request.candidates, demand.prompt.parts.slice(0, -1), demand.engine, view)
  const jitter = JITTER_PER_INSTANCE * Math.max(0, view.instances - INSTANCES_WITHOUT_JITTER)
  const estimates = candidates.map(replica => estimateReplica(replica, demand, view, jitter * view.random.next()))
  estimates.sort((left, right) => left.minimumCost - right.minimumCost)
  let best: Selection | undefined
  for (const estimate of estimates) {
    // Cached or fetched parts cannot bring this replica, or any after it, below its minimum cost.
    if (best !== undefined && estimate.minimumCost >= best.cost) break
    const selection = evaluatePrompt(estimate, demand, holders, view, estimate.replica.id === preferredId)
    if (best === undefined || selection.cost < best.cost) best = selection
  }
  return best
}

function cheapest (selections: readonly Selection[]): Selection | undefined {
  let best: Selection | undefined
  for (const selection of selections) if (best === undefined || selection.cost < best.cost) best = selection
  return best
}

/** Returns the id that identifies a group of requests: that of the last shared part or, if none is shared, of the only part. */
function groupPart (prompt: Prompt): string | undefined {
  return prompt.parts.at(-2)?.id ?? prompt.parts.at(-1)?.id
}

function commonCost (replica: Replica, view: SelectionView): Milliseconds {
  const suspicionCost = view.health.suspicion(replica.id, view.now) * SUSPICION_COST
  return suspicionCost + (replica.zone === view.zone ? 0 : OTHER_ZONE_COST)
}

function evaluatePlainRequest (replica: Replica, view: SelectionView): Selection {
  const load = view.loads.of(replica.id)
  const busyCost = (load.requests / Math.max(1, replica.slots)) * (view.learned?.meanRun ?? PLAIN_REQUEST_COST)
  return {
    replica,
    cost: busyCost + commonCost(replica, view),
    crowding: view.learned?.missingSlots(load, replica.slots) ?? 0,
    wait: busyCost,
    queuedTokens: 0,
    freshTokens: 0,
    fetchedTokens: 0,
    sources: undefined,
    fetchTime: 0,
    fetchLoads: NO_FETCH_LOADS,
    fetchUntil: undefined,
    saves: undefined,
    salt: undefined,
    origins: []
  }
}

/** Costs of a prompt on a replica that do not depend on its cached parts. */
interface ReplicaEstimate {
  replica: Replica
  version: number
  queuedTokens: number
  queueTime: Milliseconds
  /** Memory, in tokens, that the replica lacks for the prompt. */
  missingTokens: number
  /** Predicted wait for memory and for a slot. */
  capacityWait: Milliseconds
  /** By how much the replica is slower than usual at the moment. */
  slowdown: number
  /** Costs other than time until the first byte: suspicion, zone, outdated weights and jitter. */
  otherCost: Milliseconds
  /** Lower bound of the cost, reached if only the request's own part has to be read. */
  minimumCost: Milliseconds
}

function estimateReplica (replica: Replica, demand: PromptDemand, view: SelectionView, jitter: Milliseconds): ReplicaEstimate {
  const { prompt, engine, wantedVersion } = demand
  const version = replica.weightVersions[prompt.model] ?? 0
  const load = view.loads.of(replica.id)
  const needed = prompt.inputTokens + prompt.maximumOutputTokens
  const missingTokens = Math.max(0, load.memoryTokens + needed - engine.cacheTokens)
  const slotWait = view.learned?.slotWait(load) ?? SLOT_WAIT
  const slotCost = load.requests >= replica.slots ? slotWait : load.requests * RUNNING_REQUEST_COST
  const versionCost = wantedVersion !== undefined && version < wantedVersion ? OLD_VERSION_COST : 0
  const queueTime = load.prefillTokens * view.speed.timePerToken
  const slowdown = view.learned?.slowdown(replica.id, view.now) ?? 1
  const tokensFreed = view.learned?.tokensFreed(load) ?? TOKENS_FREED_PER_MILLISECOND
  const capacityWait = missingTokens / tokensFreed + slotCost
  const otherCost = versionCost + commonCost(replica, view) + jitter
  const ownTokens = Math.max(0, prompt.inputTokens - tokensOf(prompt.parts.slice(0, -1)))
  const minimumCost = (queueTime + view.speed.timeToFirstToken(ownTokens)) * slowdown + capacityWait + otherCost
  const queuedTokens = load.prefillTokens
  return { replica, version, queuedTokens, queueTime, missingTokens, capacityWait, slowdown, otherCost, minimumCost }
}

function evaluatePrompt (
  estimate: ReplicaEstimate, demand: PromptDemand, holders: PartHolders, view: SelectionView, isPreferredForGroup: boolean
): Selection {
  const { prompt, engine } = demand
  const { replica, version, queuedTokens, queueTime, missingTokens, capacityWait, slowdown, otherCost } = estimate
  const salt = demand.saltFor(version)
  const shared = prompt.parts.slice(0, -1)
  const heldCount = view.cachedParts.heldPrefixLength(replica.id, salt, shared)
  const heldTokens = tokensOf(shared.slice(0, heldCount))
  const fetches = planFetches(replica, shared, heldCount, salt, holders)
  const freshTokens = Math.max(0, prompt.inputTokens - heldTokens - fetches.tokens)
  const sharedFreshTokens = tokensOf(shared) - heldTokens - fetches.tokens
  const affinityGain = isPreferredForGroup ? EXPECTED_CACHED_SHARE * sharedFreshTokens * view.speed.timePerToken : 0
  // The replica reads queued prompts while it fetches parts of this one.
  const firstToken = view.speed.timeToFirstToken(freshTokens)
  const usualWait = Math.max(queueTime, fetches.time) + firstToken + capacityWait
  const wait = Math.max(queueTime * slowdown, fetches.time) + firstToken * slowdown + capacityWait
  return {
    replica,
    cost: wait + otherCost - affinityGain,
    crowding: missingTokens / Math.max(1, engine.cacheTokens),
    wait,
    usualWait,
    queuedTokens,
    freshTokens,
    fetchedTokens: fetches.tokens,
    sources: fetches.sources.some(address => address !== undefined) ? [...fetches.sources, undefined] : undefined,
    fetchTime: fetches.time,
    fetchLoads: averageLoads(fetches, wait),
    fetchUntil: fetchUntil(fetches, view.now),
    saves: holders.saves(salt),
    salt,
    origins: fetches.origins
  }
}

function tokensOf (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0)
}
