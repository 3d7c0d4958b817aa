/**
 * Enforces rate limits that replicas state for all instances together. Instances that each kept to the rate could still exceed
 * it in sum, so each rate is divided between a few owners, which all instances determine by rendezvous hashing over the same
 * names. An unreachable instance keeps its place among the names: an unused share costs less than one that is used twice.
 */
import { MILLISECONDS_PER_SECOND, placementHash, rankByRendezvous, type Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'
import { RatePacer } from './ratePacer.js'
import { replicaRunOf } from './replicaNotices.js'

/** Requests per second. */
export type RequestRate = number

/** An update sent to other instances about a limit that a replica stated to this instance. */
export interface LimitUpdate {
  /** The replica's run; see `replicaRunOf`. */
  run: string
  /** Undefined if the replica no longer states a limit. */
  rate: RequestRate | undefined
  /** Time since the answer with the statement was received. */
  heardAge: Milliseconds
  /** Time since the answered request was sent. */
  sentAge: Milliseconds
}

/** How the recorded limit of a replica changed. */
export type LimitChange = 'stated' | 'changed' | 'ended'

/** What one answer of a replica stated; a rate of undefined means no limit. */
interface Statement {
  rate: RequestRate | undefined
  receivedAt: Milliseconds
  sentAt: Milliseconds
}

interface LimitedRun {
  statement: Statement
  /** The last accepted statement that was made to this instance itself; it is reported to the others. */
  ownStatement: Statement | undefined
  /** Paces sends at this instance's share of the rate. */
  pacer: RatePacer
  /** Instances and rate from which the pacer was configured. */
  instances: readonly string[] | undefined
  rate: RequestRate | undefined
  /** When this instance may next send a request that probes a stale limit; Infinity while the limit is not stale. */
  nextProbeAt: Milliseconds
}

/** Owners in addition to one for each request per second, so that losing one owner costs only part of a low rate. */
const ADDITIONAL_OWNERS = 2
/** An owner may send the requests of this time in one burst, and at least the smallest burst, since arrivals are uneven. */
const BURST_TIME: Milliseconds = 1_000
const SMALLEST_BURST = 1.5
/** A statement is repeated in heartbeats for this long, since heartbeats may be lost. */
const UPDATE_LIFETIME: Milliseconds = 3_000
/** Longest delivery delay of a heartbeat; the ages that it carries may be too short by this much. */
const MAXIMUM_HEARTBEAT_DELAY: Milliseconds = 1_000
/** Maximum number of statements in one heartbeat; the latest are sent first. */
const MAXIMUM_UPDATES = 32
/** The end of a limit is retained for as long as other instances may still report the limit. */
const ENDED_LIMIT_RETENTION: Milliseconds = 15_000
/** A limit may have ended if no instance received an answer for this long; it is then stale and is probed. */
const MINIMUM_STALE_AFTER: Milliseconds = 10_000
/** A limit also stays fresh for this many send intervals at its rate. */
const STALE_AFTER_INTERVALS = 3
/** Share of the rate at which all instances together probe a limit, since its owners may be active but unreachable. */
const PROBE_SHARE = 0.25
/** Lowest total probe rate, for replicas that accept few requests or none. */
const MINIMUM_PROBE_RATE: RequestRate = 0.1
/** Maximum number of replica runs retained. */
const MAXIMUM_RUNS = 4_000
const HASH_RANGE = 2 ** 32

/** Stated limits and this instance's shares of them. Times are from a clock that includes time in which the host is suspended. */
export class ReplicaLimits {
  private readonly _runs = new Map<string, LimitedRun>()

  /** @param _self name of this instance */
  constructor (private readonly _self: string) {}

  /**
   * Records the limit stated in a replica's answer to this instance.
   * @param rate undefined if the answer states no limit
   * @param sentAt when the answered request was sent
   */
  onAnswer (replica: Replica, rate: RequestRate | undefined, sentAt: Milliseconds, now: Milliseconds): LimitChange | undefined {
    const run = replicaRunOf(replica)
    const statement = { rate, receivedAt: now, sentAt }
    const change = this._apply(run, statement, now)
    const limited = this._runs.get(run)
    if (limited?.statement === statement) limited.ownStatement = statement
    return change
  }

  /** Applies an update from another instance about an answer that it received. */
  receive ({ run, rate, heardAge, sentAge }: LimitUpdate, now: Milliseconds): LimitChange | undefined {
    return this._apply(run, { rate, receivedAt: now - heardAge, sentAt: now - sentAge - MAXIMUM_HEARTBEAT_DELAY }, now)
  }

  /** Updates to send to the other instances now, latest first. */
  updates (now: Milliseconds): LimitUpdate[] {
    const updates: LimitUpdate[] = []
    for (const [run, { ownStatement }] of this._runs) {
      if (ownStatement === undefined || now - ownStatement.receivedAt >= UPDATE_LIFETIME) continue
      updates.push({
        run, rate: ownStatement.rate, heardAge: now - ownStatement.receivedAt, sentAge: now - ownStatement.sentAt
      })
    }
    return updates.sort((left, right) => left.heardAge - right.heardAge).slice(0, MAXIMUM_UPDATES)
  }

  /** Whether no stated limit is recorded, not even one that has ended. */
  get isEmpty (): boolean {
    return this._runs.size === 0
  }

  /** The rate that the replica states, to this instance's knowledge; undefined if there is no limit. */
  rateOf (replica: Replica): RequestRate | undefined {
    return this._runs.get(replicaRunOf(replica))?.statement.rate
  }

  /**
   * Earliest time at which this instance may send the replica its next request; at or before `now` if it may send at once.
   * @param instances names of all instances that may be active, including this one; undefined while unknown
   */
  nextSendAt (replica: Replica, instances: readonly string[] | undefined, now: Milliseconds): Milliseconds {
    const limited = this._runs.get(replicaRunOf(replica))
    if (limited === undefined || limited.statement.rate === undefined) return -Infinity
    if (instances === undefined) return Infinity
    this._updateShare(limited, limited.statement.rate, replica, instances, now)
    return Math.min(limited.pacer.nextAt, limited.nextProbeAt)
  }

  /** Reserves the next send to the replica and returns when the request may be sent: now, or later. */
  reserveSend (replica: Replica, instances: readonly string[] | undefined, now: Milliseconds): Milliseconds {
    const sendAt = this.nextSendAt(replica, instances, now)
    const limited = this._runs.get(replicaRunOf(replica))
    if (limited === undefined || limited.statement.rate === undefined || instances === undefined) return now
    if (limited.nextProbeAt < limited.pacer.nextAt) {
      limited.nextProbeAt = Math.max(now, sendAt) + probeInterval(limited, instances)
    } else {
      limited.pacer.reserve(now)
    }
    return Math.max(now, sendAt)
  }

  private _apply (run: string, statement: Statement, now: Milliseconds): LimitChange | undefined {
    const limited = this._runs.get(run)
    if (limited === undefined) {
      if (statement.rate === undefined) return undefined
      this._add(run, statement, now)
      return 'stated'
    }
    if (!replaces(limited.statement, statement)) return undefined
    const before = limited.statement.rate
    limited.statement = statement
    limited.nextProbeAt = Infinity
    if (before === statement.rate) return undefined
    // If the limit is stated again later, it starts with its burst allowance used up.
    if (statement.rate === undefined) limited.pacer = new RatePacer()
    limited.instances = undefined
    return before === undefined ? 'stated' : statement.rate === undefined ? 'ended' : 'changed'
  }

  private _add (run: string, statement: Statement, now: Milliseconds): void {
    for (const [known, { statement: { rate, receivedAt } }] of this._runs) {
      if (rate === undefined && now - receivedAt > ENDED_LIMIT_RETENTION) this._runs.delete(known)
    }
    if (this._runs.size >= MAXIMUM_RUNS) {
      const oldest = this._runs.keys().next()
      if (oldest.done !== true) this._runs.delete(oldest.value)
    }
    this._runs.set(run, {
      statement, ownStatement: undefined, pacer: new RatePacer(), instances: undefined, rate: undefined, nextProbeAt: Infinity
    })
  }

  private _updateShare (
    limited: LimitedRun, rate: RequestRate, replica: Replica, instances: readonly string[], now: Milliseconds
  ): void {
    if (limited.instances !== instances || limited.rate !== rate) {
      limited.instances = instances
      limited.rate = rate
      const owners = Math.min(instances.length, Math.floor(rate) + ADDITIONAL_OWNERS)
      const isOwner = rate > 0 && isAmongFirst(this._self, replicaRunOf(replica), instances, owners)
      const interval = isOwner ? owners * MILLISECONDS_PER_SECOND / rate : Infinity
      limited.pacer.configure(interval, Math.max(SMALLEST_BURST, BURST_TIME / interval), now)
    }
    const sendInterval = MILLISECONDS_PER_SECOND / Math.max(rate, MINIMUM_PROBE_RATE)
    const staleAt = limited.statement.receivedAt + Math.max(MINIMUM_STALE_AFTER, STALE_AFTER_INTERVALS * sendInterval)
    if (now < staleAt || Number.isFinite(limited.nextProbeAt)) return
    // Each instance starts probing at a different phase, so that all together keep to the probe rate.
    const phase = placementHash(`${replicaRunOf(replica)}|${this._self}`) % HASH_RANGE / HASH_RANGE
    limited.nextProbeAt = now + phase * probeInterval(limited, instances)
  }
}

/** Interval between the probes of one instance, in milliseconds. */
function probeInterval ({ statement: { rate = 0 } }: LimitedRun, instances: readonly string[]): Milliseconds {
  return instances.length * MILLISECONDS_PER_SECOND / Math.max(rate * PROBE_SHARE, MINIMUM_PROBE_RATE)
}

function isAmongFirst (self: string, key: string, names: readonly string[], count: number): boolean {
  return names.length <= count || rankByRendezvous(key, names).slice(0, count).includes(self)
}

/**
 * Whether a statement replaces the current one. Answers, and updates from other instances about them, may arrive out of order.
 * A higher rate, or the end of a limit, is accepted only if its request was sent after the current statement was received;
 * otherwise the replica may have answered it first.
 */
function replaces (current: Statement, next: Statement): boolean {
  const isLooser = (next.rate ?? Infinity) > (current.rate ?? Infinity)
  return isLooser ? next.sentAt >= current.receivedAt : next.receivedAt > current.receivedAt
}
