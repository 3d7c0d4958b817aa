/**
 * Which instances of a large fleet place work. In each data centre a few instances, the active ones, are named to callers and
 * place nearly all requests; the others stand by, and serve whoever connects. For fleets of many instances with far less load
 * than they could carry, in which every instance would otherwise exchange loads with every other one.
 */
import { placementHash, type Milliseconds } from '../common/index.js'
import type { FrontRecord, Heartbeat } from './messages.js'

/** The most addresses in one answer of the directory. Up to this many instances, all of them are active. */
export const MAXIMUM_ADDRESSES = 64
/** Callers of a data centre have another instance to connect to after the loss of any two. */
const MINIMUM_NAMED = 3
/** One more than the directory names, so that the loss of one instance does not change which are active elsewhere. */
const MINIMUM_ACTIVE = 4
/** Callers choose one address at random, so that an instance much smaller than the others would get as much work as they. */
const STRONG_SHARE = 0.25
/** So many large instances are named alone: callers who lose both ask again, and are then told of smaller ones. */
const MINIMUM_STRONG = 2
/** The set grows if an active instance uses more than this share of its machine: the rest is for bursts and for losses. */
const GROWTH_UTILIZATION = 0.6
/** The set shrinks if all active instances together use less than this share of their machines. */
const SHRINK_UTILIZATION = 0.25
const GROWTH_FACTOR = 1.5
/** Callers follow a larger set within some seconds; growth before they do would overshoot. */
const GROWTH_INTERVAL: Milliseconds = 3_000
/** Callers keep an answer for up to 15 s. */
const SHRINK_INTERVAL: Milliseconds = 20_000
/** Heartbeats repeat a report; after this time it is out of date. */
const REPORT_LIFETIME: Milliseconds = 4_000
/** A peer without a load for this long does not place work any more. */
const PLACING_LIFETIME: Milliseconds = 3_000
/** The set of active instances is determined again after this time: decisions ask for it far more often than it changes. */
const RECOMPUTE_INTERVAL: Milliseconds = 100

/** What the ranking takes from an instance. */
export type RankedInstance = Pick<FrontRecord, 'name' | 'zone' | 'capacity'>

/** Size of a machine, as the settings state it. */
export interface MachineSize {
  /** Processor cores that the process may use. */
  cores?: number | undefined
  linkMegabitsPerSecond?: number | undefined
}

/** Traffic that a core can serve: about 1 ms of processor time for a request with some 12 KB in each direction. */
const MEGABITS_PER_CORE = 100

/** The traffic in Mbit/s that a machine can serve by its scarcest resource; 0 where nothing is known of it. */
export function capacityOf ({ cores, linkMegabitsPerSecond }: MachineSize): number {
  const capacity = Math.min(cores === undefined ? Infinity : cores * MEGABITS_PER_CORE, linkMegabitsPerSecond ?? Infinity)
  return Number.isFinite(capacity) && capacity > 0 ? Math.round(capacity * 100) / 100 : 0
}

/** The instances by capacity, largest first, and those of the same capacity by a hash of their names, on which all agree. */
export function rankInstances<Instance extends RankedInstance> (instances: readonly Instance[]): Instance[] {
  const ranked = instances.map(instance => (
    { instance, capacity: instance.capacity ?? -1, weight: placementHash(`active|${instance.name}`) }))
  ranked.sort((left, right) => {
    if (left.capacity !== right.capacity) return right.capacity - left.capacity
    if (left.weight !== right.weight) return right.weight - left.weight
    return left.instance.name < right.instance.name ? -1 : 1
  })
  return ranked.map(({ instance }) => instance)
}

/**
 * The active instances of a data centre that one answer of the directory names: those with a capacity near the largest and, where
 * there are fewer than two of these, as many of the others as are missing to the minimum, in turn.
 * @param ranked the active instances, as `rankInstances` returns them
 * @param turn number of the answer
 */
export function namedInstances<Instance extends RankedInstance> (ranked: readonly Instance[], turn: number): Instance[] {
  const strong = ranked.filter(({ capacity = 0 }) => capacity >= STRONG_SHARE * (ranked[0]?.capacity ?? 0))
  if (strong.length >= MINIMUM_STRONG) return strong
  const weak = ranked.slice(strong.length)
  const missing = Math.min(weak.length, MINIMUM_NAMED - strong.length)
  const inTurn = Array.from({ length: missing }, (_, index) => weak[(turn * missing + index) % weak.length] as Instance)
  return [...strong, ...inTurn]
}

interface InstanceReport {
  size: number
  utilization: number
  at: Milliseconds
}

/** The active instances of each data centre. The first by rank in a data centre decides on their number there. */
export class ActiveInstances {
  private readonly _reports = new Map<string, InstanceReport>()
  private readonly _placedAt = new Map<string, Milliseconds>()
  private _size = MINIMUM_ACTIVE
  private _utilization = 0
  private _resizedAt: Milliseconds = -Infinity
  private _active: ReadonlySet<string> = new Set()
  private _computedAt: Milliseconds = -Infinity

  constructor (private readonly _self: string) {}

  /** The report of this instance, to be sent to its peers. */
  get report (): NonNullable<Heartbeat['active']> {
    return { size: this._size, utilization: Math.round(this._utilization * 100) / 100 }
  }

  /**
   * Applies what a peer reports.
   * @param placesWork whether requests that it has placed are running
   */
  receive (peer: string, report: Heartbeat['active'], placesWork: boolean, now: Milliseconds): void {
    if (report !== undefined) this._reports.set(peer, { ...report, at: now })
    if (placesWork) this._placedAt.set(peer, now)
  }

  /** Whether requests that a peer has placed were running lately, active or not. */
  placesWork (peer: string, now: Milliseconds): boolean {
    return now - (this._placedAt.get(peer) ?? -Infinity) <= PLACING_LIFETIME
  }

  /**
   * Adapts the number of active instances in this instance's own data centre, if this instance is the first there; otherwise
   * takes over the number that the first one reports. Call it in each interval of the heartbeats.
   * @param near the live and ready instances of the data centre
   * @param utilization share of its machine that this instance uses
   * @returns the new number if it has changed by a decision of this instance
   */
  adapt (near: readonly RankedInstance[], utilization: number, now: Milliseconds): number | undefined {
    this._utilization = utilization
    for (const [name, { at }] of this._reports) if (now - at > REPORT_LIFETIME) this._reports.delete(name)
    for (const name of this._placedAt.keys()) if (!this.placesWork(name, now)) this._placedAt.delete(name)
    const ranked = rankInstances(near)
    if (ranked[0]?.name !== this._self) {
      this._size = this._sizeOf(ranked)
      this._resizedAt = now
      return undefined
    }
    const before = this._size
    this._size = this._adapted(ranked.slice(0, this._size), ranked.length, now)
    if (this._size === before) return undefined
    this._resizedAt = now
    return this._size
  }

  /**
   * Names of the active instances.
   * @param instances returns all live and ready instances, this one included
   */
  names (instances: () => readonly RankedInstance[], now: Milliseconds): ReadonlySet<string> {
    if (now >= this._computedAt && now - this._computedAt < RECOMPUTE_INTERVAL) return this._active
    this._computedAt = now
    this._active = new Set(this.byZone(instances()).flatMap(ranked => ranked.map(({ name }) => name)))
    return this._active
  }

  /** The active instances of each data centre, ranked. */
  byZone<Instance extends RankedInstance> (instances: readonly Instance[]): Instance[][] {
    const zones = new Map<string, Instance[]>()
    for (const instance of instances) {
      const zone = zones.get(instance.zone)
      if (zone === undefined) zones.set(instance.zone, [instance])
      else zone.push(instance)
    }
    return [...zones.values()].map(members => {
      const ranked = rankInstances(members)
      return ranked.slice(0, this._sizeOf(ranked))
    })
  }

  /** Where the first instance has just been lost, the next one knows the number that it decided on. */
  private _sizeOf (ranked: readonly RankedInstance[]): number {
    for (const { name } of ranked) {
      if (name === this._self) return this._size
      const report = this._reports.get(name)
      if (report !== undefined) return Math.max(MINIMUM_ACTIVE, report.size)
    }
    return MINIMUM_ACTIVE
  }

  private _adapted (active: readonly RankedInstance[], available: number, now: Milliseconds): number {
    const used = active.map(({ name, capacity = 0 }) => {
      const utilization = name === this._self ? this._utilization : this._reports.get(name)?.utilization ?? 0
      return { capacity: Math.max(capacity, 1), utilization }
    })
    const isBusy = used.some(({ utilization }) => utilization > GROWTH_UTILIZATION)
    if (isBusy && now - this._resizedAt >= GROWTH_INTERVAL) {
      return Math.max(this._size, Math.min(available, Math.ceil(this._size * GROWTH_FACTOR)))
    }
    const total = used.reduce((sum, { capacity }) => sum + capacity, 0)
    const share = used.reduce((sum, { capacity, utilization }) => sum + capacity * utilization, 0) / Math.max(1, total)
    const isIdle = !isBusy && share < SHRINK_UTILIZATION && now - this._resizedAt >= SHRINK_INTERVAL
    return isIdle ? Math.max(MINIMUM_ACTIVE, this._size - 1) : this._size
  }
}

/**
 * The addresses that one answer of the directory names: active instances of the caller's data centre, and those of others where
 * too few are alive there, or only such that are much smaller than others.
 */
export function namedAddresses (byZone: readonly (readonly FrontRecord[])[], zone: string, turn: number): string[] {
  const near = byZone.filter(active => active[0]?.zone === zone)
  const far = byZone.filter(active => active[0]?.zone !== zone)
  const largest = Math.max(0, ...byZone.map(active => active[0]?.capacity ?? 0))
  const isStrong = ({ capacity = 0 }: FrontRecord): boolean => capacity >= STRONG_SHARE * largest
  const alive = near.flat()
  const named = near.flatMap(active => namedInstances(active, turn))
  if (alive.length >= MINIMUM_NAMED && alive.filter(isStrong).length >= MINIMUM_STRONG) return addressesOf(named)
  const elsewhere = far.flatMap(active => namedInstances(active, turn))
  const strong = [...named, ...elsewhere].filter(isStrong)
  if (strong.length >= MINIMUM_NAMED) return addressesOf(strong)
  return addressesOf(alive.length < MINIMUM_NAMED ? [...named, ...elsewhere] : named)
}

function addressesOf (records: readonly FrontRecord[]): string[] {
  return records.slice(0, MAXIMUM_ADDRESSES).map(({ frontAddress }) => frontAddress)
}
