/** Where a prompt's shared parts come from: the replica's own cache, a store, another replica, or its own reading. */
import type { Milliseconds } from '../common/index.js'
import type { Engine, Replica } from '../catalog/index.js'
import type { PromptPart } from './cachedParts.js'
import type { SelectionView } from './selectReplica.js'

/**
 * Where a replica takes a part from: its own cache, a store, another replica, or its own reading; `slow-source` is
 * read though a store or a replica holds it.
 */
export type PartOrigin = 'held' | 'store' | 'replica' | 'read' | 'slow-source'

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
const BITS_PER_BYTE = 8
/** Bits in a millisecond for each megabit in a second. */
const BITS_PER_MILLISECOND = 1_000

/** What a replica would fetch for one prompt. */
export interface PromptFetches {
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
export function planFetches (
  replica: Replica, shared: readonly PromptPart[], heldCount: number, salt: string, holders: PartHolders
): PromptFetches {
  const fetches: PromptFetches = {
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

/** Tokens by source, as they load it on average until the first byte: a transfer takes a part of that wait. */
export function averageLoads ({ loads, time }: PromptFetches, wait: Milliseconds): ReadonlyMap<string, number> {
  const share = Math.min(1, time / Math.max(1, wait))
  return new Map([...loads].map(([address, tokens]) => [address, Math.round(tokens * share)]))
}

/** When the fetches are given up; undefined where nothing is fetched from a store. */
export function fetchUntil ({ until, time }: PromptFetches, now: Milliseconds): Milliseconds | undefined {
  return until === undefined ? undefined : Math.min(until, now + FETCH_PATIENCE * time + FETCH_MARGIN)
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
export class PartHolders {
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
