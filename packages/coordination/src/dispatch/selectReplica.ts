/** Chooses the replica for a request, and where it fetches the prompt parts that it does not hold. */
import { firstByRendezvous, type Milliseconds, type SeededRandom } from '../common/index.js'
import type { Engine, Replica } from '../catalog/index.js'
import type { CachedParts, PromptPart } from './cachedParts.js'
import type { FleetLoads } from './fleetLoads.js'
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
  demand?: PromptDemand | undefined
}

/** The choice, and what decided it, for the log. */
export interface Selection {
  replica: Replica
  /** Predicted milliseconds until the first byte of the answer. */
  cost: number
  /** Tokens of memory that the request needs beyond what the replica has left, against the replica's memory. */
  crowding: number
  /** The part of the cost that is waiting at the replica, without any fetch. */
  wait: Milliseconds
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

/**
 * Where a replica takes a part from: its own cache, a store, another replica, or its own reading; `slow-source` is
 * read though a store or a replica holds it.
 */
export type PartOrigin = 'held' | 'store' | 'replica' | 'read' | 'slow-source'

/** Prompt tokens that a replica reads in a millisecond; from the users' deployment sheets (38.7 and 42.6). */
export const PREFILL_TOKENS_PER_MILLISECOND = 40
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
/** Transfers take twice as long between data centres. */
const OTHER_ZONE_TRANSFERS = 2
/** A part that is read again costs more than an answer that is late by less than this. */
const LONGEST_FETCH_DELAY: Milliseconds = 300
/** Most parts believed held are held, so that a slow store is not worth naming for them. */
const LONGEST_DELAY_FOR_HELD_PART: Milliseconds = 100
/** A replica may have dropped a part that it is believed to hold; reading 5,000 tokens takes some 130 ms. */
const UNSURE_SOURCE_COST: Milliseconds = 130
/** A fetch is given up after so many times its predicted time, and at least after the margin: reading is quicker then. */
const FETCH_PATIENCE = 3
const FETCH_MARGIN: Milliseconds = 200
const NO_FETCHES: ReadonlyMap<string, number> = new Map()
const BITS_PER_BYTE = 8
/** Bits in a millisecond for each megabit in a second. */
const BITS_PER_MILLISECOND = 1_000

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
  const holders = new PartHolders(request.candidates, demand.prompt.parts.slice(0, -1), demand.engine, view)
  const spread = SPREAD_FOR_EACH_INSTANCE * Math.max(0, view.instances - INSTANCES_WITHOUT_SPREAD)
  return cheapest(candidates.map(replica => {
    const selection = weighPrompt(replica, demand, holders, view, replica.id === first)
    return { ...selection, cost: selection.cost + spread * view.random.next() }
  }))
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

function weighPrompt (
  replica: Replica, demand: PromptDemand, holders: PartHolders, view: SelectionView, isGroupsFirst: boolean
): Selection {
  const { prompt, engine, wantedVersion } = demand
  const version = replica.weightVersions[prompt.model] ?? 0
  const salt = demand.saltFor(version)
  const load = view.loads.of(replica.id)
  const shared = prompt.parts.slice(0, -1)
  const heldCount = view.cachedParts.heldParts(replica.id, salt, shared)
  const heldTokens = tokensOf(shared.slice(0, heldCount))
  const fetches = planFetches(replica, shared, heldCount, salt, holders)
  const freshTokens = Math.max(0, prompt.inputTokens - heldTokens - fetches.tokens)
  const sharedFreshTokens = tokensOf(shared) - heldTokens - fetches.tokens
  const affinityGain = isGroupsFirst ? EXPECTED_SHARE * sharedFreshTokens / PREFILL_TOKENS_PER_MILLISECOND : 0
  const queueTime = load.prefillTokens / PREFILL_TOKENS_PER_MILLISECOND
  const prefillTime = freshTokens / PREFILL_TOKENS_PER_MILLISECOND
  const needed = prompt.inputTokens + prompt.maximumOutputTokens
  const missing = Math.max(0, load.memoryTokens + needed - engine.cacheTokens)
  const memoryCost = missing / TOKENS_FREED_PER_MILLISECOND
  const slotCost = load.requests >= replica.slots ? SLOT_WAIT : load.requests * RUNNING_REQUEST_COST
  // The replica reads other prompts while parts of this one are on their way.
  const wait = Math.max(queueTime, fetches.time) + prefillTime + memoryCost + slotCost
  const versionCost = wantedVersion !== undefined && version < wantedVersion ? OLD_VERSION_COST : 0
  return {
    replica,
    cost: wait + versionCost + commonCost(replica, view) - affinityGain,
    crowding: missing / Math.max(1, engine.cacheTokens),
    wait,
    freshTokens,
    fetchedTokens: fetches.tokens,
    sources: fetches.sources.some(address => address !== undefined) ? [...fetches.sources, undefined] : undefined,
    fetchTime: fetches.time,
    fetchLoads: averageLoads(fetches, wait),
    fetchUntil: fetches.until === undefined
      ? undefined
      : Math.min(fetches.until, view.now + FETCH_PATIENCE * fetches.time + FETCH_MARGIN),
    saves: holders.saves(salt),
    salt,
    origins: fetches.origins
  }
}

/** A transfer takes a part of the wait, and loads its source only that long. */
function averageLoads ({ loads, time }: Fetches, wait: Milliseconds): ReadonlyMap<string, number> {
  const share = Math.min(1, time / Math.max(1, wait))
  return new Map([...loads].map(([address, tokens]) => [address, Math.round(tokens * share)]))
}

interface Fetches {
  sources: (string | undefined)[]
  tokens: number
  time: Milliseconds
  loads: Map<string, number>
  until: Milliseconds | undefined
  origins: PartOrigin[]
}

/**
 * Names a source for each part, up to the first missing one that has none. Parts that are believed held get a store too,
 * since the replica fetches only what it lacks and may have dropped them.
 */
function planFetches (
  replica: Replica, shared: readonly PromptPart[], heldCount: number, salt: string, holders: PartHolders
): Fetches {
  const fetches: Fetches = {
    sources: shared.map(() => undefined), tokens: 0, time: 0, loads: new Map(), until: undefined, origins: []
  }
  for (const [index, part] of shared.entries()) {
    const isHeld = index < heldCount
    const source = isHeld ? holders.storeFor(replica, index, salt) : holders.sourceFor(replica, index, salt)
    const isUsable = source !== undefined && source.time <= (isHeld ? LONGEST_DELAY_FOR_HELD_PART : LONGEST_FETCH_DELAY)
    fetches.origins.push(originOf(isHeld, source, isUsable))
    if (!isUsable) {
      if (isHeld) continue
      break
    }
    fetches.sources[index] = source.address
    if (source.validUntil !== undefined) fetches.until = Math.min(fetches.until ?? Infinity, source.validUntil)
    if (isHeld) continue
    fetches.time = Math.max(fetches.time, source.time)
    fetches.tokens += part.tokens
    fetches.loads.set(source.address, (fetches.loads.get(source.address) ?? 0) + source.weightedTokens)
  }
  return fetches
}

function originOf (isHeld: boolean, source: FetchSource | undefined, isUsable: boolean): PartOrigin {
  if (isHeld) return 'held'
  if (source === undefined) return 'read'
  if (!isUsable) return 'slow-source'
  return source.validUntil === undefined ? 'replica' : 'store'
}

/** Where a part can be fetched from. */
interface FetchSource {
  address: string
  /** Tokens, counted by how long their transfer takes. */
  weightedTokens: number
  /** Predicted milliseconds until the part has come. */
  time: Milliseconds
  /** Present for a store: when a fetch must have ended. */
  validUntil: Milliseconds | undefined
}

/** Who holds the shared parts of one prompt; each question is answered once for all candidates. */
class PartHolders {
  private readonly _replicas = new Map<string, Replica[]>()
  private readonly _stored = new Map<string, FetchSource | undefined>()
  private readonly _saves = new Map<string, (string | undefined)[] | undefined>()

  constructor (
    private readonly _all: readonly Replica[],
    private readonly _shared: readonly PromptPart[],
    private readonly _engine: Engine,
    private readonly _view: SelectionView
  ) {}

  /** The store or the other replica from which the part should come soonest. */
  sourceFor (replica: Replica, index: number, salt: string): FetchSource | undefined {
    const store = this.storeFor(replica, index, salt)
    const holder = this._nearest(replica, index, salt)
    if (holder === undefined) return store
    const other = this._transferFrom(holder.address, holder.zone, this._engine.linkMegabitsPerSecond, replica, index)
    if (store !== undefined && store.time <= other.time + UNSURE_SOURCE_COST) return store
    return { ...other, validUntil: undefined }
  }

  /** A store that holds the part. */
  storeFor (replica: Replica, index: number, salt: string): FetchSource | undefined {
    const key = `${index}|${salt}|${replica.zone}`
    if (!this._stored.has(key)) this._stored.set(key, this._findStore(replica, index, salt))
    return this._stored.get(key)
  }

  private _findStore (replica: Replica, index: number, salt: string): FetchSource | undefined {
    const partId = this._shared[index]?.id ?? ''
    const stored = this._view.stores.sourceOf(salt, partId, replica.zone, this._view.now)
    if (stored === undefined) return undefined
    const link = Math.min(stored.linkMegabitsPerSecond, this._engine.linkMegabitsPerSecond)
    const transfer = this._transferFrom(stored.address, stored.zone, link, replica, index)
    return { ...transfer, time: transfer.time + stored.firstDelay + stored.delay, validUntil: stored.validUntil }
  }

  /** Transfers of one source run one after the other. */
  private _transferFrom (
    address: string, zone: string, linkMegabitsPerSecond: number, replica: Replica, index: number
  ): Omit<FetchSource, 'validUntil'> {
    const tokens = this._shared[index]?.tokens ?? 0
    const weightedTokens = tokens * (zone === replica.zone ? 1 : OTHER_ZONE_TRANSFERS)
    const queued = this._view.loads.of(address).prefillTokens
    const bits = (queued + weightedTokens) * this._engine.bytesPerToken * BITS_PER_BYTE
    return { address, weightedTokens, time: bits / (Math.max(1, linkMegabitsPerSecond) * BITS_PER_MILLISECOND) }
  }

  /** Another replica that is believed to hold the part, preferably in the same zone. */
  private _nearest (replica: Replica, index: number, salt: string): Replica | undefined {
    const others = this._replicasWith(index, salt).filter(({ id }) => id !== replica.id)
    return others.find(({ zone }) => zone === replica.zone) ?? others[0]
  }

  /** Saves the parts that no store holds yet; the replica sends them once it has them, however it came by them. */
  saves (salt: string): (string | undefined)[] | undefined {
    if (!this._saves.has(salt)) {
      const saves = this._shared.map(part => this._view.stores.saveTargetOf(salt, part, this._view.now))
      this._saves.set(salt, saves.some(address => address !== undefined) ? [...saves, undefined] : undefined)
    }
    return this._saves.get(salt)
  }

  private _replicasWith (index: number, salt: string): Replica[] {
    const key = `${index}|${salt}`
    const known = this._replicas.get(key)
    if (known !== undefined) return known
    const { cachedParts, health, now } = this._view
    const partId = this._shared[index]?.id ?? ''
    const found = this._all.filter(({ id }) => cachedParts.holds(id, salt, partId) && !health.isExcluded(id, now))
    this._replicas.set(key, found)
    return found
  }
}

function tokensOf (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0)
}
