/** Chooses the replica for a request, and where it fetches the prompt parts that it does not hold. */
import { firstByRendezvous, type Milliseconds, type SeededRandom } from '../common/index.js'
import type { Engine, Replica } from '../catalog/index.js'
import type { CachedParts, PromptPart } from './cachedParts.js'
import type { EngineSpeed } from './engineSpeed.js'
import type { FleetLoads } from './fleetLoads.js'
import { averageLoads, fetchUntil, PartHolders, planFetches, type PartOrigin } from './promptFetches.js'
import type { PartStores } from './partStores.js'
import type { ReplicaHealth } from './replicaHealth.js'

/** A prompt as the caller describes it. */
export interface Prompt {
  model: string
  inputTokens: number
  maximumOutputTokens: number
  /** The last part belongs to the request alone. */
  parts: readonly PromptPart[]
}

/** What is known when a replica is chosen. */
export interface SelectionView {
  loads: FleetLoads
  health: ReplicaHealth
  cachedParts: CachedParts
  stores: PartStores
  /** What is known of the engines of the service. */
  speed: EngineSpeed
  /** Data centre of this instance. */
  zone: string
  /** Instances that choose at the same time, this one included. */
  instances: number
  random: SeededRandom
  now: Milliseconds
}

/** A prompt on its way to an engine. */
export interface PromptDemand {
  prompt: Prompt
  engine: Engine
  /** Namespace of the cached parts on a replica with a weight version. */
  saltFor: (weightVersion: number) => string
  /** The named weight version, where one has been named long enough ago to matter. */
  wantedVersion: number | undefined
}

/** A request that needs a replica. */
export interface SelectionRequest {
  candidates: readonly Replica[]
  /** Replicas that this request has already been sent to. */
  tried: ReadonlySet<string>
  /** Replicas that prompt parts may be fetched from; the candidates where it is left out. */
  holders?: readonly Replica[] | undefined
  demand?: PromptDemand | undefined
}

/** The choice, and what decided it, for the log. */
export interface Selection {
  replica: Replica
  /** Predicted milliseconds until the first byte of the answer, and what else speaks against the replica. */
  cost: number
  /** Tokens of memory that the request needs beyond what the replica has left, against the replica's memory. */
  crowding: number
  /** The part of the cost that is time until the first byte; the rest makes the replica less wanted. */
  wait: Milliseconds
  /** Prompt tokens that the replica has to read before, as far as was known. */
  queuedTokens: number
  /** Tokens of the prompt that are neither held nor fetched. */
  freshTokens: number
  fetchedTokens: number
  /** For each part the address that it is fetched from; undefined where no part is fetched. */
  sources: (string | undefined)[] | undefined
  /** Predicted milliseconds until the fetches have ended. */
  fetchTime: Milliseconds
  /** Tokens that are fetched from each address, as they load it on average until the first byte of the answer. */
  fetchLoads: ReadonlyMap<string, number>
  /** When the fetches must have ended; undefined where nothing is fetched from a store. */
  fetchUntil: Milliseconds | undefined
  /** For each part the store that it is saved to; undefined where no part is saved. */
  saves: (string | undefined)[] | undefined
  salt: string | undefined
  /** Where each shared part is expected to come from. */
  origins: PartOrigin[]
}

/** A decoding step is longer while more requests run; from the sheets, 0.012 to 0.029 ms, over some steps. */
const RUNNING_REQUEST_COST: Milliseconds = 1
/** Typical service time of a plain request, from the sheets. */
const PLAIN_REQUEST_COST: Milliseconds = 85
/** Memory that running requests free in a millisecond: some 47,000 tokens within the 3 s that a request runs. */
const TOKENS_FREED_PER_MILLISECOND = 15
/** Expected wait for a slot where all are taken. */
const SLOT_WAIT: Milliseconds = 400
/** A request that fails costs about its objective. */
const SUSPICION_COST: Milliseconds = 1_500
/** Two crossings between data centres, and the price of the bytes. */
const OTHER_ZONE_COST: Milliseconds = 6
/** An answer by replaced weights is worth a fifth less. */
const OLD_VERSION_COST: Milliseconds = 150
/**
 * Instances that choose by the same news at the same time would all choose the same replica; each adds up to this much for
 * each other instance, at random.
 */
const SPREAD_FOR_EACH_INSTANCE: Milliseconds = 3
/** Few instances hardly meet on one replica between two heartbeats. */
const INSTANCES_WITHOUT_SPREAD = 6
/** Part of a prompt's shared tokens that is expected on the group's first replica while nothing is known of its cache. */
const EXPECTED_SHARE = 0.5
const NO_FETCHES: ReadonlyMap<string, number> = new Map()

/** The cheapest replica for the request, or undefined where none can be used. */
export function selectReplica (request: SelectionRequest, view: SelectionView): Selection | undefined {
  const usable = request.candidates.filter(({ id }) => !request.tried.has(id))
  const open = usable.filter(({ id }) => !view.health.isExcluded(id, view.now))
  // Where every replica was unreachable, trying one is better than refusing.
  const candidates = open.length > 0 ? open : usable
  const { demand } = request
  if (demand === undefined) return cheapest(candidates.map(replica => weighPlain(replica, view)))
  const group = groupPart(demand.prompt)
  const first = group === undefined ? undefined : firstByRendezvous(group, candidates.map(({ id }) => id))
  const holders = new PartHolders(request.holders ?? request.candidates, demand.prompt.parts.slice(0, -1), demand.engine, view)
  const spread = SPREAD_FOR_EACH_INSTANCE * Math.max(0, view.instances - INSTANCES_WITHOUT_SPREAD)
  const pressures = candidates.map(replica => pressureOf(replica, demand, view, spread * view.random.next()))
  pressures.sort((left, right) => left.leastCost - right.leastCost)
  let best: Selection | undefined
  for (const pressure of pressures) {
    // What parts it holds or fetches cannot make this replica, or those after it, any cheaper.
    if (best !== undefined && pressure.leastCost >= best.cost) break
    const selection = weighPrompt(pressure, demand, holders, view, pressure.replica.id === first)
    if (best === undefined || selection.cost < best.cost) best = selection
  }
  return best
}

function cheapest (selections: readonly Selection[]): Selection | undefined {
  let best: Selection | undefined
  for (const selection of selections) if (best === undefined || selection.cost < best.cost) best = selection
  return best
}

/** The part before the last is shared by the requests of one group. */
function groupPart (prompt: Prompt): string | undefined {
  return prompt.parts.at(-2)?.id ?? prompt.parts.at(-1)?.id
}

function commonCost (replica: Replica, view: SelectionView): Milliseconds {
  const suspicionCost = view.health.suspicion(replica.id, view.now) * SUSPICION_COST
  return suspicionCost + (replica.zone === view.zone ? 0 : OTHER_ZONE_COST)
}

function weighPlain (replica: Replica, view: SelectionView): Selection {
  const load = view.loads.of(replica.id)
  const busyCost = (load.requests / Math.max(1, replica.slots)) * PLAIN_REQUEST_COST
  return {
    replica,
    cost: busyCost + commonCost(replica, view),
    crowding: 0,
    wait: busyCost,
    queuedTokens: 0,
    freshTokens: 0,
    fetchedTokens: 0,
    sources: undefined,
    fetchTime: 0,
    fetchLoads: NO_FETCHES,
    fetchUntil: undefined,
    saves: undefined,
    salt: undefined,
    origins: []
  }
}

/** What a prompt meets on a replica, whatever of it is cached there. */
interface ReplicaPressure {
  replica: Replica
  version: number
  queuedTokens: number
  queueTime: Milliseconds
  /** Tokens of memory that the replica lacks for the prompt. */
  missingTokens: number
  /** Waits for memory and for a slot. */
  roomTime: Milliseconds
  /** What speaks against the replica besides time. */
  otherCost: Milliseconds
  /** The cost if only the prompt's own part has to be read. */
  leastCost: Milliseconds
}

function pressureOf (replica: Replica, demand: PromptDemand, view: SelectionView, spread: Milliseconds): ReplicaPressure {
  const { prompt, engine, wantedVersion } = demand
  const version = replica.weightVersions[prompt.model] ?? 0
  const load = view.loads.of(replica.id)
  const needed = prompt.inputTokens + prompt.maximumOutputTokens
  const missingTokens = Math.max(0, load.memoryTokens + needed - engine.cacheTokens)
  const slotCost = load.requests >= replica.slots ? SLOT_WAIT : load.requests * RUNNING_REQUEST_COST
  const versionCost = wantedVersion !== undefined && version < wantedVersion ? OLD_VERSION_COST : 0
  const queueTime = load.prefillTokens * view.speed.timeForToken
  const roomTime = missingTokens / TOKENS_FREED_PER_MILLISECOND + slotCost
  const otherCost = versionCost + commonCost(replica, view) + spread
  const ownTokens = Math.max(0, prompt.inputTokens - tokensOf(prompt.parts.slice(0, -1)))
  const leastCost = queueTime + view.speed.firstTokenAfter(ownTokens) + roomTime + otherCost
  return { replica, version, queuedTokens: load.prefillTokens, queueTime, missingTokens, roomTime, otherCost, leastCost }
}

function weighPrompt (
  pressure: ReplicaPressure, demand: PromptDemand, holders: PartHolders, view: SelectionView, isGroupsFirst: boolean
): Selection {
  const { prompt, engine } = demand
  const { replica, version, queuedTokens, queueTime, missingTokens, roomTime, otherCost } = pressure
  const salt = demand.saltFor(version)
  const shared = prompt.parts.slice(0, -1)
  const heldCount = view.cachedParts.heldParts(replica.id, salt, shared)
  const heldTokens = tokensOf(shared.slice(0, heldCount))
  const fetches = planFetches(replica, shared, heldCount, salt, holders)
  const freshTokens = Math.max(0, prompt.inputTokens - heldTokens - fetches.tokens)
  const sharedFreshTokens = tokensOf(shared) - heldTokens - fetches.tokens
  const affinityGain = isGroupsFirst ? EXPECTED_SHARE * sharedFreshTokens * view.speed.timeForToken : 0
  // The replica reads other prompts while parts of this one are on their way.
  const wait = Math.max(queueTime, fetches.time) + view.speed.firstTokenAfter(freshTokens) + roomTime
  return {
    replica,
    cost: wait + otherCost - affinityGain,
    crowding: missingTokens / Math.max(1, engine.cacheTokens),
    wait,
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
