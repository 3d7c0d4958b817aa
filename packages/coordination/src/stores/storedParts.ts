/**
 * Which prompt parts the cache stores hold complete, from the events that each store tells.
 *
 * A store that restarts holds nothing, and may then hold a part that is still being written. So a belief counts only for a
 * short time after the store last answered, each fetch is bounded by that time, and nothing is saved to a restarted store
 * before every instance's older beliefs and fetches have ended.
 */
import { placementHash, rankByRendezvous, type Milliseconds } from '../common/index.js'
import type { CacheStoreDescription } from '../catalog/index.js'
import { FadingAverage } from './fadingAverage.js'
import type { PartSource, PartStores, PromptPart } from '../dispatch/index.js'

/** Beliefs about a store count for this long after its last answer. */
export const BELIEF_LIFETIME: Milliseconds = 1_800
/** Nothing is saved to a store for this long after a new start of it was seen: a belief's life, and the clocks' differences. */
const QUIET_AFTER_RESTART: Milliseconds = 3_000
/** A part that was sent to be saved is not sent again within this time. */
const SAVE_INTERVAL: Milliseconds = 2_500
/** A save to a slower store would hold up the replica's other transfers. */
const LONGEST_DELAY_FOR_SAVES: Milliseconds = 150
/** Instances that ask a store for its events; a store holds few questions at once. */
const FOLLOWERS = 5
/** Most events that wait to be told; the oldest go first, and their parts may be saved twice. */
const MAXIMUM_NEWS = 200
/** What news may have taken to arrive. */
const RELAY_MARGIN: Milliseconds = 150
/** Parts are saved up to this share of a store. */
const FILL_SHARE = 0.97

/** One event of a store: a part is complete, or it is gone. */
export interface StoreEvent {
  isAdded: boolean
  salt: string
  partId: string
  tokens: number
}

/** What a store answers: its events since the last time, or all that it holds. */
export interface StoreAnswer {
  /** Changes with each start of the store. */
  epoch: number
  /** Where the next question begins. */
  next: number
  events: readonly StoreEvent[]
  /** Whether events are missing, so that the whole list has to be asked for. */
  isIncomplete: boolean
  /** The replicas' and stores' common clock. */
  clock: Milliseconds | undefined
}

/** What an instance that asks a store tells the others of its answers. */
export interface StoreNews {
  address: string
  epoch: number
  /** How long ago the store was asked for its last answer. */
  age: Milliseconds
  events: StoreEvent[]
}

/** Parts that a store holds while it is in an epoch. */
export interface StoreParts {
  epoch: number
  parts: [salt: string, partId: string][]
}

interface KnownStore {
  description: CacheStoreDescription
  epoch: number | undefined
  next: number
  isListed: boolean
  /** Whether the last answer was told by another instance. */
  isRelayed: boolean
  answeredAt: Milliseconds
  savesFrom: Milliseconds
  /** Events of direct answers that the other instances were not told yet. */
  news: StoreEvent[]
  usedTokens: number
  delay: FadingAverage
  /** Key to tokens. */
  parts: Map<string, number>
  /** Key to when it was last sent to be saved. */
  saves: Map<string, Milliseconds>
}

/** Holds the beliefs about all stores. */
export class StoredParts implements PartStores {
  private readonly _stores = new Map<string, KnownStore>()
  private readonly _usualExcess = new FadingAverage()
  private readonly _samples = new Map<string, { sum: Milliseconds, count: number }>()
  private _clockOffset: Milliseconds | undefined

  /** Takes the configured stores. */
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

  /** What to ask a store next: its whole list, or its events since `next`. */
  question (address: string): { isListNeeded: boolean, next: number } {
    const store = this._stores.get(address)
    return { isListNeeded: store?.isListed !== true, next: store?.next ?? 0 }
  }

  /** Takes the store's whole list. */
  onList (address: string, answer: StoreAnswer, askedAt: Milliseconds, now: Milliseconds): void {
    const store = this._stores.get(address)
    if (store === undefined) return
    this._noteEpoch(store, answer.epoch, now)
    store.parts.clear()
    store.usedTokens = 0
    store.isListed = true
    this._takeEvents(store, answer, askedAt, now)
  }

  /** Takes events. */
  onEvents (address: string, answer: StoreAnswer, askedAt: Milliseconds, now: Milliseconds): void {
    const store = this._stores.get(address)
    if (store === undefined) return
    this._noteEpoch(store, answer.epoch, now)
    if (answer.isIncomplete) store.isListed = false
    store.news = [...store.news, ...answer.events].slice(-MAXIMUM_NEWS)
    this._takeEvents(store, answer, askedAt, now)
  }

  /**
   * Whether an instance asks a store itself: the first ones by rendezvous do, and any that has no list of it once others have
   * told that it answers. A store that does not answer yet is not tried by the whole fleet.
   * @param instances names of the live instances, this one included
   */
  asks (address: string, instance: string, instances: readonly string[]): boolean {
    const store = this._stores.get(address)
    const isListMissing = store?.isListed === false && store.epoch !== undefined
    return isListMissing || instances.length <= FOLLOWERS || rankByRendezvous(address, instances).indexOf(instance) < FOLLOWERS
  }

  /** What to tell the other instances of the stores that were asked since the last time. */
  takeNews (now: Milliseconds): StoreNews[] {
    const news: StoreNews[] = []
    for (const [address, store] of this._stores) {
      const age = now - store.answeredAt
      if (store.epoch === undefined || store.isRelayed || age > BELIEF_LIFETIME) continue
      news.push({ address, epoch: store.epoch, age, events: store.news })
      store.news = []
    }
    return news
  }

  /** Takes what another instance tells of a store that it asks. */
  onNews ({ address, epoch, age, events }: StoreNews, now: Milliseconds): void {
    const store = this._stores.get(address)
    const answeredAt = now - age - RELAY_MARGIN
    if (store === undefined || (store.epoch !== epoch && answeredAt <= store.answeredAt)) return
    this._noteEpoch(store, epoch, now)
    this._applyEvents(store, events)
    if (answeredAt <= store.answeredAt) return
    store.answeredAt = answeredAt
    store.isRelayed = true
  }

  /** This process stood still: what it believes of the stores counts again once each was asked anew. */
  doubtAll (): void {
    for (const store of this._stores.values()) store.answeredAt = -Infinity
  }

  /** The stores' clock at a time of this instance's clock; undefined until a store has told it. */
  storeClockAt (time: Milliseconds): Milliseconds | undefined {
    return this._clockOffset === undefined ? undefined : Math.floor(time + this._clockOffset)
  }

  /** Where a part can be fetched from, preferably in the zone. */
  sourceOf (salt: string, partId: string, zone: string, now: Milliseconds): PartSource | undefined {
    const key = keyOf(salt, partId)
    let best: PartSource | undefined
    for (const [address, store] of this._stores) {
      const validUntil = store.answeredAt + BELIEF_LIFETIME
      if (this._clockOffset === undefined || !store.isListed || now >= validUntil || !store.parts.has(key)) continue
      const { zone: storeZone, linkMegabitsPerSecond, firstDelay } = store.description
      const source = { address, zone: storeZone, validUntil, delay: this._delayOf(store, now), linkMegabitsPerSecond, firstDelay }
      if (best === undefined || (best.zone !== zone && source.zone === zone)) best = source
    }
    return best
  }

  /** The store that a part should be saved to, or undefined where one holds it, one was asked to, or none has room. */
  saveTargetOf (salt: string, part: PromptPart, now: Milliseconds): string | undefined {
    const key = keyOf(salt, part.id)
    let best: { address: string, weight: number } | undefined
    for (const [address, store] of this._stores) {
      if (store.parts.has(key)) return undefined
      const savedAt = store.saves.get(key)
      if (savedAt !== undefined && now - savedAt < SAVE_INTERVAL) return undefined
      const isOpen = store.description.isManaged && this._takesSaves(store, part.tokens, now)
      if (!isOpen) continue
      const weight = rendezvousWeight(`${key}|${address}`, store.description.capacityTokens)
      if (best === undefined || weight > best.weight) best = { address, weight }
    }
    return best?.address
  }

  /** A request that saves a part is being sent. */
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

  /** A request that fetched from the store waited for `excess` more than was predicted. */
  onFetched (address: string, excess: Milliseconds, now: Milliseconds): void {
    this.onFetchedElsewhere(address, excess, now)
    const sample = this._samples.get(address) ?? { sum: 0, count: 0 }
    this._samples.set(address, { sum: sample.sum + excess, count: sample.count + 1 })
  }

  /** The same, as another instance told. */
  onFetchedElsewhere (address: string, excess: Milliseconds, now: Milliseconds): void {
    this._stores.get(address)?.delay.add(excess, now)
  }

  /** The mean excess of this instance's own fetches since the last time, by store, to be told to the others. */
  takeFetchSamples (): [address: string, excess: Milliseconds][] {
    const samples = [...this._samples].map(([address, { sum, count }]): [string, number] => [address, Math.round(sum / count)])
    this._samples.clear()
    return samples
  }

  /** A request without any fetch waited for `excess` more than was predicted. */
  onUnfetched (excess: Milliseconds, now: Milliseconds): void {
    this._usualExcess.add(excess, now)
  }

  /** The parts of a store whose salt is chosen, for freeing; undefined while what it holds is not known. */
  partsOf (address: string, isChosen: (salt: string) => boolean): StoreParts | undefined {
    const store = this._stores.get(address)
    if (store?.epoch === undefined || !store.isListed) return undefined
    const parts: [string, string][] = []
    for (const key of store.parts.keys()) {
      const bar = key.lastIndexOf('|')
      const salt = key.slice(0, bar)
      if (isChosen(salt)) parts.push([salt, key.slice(bar + 1)])
    }
    return { epoch: store.epoch, parts }
  }

  private _takesSaves (store: KnownStore, tokens: number, now: Milliseconds): boolean {
    const isKnown = store.isListed && now - store.answeredAt < BELIEF_LIFETIME && now >= store.savesFrom
    const hasRoom = store.usedTokens + tokens <= store.description.capacityTokens * FILL_SHARE
    return isKnown && hasRoom && this._delayOf(store, now) < LONGEST_DELAY_FOR_SAVES
  }

  /**
   * How much longer a store's fetches take than others. Under overload all requests wait longer than predicted, so a store
   * is compared with requests without a fetch and with the faster half of the stores.
   */
  private _delayOf (store: KnownStore, now: Milliseconds): Milliseconds {
    const delays = [...this._stores.values()].map(({ delay }) => delay.value(now)).filter(delay => delay > 0)
    const usual = delays.length > 1 ? delays.sort((left, right) => left - right)[Math.floor((delays.length - 1) / 2)] ?? 0 : 0
    return Math.max(0, store.delay.value(now) - Math.max(usual, this._usualExcess.value(now)))
  }

  private _noteEpoch (store: KnownStore, epoch: number, now: Milliseconds): void {
    if (store.epoch === epoch) return
    store.epoch = epoch
    store.parts.clear()
    store.saves.clear()
    store.usedTokens = 0
    store.isListed = false
    store.next = 0
    store.savesFrom = now + QUIET_AFTER_RESTART
  }

  private _takeEvents (store: KnownStore, answer: StoreAnswer, askedAt: Milliseconds, now: Milliseconds): void {
    this._applyEvents(store, answer.events)
    store.next = answer.next
    store.isRelayed = false
    // The store answered at some time after it was asked; only the earlier time is safe.
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
    savesFrom: Infinity,
    news: [],
    usedTokens: 0,
    delay: new FadingAverage(),
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
