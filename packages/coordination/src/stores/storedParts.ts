/**
 * Tracks which prompt parts the cache stores hold complete, from the events that each store reports.
 *
 * A store that restarts is empty, and may then hold a part that is still being written. So the recorded state of a store is used
 * only for a short time after the store last answered, each fetch must end within that time, and nothing is saved to a restarted
 * store until the older recorded state of every instance has expired and the fetches based on it have ended.
 */
import { placementHash, rankByRendezvous, type Milliseconds } from '../common/index.js'
import type { CacheStoreDescription } from '../catalog/index.js'
import { DecayingAverage } from './decayingAverage.js'
import type { PartSource, PartStores, PromptPart } from '../dispatch/index.js'

/** The recorded state of a store is used for this long after its last answer. */
export const STORE_STATE_LIFETIME: Milliseconds = 1_800
/** No part is saved to a store for this long after a restart of it was observed: the state lifetime plus clock differences. */
const SAVE_PAUSE_AFTER_RESTART: Milliseconds = 3_000
/**
 * Nothing is fetched from the stores for this long after the sharing groups have changed: an instance that does not know of the
 * change yet may be freeing the parts of a group that is in use again.
 */
const FETCH_PAUSE_AFTER_CHANGE: Milliseconds = 2_000
/** Shortest time between two requests to save the same part. */
const SAVE_INTERVAL: Milliseconds = 2_500
/** No part is saved to a store whose fetches are delayed by this or more: it would hold up the replica's other transfers. */
const LONGEST_DELAY_FOR_SAVES: Milliseconds = 150
/** How many instances request the events of a store; a store accepts few waiting requests at once. */
const FOLLOWERS = 5
/** Most events of a store kept for other instances. Beyond it the oldest are dropped, and their parts may be saved twice. */
const MAXIMUM_UNSENT_EVENTS = 200
/** Longest time that an update from another instance is assumed to have been in transit. */
const RELAY_MARGIN: Milliseconds = 150
/** Share of a store's capacity up to which parts are saved to it. */
const MAXIMUM_FILL_SHARE = 0.97

/** One event of a store: a part became complete, or was removed. */
export interface StoreEvent {
  isAdded: boolean
  salt: string
  partId: string
  tokens: number
}

/** An answer of a store: its events since the previous request, or the list of everything it holds. */
export interface StoreAnswer {
  /** Identifies one run of the store; changes with each restart. */
  epoch: number
  /** Position from which to request the next events. */
  next: number
  events: readonly StoreEvent[]
  /** Whether events were lost, so that the whole list has to be requested. */
  isIncomplete: boolean
  /** Time of the clock that replicas and stores share, in milliseconds; undefined where the answer carries none. */
  clock: Milliseconds | undefined
}

/** What an instance that follows a store sends to the other instances about the store's answers. */
export interface StoreUpdate {
  address: string
  epoch: number
  /** How long ago the request for the store's last answer was sent. */
  age: Milliseconds
  events: StoreEvent[]
}

/** Parts that a store holds in one epoch. */
export interface StorePartList {
  epoch: number
  parts: [salt: string, partId: string][]
}

interface KnownStore {
  description: CacheStoreDescription
  epoch: number | undefined
  next: number
  isListed: boolean
  /** Whether the last answer was reported by another instance. */
  isRelayed: boolean
  answeredAt: Milliseconds
  savesAllowedFrom: Milliseconds
  /** Events from the store itself that were not yet sent to the other instances. */
  unsentEvents: StoreEvent[]
  usedTokens: number
  delay: DecayingAverage
  /** Tokens of each part, by key. */
  parts: Map<string, number>
  /** When each part was last sent to be saved, by key; oldest first. */
  saves: Map<string, Milliseconds>
}

/** The recorded state of all configured stores. */
export class StoredParts implements PartStores {
  private readonly _stores = new Map<string, KnownStore>()
  private readonly _baselineExcess = new DecayingAverage()
  private readonly _excesses = new Map<string, { sum: Milliseconds, count: number }>()
  private _clockOffset: Milliseconds | undefined
  private _fetchesAllowedFrom: Milliseconds = -Infinity

  /** Sets the configured stores. The recorded state of stores that stay is retained, and that of others dropped. */
  configure (descriptions: readonly CacheStoreDescription[]): void {
    const addresses = new Set(descriptions.map(({ address }) => address))
    for (const address of this._stores.keys()) if (!addresses.has(address)) this._stores.delete(address)
    for (const description of descriptions) {
      const known = this._stores.get(description.address)
      if (known !== undefined) known.description = description
      else this._stores.set(description.address, emptyStore(description))
    }
  }

  /** Addresses of the stores. */
  get addresses (): string[] {
    return [...this._stores.keys()]
  }

  /** What to request from a store next: its whole list, or its events since `next`. */
  nextRequest (address: string): { isListNeeded: boolean, next: number } {
    const store = this._stores.get(address)
    return { isListNeeded: store?.isListed !== true, next: store?.next ?? 0 }
  }

  /**
   * Replaces the recorded parts of a store by its whole list.
   * @param askedAt when the request was sent
   */
  onList (address: string, answer: StoreAnswer, askedAt: Milliseconds, now: Milliseconds): void {
    const store = this._stores.get(address)
    if (store === undefined) return
    this._updateEpoch(store, answer.epoch, now)
    store.parts.clear()
    store.usedTokens = 0
    store.isListed = true
    this._recordAnswer(store, answer, askedAt, now)
  }

  /**
   * Records events that a store reported.
   * @param askedAt when the request was sent
   */
  onEvents (address: string, answer: StoreAnswer, askedAt: Milliseconds, now: Milliseconds): void {
    const store = this._stores.get(address)
    if (store === undefined) return
    this._updateEpoch(store, answer.epoch, now)
    if (answer.isIncomplete) store.isListed = false
    store.unsentEvents = [...store.unsentEvents, ...answer.events].slice(-MAXIMUM_UNSENT_EVENTS)
    this._recordAnswer(store, answer, askedAt, now)
  }

  /**
   * Whether an instance requests the events of a store itself: the first few by rendezvous do, and so does any instance that
   * has no list of the store once others reported that it answers. So a store that does not answer yet is not tried by the whole
   * fleet.
   * @param instances names of the live instances, this one included
   */
  isFollower (address: string, instance: string, instances: readonly string[]): boolean {
    const store = this._stores.get(address)
    const isListMissing = store?.isListed === false && store.epoch !== undefined
    return isListMissing || rankByRendezvous(address, instances).slice(0, FOLLOWERS).includes(instance)
  }

  /** Returns and clears the updates for the other instances about the stores that this instance follows. */
  takeUpdates (now: Milliseconds): StoreUpdate[] {
    const updates: StoreUpdate[] = []
    for (const [address, store] of this._stores) {
      const age = now - store.answeredAt
      if (store.epoch === undefined || store.isRelayed || age > STORE_STATE_LIFETIME) continue
      updates.push({ address, epoch: store.epoch, age, events: store.unsentEvents })
      store.unsentEvents = []
    }
    return updates
  }

  /** Records an update from an instance that follows the store. */
  onUpdate ({ address, epoch, age, events }: StoreUpdate, now: Milliseconds): void {
    const store = this._stores.get(address)
    const answeredAt = now - age - RELAY_MARGIN
    if (store === undefined || (store.epoch !== epoch && answeredAt <= store.answeredAt)) return
    this._updateEpoch(store, epoch, now)
    this._applyEvents(store, events)
    if (answeredAt <= store.answeredAt) return
    store.answeredAt = answeredAt
    store.isRelayed = true
  }

  /** Stops using the recorded state of every store until the store answers again. Call it after a pause of this process. */
  invalidateAll (): void {
    for (const store of this._stores.values()) store.answeredAt = -Infinity
  }

  /** Records that other workspaces share parts from now on. */
  onSharingChanged (now: Milliseconds): void {
    this._fetchesAllowedFrom = now + FETCH_PAUSE_AFTER_CHANGE
  }

  /** Converts a time of this instance's clock to the stores' clock; undefined until a store has reported it. */
  storeClockAt (time: Milliseconds): Milliseconds | undefined {
    return this._clockOffset === undefined ? undefined : Math.floor(time + this._clockOffset)
  }

  /** A store from which a part can be fetched, preferably one in the zone. */
  sourceOf (salt: string, partId: string, zone: string, now: Milliseconds): PartSource | undefined {
    if (now < this._fetchesAllowedFrom) return undefined
    const key = keyOf(salt, partId)
    let best: PartSource | undefined
    for (const [address, store] of this._stores) {
      const validUntil = store.answeredAt + STORE_STATE_LIFETIME
      if (this._clockOffset === undefined || !store.isListed || now >= validUntil || !store.parts.has(key)) continue
      const { zone: storeZone, linkMegabitsPerSecond, firstDelay } = store.description
      const source = { address, zone: storeZone, validUntil, delay: this._delayOf(store, now), linkMegabitsPerSecond, firstDelay }
      if (best === undefined || (best.zone !== zone && source.zone === zone)) best = source
    }
    return best
  }

  /** Address of the store to save a part to; undefined where a store holds it or is saving it, or no store accepts it. */
  saveTargetOf (salt: string, part: PromptPart, now: Milliseconds): string | undefined {
    const key = keyOf(salt, part.id)
    let best: { address: string, weight: number } | undefined
    for (const [address, store] of this._stores) {
      if (store.parts.has(key)) return undefined
      const savedAt = store.saves.get(key)
      if (savedAt !== undefined && now - savedAt < SAVE_INTERVAL) return undefined
      const isEligible = store.description.isManaged && this._acceptsSaves(store, part.tokens, now)
      if (!isEligible) continue
      const weight = rendezvousWeight(`${key}|${address}`, store.description.capacityTokens)
      if (best === undefined || weight > best.weight) best = { address, weight }
    }
    return best?.address
  }

  /** Records that a request to save a part is being sent. */
  onSave (address: string, salt: string, partId: string, now: Milliseconds): void {
    const store = this._stores.get(address)
    if (store === undefined) return
    const key = keyOf(salt, partId)
    store.saves.delete(key)
    store.saves.set(key, now)
    for (const [oldKey, at] of store.saves) {
      if (now - at < SAVE_INTERVAL) break
      store.saves.delete(oldKey)
    }
  }

  /** Records that a request of this instance that fetched from the store waited `excess` longer than predicted. */
  onFetched (address: string, excess: Milliseconds, now: Milliseconds): void {
    this.onReportedFetches(address, excess, now)
    const sample = this._excesses.get(address) ?? { sum: 0, count: 0 }
    this._excesses.set(address, { sum: sample.sum + excess, count: sample.count + 1 })
  }

  /** Records the mean excess that another instance reported for its fetches from the store. */
  onReportedFetches (address: string, excess: Milliseconds, now: Milliseconds): void {
    this._stores.get(address)?.delay.add(excess, now)
  }

  /** Returns and clears the mean excess of this instance's fetches, by store, to be sent to the other instances. */
  takeFetchSamples (): [address: string, excess: Milliseconds][] {
    const samples = [...this._excesses].map(([address, { sum, count }]): [string, number] => [address, Math.round(sum / count)])
    this._excesses.clear()
    return samples
  }

  /** Records that a request without any fetch waited `excess` longer than predicted. */
  onRequestWithoutFetch (excess: Milliseconds, now: Milliseconds): void {
    this._baselineExcess.add(excess, now)
  }

  /** The parts of a store whose salt `isChosen` accepts, to be freed; undefined while the store's contents are unknown. */
  partsOf (address: string, isChosen: (salt: string) => boolean): StorePartList | undefined {
    const store = this._stores.get(address)
    if (store?.epoch === undefined || !store.isListed) return undefined
    const parts: [string, string][] = []
    for (const key of store.parts.keys()) {
      const separator = key.lastIndexOf('|')
      const salt = key.slice(0, separator)
      if (isChosen(salt)) parts.push([salt, key.slice(separator + 1)])
    }
    return { epoch: store.epoch, parts }
  }

  private _acceptsSaves (store: KnownStore, tokens: number, now: Milliseconds): boolean {
    const isKnown = store.isListed && now - store.answeredAt < STORE_STATE_LIFETIME && now >= store.savesAllowedFrom
    const hasRoom = store.usedTokens + tokens <= store.description.capacityTokens * MAXIMUM_FILL_SHARE
    return isKnown && hasRoom && this._delayOf(store, now) < LONGEST_DELAY_FOR_SAVES
  }

  /**
   * How much longer fetches from a store take than usual. Under overload all requests wait longer than predicted, so a store
   * is compared with requests without a fetch and with the lower median of the stores' delays.
   */
  private _delayOf (store: KnownStore, now: Milliseconds): Milliseconds {
    const delays = [...this._stores.values()].map(({ delay }) => delay.value(now)).filter(delay => delay > 0)
    const median = delays.length > 1 ? delays.sort((left, right) => left - right)[Math.floor((delays.length - 1) / 2)] ?? 0 : 0
    return Math.max(0, store.delay.value(now) - Math.max(median, this._baselineExcess.value(now)))
  }

  private _updateEpoch (store: KnownStore, epoch: number, now: Milliseconds): void {
    if (store.epoch === epoch) return
    store.epoch = epoch
    store.parts.clear()
    store.saves.clear()
    store.usedTokens = 0
    store.isListed = false
    store.next = 0
    store.savesAllowedFrom = now + SAVE_PAUSE_AFTER_RESTART
  }

  private _recordAnswer (store: KnownStore, answer: StoreAnswer, askedAt: Milliseconds, now: Milliseconds): void {
    this._applyEvents(store, answer.events)
    store.next = answer.next
    store.isRelayed = false
    // The answer reflects the store at some unknown time after the request was sent; only the time of sending is safe.
    store.answeredAt = askedAt
    if (answer.clock !== undefined) this._clockOffset = answer.clock - now
  }

  private _applyEvents (store: KnownStore, events: readonly StoreEvent[]): void {
    for (const { isAdded, salt, partId, tokens } of events) {
      const key = keyOf(salt, partId)
      store.usedTokens -= store.parts.get(key) ?? 0
      store.parts.delete(key)
      if (!isAdded) continue
      store.parts.set(key, tokens)
      store.usedTokens += tokens
    }
  }
}

function emptyStore (description: CacheStoreDescription): KnownStore {
  return {
    description,
    epoch: undefined,
    next: 0,
    isListed: false,
    isRelayed: false,
    answeredAt: -Infinity,
    savesAllowedFrom: Infinity,
    unsentEvents: [],
    usedTokens: 0,
    delay: new DecayingAverage(),
    parts: new Map(),
    saves: new Map()
  }
}

/** Weighted rendezvous hashing: each store gets parts in proportion to its capacity. */
function rendezvousWeight (key: string, capacity: number): number {
  const sample = (placementHash(key) + 0.5) / 4_294_967_296
  return -capacity / Math.log(sample)
}

function keyOf (salt: string, partId: string): string {
  return `${salt}|${partId}`
}
