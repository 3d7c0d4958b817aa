/**
 * Rates that replicas state for all instances together. Every instance can keep to a rate by itself and the sum still breaks
 * it, so each rate is held by few owners, whom all instances find by rendezvous over the same names. An instance that
 * another one cannot hear keeps its place among the names; an unused share costs less than one that is used twice.
 */
import { MILLISECONDS_PER_SECOND, placementHash, rankByRendezvous, type Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'
import { RatePacer } from './ratePacer.js'
import { replicaRunOf } from './replicaNotices.js'

/** Requests a second. */
export type RequestRate = number

/** What an instance tells others of a statement that it heard itself. */
export interface StatedLimit {
  run: string
  /** Undefined where the replica states a limit no longer. */
  rate: RequestRate | undefined
  /** How long ago the answer came. */
  heardAge: Milliseconds
  /** How long ago the request was sent that was answered so. */
  sentAge: Milliseconds
}

/** How a belief changed. */
export type LimitChange = 'stated' | 'changed' | 'ended'

interface Statement {
  rate: RequestRate | undefined
  heardAt: Milliseconds
  sentAt: Milliseconds
}

interface LimitedRun {
  statement: Statement
  /** The last answer to this instance itself. */
  own: Statement | undefined
  /** This instance's share of the rate. */
  pacer: RatePacer
  /** The names that the share was made for. */
  instances: readonly string[] | undefined
  rate: RequestRate | undefined
  nextTrialAt: Milliseconds
}

/** Owners beyond one for each request a second, so that the loss of one costs part of a low rate only. */
const FURTHER_OWNERS = 2
/** An owner may send the requests of this time at once, and never fewer than these, since callers do not come evenly. */
const BURST_TIME: Milliseconds = 1_000
const SMALLEST_BURST = 1.5
/** Heartbeats may be lost. */
const NEWS_LIFETIME: Milliseconds = 3_000
/** What heartbeats may take to arrive; the ages that they tell are too short by as much. */
const NEWS_MARGIN: Milliseconds = 1_000
/** Most statements in one heartbeat, the latest first. */
const MAXIMUM_NEWS = 32
/** An end is remembered for as long as others may still tell of the limit. */
const ENDED_KEPT: Milliseconds = 15_000
/** A limit that nobody was answered about for so long may have ended, so that it is tried. */
const SHORTEST_STALENESS: Milliseconds = 10_000
/** The same in intervals of the rate. */
const STALE_INTERVALS = 3
/** Part of the rate that all instances together try it with, since its owners may be at work unheard. */
const TRIAL_SHARE = 0.25
/** The same of a replica that takes nothing, or hardly anything. */
const SLOWEST_TRIAL_RATE: RequestRate = 0.1
/** Most runs of replicas that are remembered. */
const MAXIMUM_RUNS = 4_000
const HASH_RANGE = 2 ** 32

/** Holds the statements and this instance's shares. Times are of a clock that counts suspensions. */
export class ReplicaLimits {
  private readonly _runs = new Map<string, LimitedRun>()

  /** @param _self name of this instance */
  constructor (private readonly _self: string) {}

  /**
   * A replica answered this instance.
   * @param rate undefined where the answer states no limit
   * @param sentAt when the request was sent
   */
  onAnswer (replica: Replica, rate: RequestRate | undefined, sentAt: Milliseconds, now: Milliseconds): LimitChange | undefined {
    const run = replicaRunOf(replica)
    const statement = { rate, heardAt: now, sentAt }
    const change = this._take(run, statement, now)
    const limited = this._runs.get(run)
    if (limited?.statement === statement) limited.own = statement
    return change
  }

  /** Another instance told of an answer that it got. */
  hear ({ run, rate, heardAge, sentAge }: StatedLimit, now: Milliseconds): LimitChange | undefined {
    return this._take(run, { rate, heardAt: now - heardAge, sentAt: now - sentAge - NEWS_MARGIN }, now)
  }

  /** What others should be told of now. */
  news (now: Milliseconds): StatedLimit[] {
    const news: StatedLimit[] = []
    for (const [run, { own }] of this._runs) {
      if (own === undefined || now - own.heardAt >= NEWS_LIFETIME) continue
      news.push({ run, rate: own.rate, heardAge: now - own.heardAt, sentAge: now - own.sentAt })
    }
    return news.sort((left, right) => left.heardAge - right.heardAge).slice(0, MAXIMUM_NEWS)
  }

  /** Whether no replica ever stated a limit. */
  get isEmpty (): boolean {
    return this._runs.size === 0
  }

  /** The rate that the replica states, as far as this instance knows. */
  rateOf (replica: Replica): RequestRate | undefined {
    return this._runs.get(replicaRunOf(replica))?.statement.rate
  }

  /**
   * When this instance may send the replica its next request; at or before `now` where it may at once.
   * @param instances names of all instances that may be at work, this one included; undefined while they are not known
   */
  nextPlaceAt (replica: Replica, instances: readonly string[] | undefined, now: Milliseconds): Milliseconds {
    const limited = this._runs.get(replicaRunOf(replica))
    if (limited === undefined || limited.statement.rate === undefined) return -Infinity
    if (instances === undefined) return Infinity
    this._share(limited, limited.statement.rate, replica, instances, now)
    return Math.min(limited.pacer.nextAt, limited.nextTrialAt)
  }

  /** Takes the place that comes next, and gives when the request may be sent: now, or later. */
  takePlace (replica: Replica, instances: readonly string[] | undefined, now: Milliseconds): Milliseconds {
    const placeAt = this.nextPlaceAt(replica, instances, now)
    const limited = this._runs.get(replicaRunOf(replica))
    if (limited === undefined || limited.statement.rate === undefined || instances === undefined) return now
    if (limited.nextTrialAt < limited.pacer.nextAt) {
      limited.nextTrialAt = Math.max(now, placeAt) + trialInterval(limited, instances)
    } else {
      limited.pacer.take(now)
    }
    return Math.max(now, placeAt)
  }

  private _take (run: string, statement: Statement, now: Milliseconds): LimitChange | undefined {
    const limited = this._runs.get(run)
    if (limited === undefined) {
      if (statement.rate === undefined) return undefined
      this._add(run, statement, now)
      return 'stated'
    }
    if (!replaces(limited.statement, statement)) return undefined
    const before = limited.statement.rate
    limited.statement = statement
    limited.nextTrialAt = Infinity
    if (before === statement.rate) return undefined
    // A limit that begins anew finds its allowance used up.
    if (statement.rate === undefined) limited.pacer = new RatePacer()
    limited.instances = undefined
    return before === undefined ? 'stated' : statement.rate === undefined ? 'ended' : 'changed'
  }

  private _add (run: string, statement: Statement, now: Milliseconds): void {
    for (const [known, { statement: { rate, heardAt } }] of this._runs) {
      if (rate === undefined && now - heardAt > ENDED_KEPT) this._runs.delete(known)
    }
    if (this._runs.size >= MAXIMUM_RUNS) {
      const oldest = this._runs.keys().next()
      if (oldest.done !== true) this._runs.delete(oldest.value)
    }
    this._runs.set(run, {
      statement, own: undefined, pacer: new RatePacer(), instances: undefined, rate: undefined, nextTrialAt: Infinity
    })
  }

  private _share (
    limited: LimitedRun, rate: RequestRate, replica: Replica, instances: readonly string[], now: Milliseconds
  ): void {
    if (limited.instances !== instances || limited.rate !== rate) {
      limited.instances = instances
      limited.rate = rate
      const owners = Math.min(instances.length, Math.floor(rate) + FURTHER_OWNERS)
      const isOwner = rate > 0 && isAmongFirst(this._self, replicaRunOf(replica), instances, owners)
      const interval = isOwner ? owners * MILLISECONDS_PER_SECOND / rate : Infinity
      limited.pacer.configure(interval, Math.max(SMALLEST_BURST, BURST_TIME / interval), now)
    }
    const sendInterval = MILLISECONDS_PER_SECOND / Math.max(rate, SLOWEST_TRIAL_RATE)
    const staleAt = limited.statement.heardAt + Math.max(SHORTEST_STALENESS, STALE_INTERVALS * sendInterval)
    if (now < staleAt || Number.isFinite(limited.nextTrialAt)) return
    // Instances begin at times of their own, so that together they keep to the rate.
    const phase = placementHash(`${replicaRunOf(replica)}|${this._self}`) % HASH_RANGE / HASH_RANGE
    limited.nextTrialAt = now + phase * trialInterval(limited, instances)
  }
}

function trialInterval ({ statement: { rate = 0 } }: LimitedRun, instances: readonly string[]): Milliseconds {
  return instances.length * MILLISECONDS_PER_SECOND / Math.max(rate * TRIAL_SHARE, SLOWEST_TRIAL_RATE)
}

function isAmongFirst (self: string, key: string, names: readonly string[], count: number): boolean {
  return names.length <= count || rankByRendezvous(key, names).slice(0, count).includes(self)
}

/**
 * Answers overtake each other, and so do the instances that tell of them. A looser statement counts only where its request
 * was sent after the current one was heard, since the replica may have answered it before.
 */
function replaces (current: Statement, next: Statement): boolean {
  const isLooser = (next.rate ?? Infinity) > (current.rate ?? Infinity)
  return isLooser ? next.sentAt >= current.heardAt : next.heardAt > current.heardAt
}
