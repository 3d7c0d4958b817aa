/** Plans which shared parts of a prompt a replica fetches from a store or another replica. */
import type { Milliseconds } from '../common/index.js'
import type { Engine, Replica } from '../catalog/index.js'
import type { PromptPart } from './cachedParts.js'
import type { SelectionView } from './selectReplica.js'

/**
 * Where a replica is expected to get a part: from its own cache, a store or another replica, or by reading it. `slow-source`
 * means that the part is read although a store or replica holds it, since fetching it would take too long.
 */
export type PartOrigin = 'held' | 'store' | 'replica' | 'read' | 'slow-source'

/** Factor by which transfers between data centres take longer. */
const OTHER_ZONE_TRANSFER_FACTOR = 2
/** Fetches that take longer are not planned; up to this time, the delayed answer costs less than reading the part again. */
const MAXIMUM_FETCH_TIME: Milliseconds = 300
/** The limit for parts that the replica is expected to hold: most of them are still cached, so a slow store is not named. */
const MAXIMUM_FETCH_TIME_FOR_HELD_PART: Milliseconds = 100
/** Cost of fetching from a replica, which may have evicted the part; reading 5,000 tokens takes some 130 ms. */
const UNCERTAIN_SOURCE_COST: Milliseconds = 130
/** Fetches time out after this multiple of their predicted time plus the margin; reading the part is faster then. */
const FETCH_TIMEOUT_FACTOR = 3
const FETCH_TIMEOUT_MARGIN: Milliseconds = 200
const BITS_PER_BYTE = 8
/** Bits per millisecond in one megabit per second. */
const BITS_PER_MILLISECOND = 1_000

/** Planned fetches of the shared parts of one prompt. */
export interface PromptFetches {
  /** Address of the source for each shared part; undefined for parts without a source. */
  sources: (string | undefined)[]
  /** Tokens of the parts that are fetched and not expected in the replica's cache. */
  tokens: number
  /** Predicted time until the slowest of these fetches has ended. */
  time: Milliseconds
  /** Weighted tokens of these fetches by source address. */
  loads: Map<string, number>
  /** Earliest deadline set by the stores; undefined if no store is a source. */
  until: Milliseconds | undefined
  origins: PartOrigin[]
}

/**
 * Assigns a source to each part, up to the first missing part without a usable one. Parts that the replica is expected to hold
 * also get a store as their source, since the replica may have evicted them and fetches only the parts that it lacks.
 */
export function planFetches (
  replica: Replica, shared: readonly PromptPart[], heldCount: number, salt: string, holders: PartHolders
): PromptFetches {
  const fetches: PromptFetches = {
    sources: shared.map(() => undefined), tokens: 0, time: 0, loads: new Map(), until: undefined, origins: []
  }
  for (const [index, part] of shared.entries()) {
    const isHeld = index < heldCount
    const source = isHeld ? holders.storeFor(replica, index, salt) : holders.sourceFor(replica, index, salt)
    const isUsable = source !== undefined && source.time <= (isHeld ? MAXIMUM_FETCH_TIME_FOR_HELD_PART : MAXIMUM_FETCH_TIME)
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

/**
 * Returns the average load on each source, in tokens, during the wait for the first byte, of which the transfers take only a
 * part.
 */
export function averageLoads ({ loads, time }: PromptFetches, wait: Milliseconds): ReadonlyMap<string, number> {
  const share = Math.min(1, time / Math.max(1, wait))
  return new Map([...loads].map(([address, tokens]) => [address, Math.round(tokens * share)]))
}

/** Deadline of the fetches; undefined if nothing is fetched from a store. */
export function fetchUntil ({ until, time }: PromptFetches, now: Milliseconds): Milliseconds | undefined {
  return until === undefined ? undefined : Math.min(until, now + FETCH_TIMEOUT_FACTOR * time + FETCH_TIMEOUT_MARGIN)
}

function originOf (isHeld: boolean, source: FetchSource | undefined, isUsable: boolean): PartOrigin {
  if (isHeld) return 'held'
  if (source === undefined) return 'read'
  if (!isUsable) return 'slow-source'
  return source.validUntil === undefined ? 'replica' : 'store'
}

/** A source that one replica can fetch a part from. */
interface FetchSource {
  address: string
  /** Tokens of the part, multiplied for transfers between data centres. */
  weightedTokens: number
  /** Predicted time until the part has been transferred. */
  time: Milliseconds
  /** Deadline of the fetch if the source is a store; undefined for a replica. */
  validUntil: Milliseconds | undefined
}

/** Finds the stores and replicas that hold the shared parts of one prompt. Lookups are cached for all candidate replicas. */
export class PartHolders {
  private readonly _replicasByPart = new Map<string, Replica[]>()
  private readonly _storeSources = new Map<string, FetchSource | undefined>()
  private readonly _savesBySalt = new Map<string, (string | undefined)[] | undefined>()

  constructor (
    private readonly _all: readonly Replica[],
    private readonly _shared: readonly PromptPart[],
    private readonly _engine: Engine,
    private readonly _view: SelectionView
  ) {}

  /** Returns the store or other replica with the shortest predicted fetch of the part, if any. */
  sourceFor (replica: Replica, index: number, salt: string): FetchSource | undefined {
    const store = this.storeFor(replica, index, salt)
    const holder = this._nearestHolder(replica, index, salt)
    if (holder === undefined) return store
    const other = this._transferFrom(holder.address, holder.zone, this._engine.linkMegabitsPerSecond, replica, index)
    if (store !== undefined && store.time <= other.time + UNCERTAIN_SOURCE_COST) return store
    return { ...other, validUntil: undefined }
  }

  /** Returns a store that holds the part, if any. */
  storeFor (replica: Replica, index: number, salt: string): FetchSource | undefined {
    const key = `${index}|${salt}|${replica.zone}`
    if (!this._storeSources.has(key)) this._storeSources.set(key, this._findStore(replica, index, salt))
    return this._storeSources.get(key)
  }

  private _findStore (replica: Replica, index: number, salt: string): FetchSource | undefined {
    const partId = this._shared[index]?.id ?? ''
    const stored = this._view.stores.sourceOf(salt, partId, replica.zone, this._view.now)
    if (stored === undefined) return undefined
    const link = Math.min(stored.linkMegabitsPerSecond, this._engine.linkMegabitsPerSecond)
    const transfer = this._transferFrom(stored.address, stored.zone, link, replica, index)
    return { ...transfer, time: transfer.time + stored.firstDelay + stored.delay, validUntil: stored.validUntil }
  }

  /** Predicts a transfer; transfers from one source run one after the other. */
  private _transferFrom (
    address: string, zone: string, linkMegabitsPerSecond: number, replica: Replica, index: number
  ): Omit<FetchSource, 'validUntil'> {
    const tokens = this._shared[index]?.tokens ?? 0
    const weightedTokens = tokens * (zone === replica.zone ? 1 : OTHER_ZONE_TRANSFER_FACTOR)
    const queued = this._view.loads.of(address).prefillTokens
    const bits = (queued + weightedTokens) * this._engine.bytesPerToken * BITS_PER_BYTE
    return { address, weightedTokens, time: bits / (Math.max(1, linkMegabitsPerSecond) * BITS_PER_MILLISECOND) }
  }

  /** Returns another replica that is expected to hold the part, preferably in the same zone. */
  private _nearestHolder (replica: Replica, index: number, salt: string): Replica | undefined {
    const others = this._replicasWith(index, salt).filter(({ id }) => id !== replica.id)
    return others.find(({ zone }) => zone === replica.zone) ?? others[0]
  }

  /**
   * Returns for each part the address of the store to save it to, or undefined if nothing is saved. The replica sends a part once
   * it holds it, no matter where it got the part.
   */
  saves (salt: string): (string | undefined)[] | undefined {
    if (!this._savesBySalt.has(salt)) {
      const saves = this._shared.map(part => this._view.stores.saveTargetOf(salt, part, this._view.now))
      this._savesBySalt.set(salt, saves.some(address => address !== undefined) ? [...saves, undefined] : undefined)
    }
    return this._savesBySalt.get(salt)
  }

  private _replicasWith (index: number, salt: string): Replica[] {
    const key = `${index}|${salt}`
    const known = this._replicasByPart.get(key)
    if (known !== undefined) return known
    const { cachedParts, health, now } = this._view
    const partId = this._shared[index]?.id ?? ''
    const found = this._all.filter(({ id }) => cachedParts.holds(id, salt, partId) && !health.isExcluded(id, now))
    this._replicasByPart.set(key, found)
    return found
  }
}
