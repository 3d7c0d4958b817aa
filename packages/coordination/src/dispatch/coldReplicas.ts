/**
 * Limits what cold replicas get. A replica that has just started accepts only a few requests a second, from all instances
 * together, and crashes well above that rate.
 *
 * Load pattern: replicas crash under traffic and return within about a second, one or a whole data centre of them, while each
 * instance has work waiting and learns of the return at a time of its own. The rate is divided between owners, as that of
 * `ReplicaLimits` is. The bound counts each window of one second, so no owner sends more than its whole number of requests in
 * any second: there are no bursts, and sends to the replica before it was known to be cold count as well.
 */
import { MILLISECONDS_PER_SECOND, rankByRendezvous, type Milliseconds } from '../common/index.js'
import type { Replica, ServiceDescription } from '../catalog/index.js'
import type { RequestRate } from './replicaLimits.js'

/** Why a replica is treated as cold, or why it no longer is. */
export type ColdBasis =
  | 'registration'
  | 'answer'
  /** An answer that another instance received. */
  | 'peer'
  /** A run that has started while this instance was running. */
  | 'new-run'
  /** It may have restarted under its id. */
  | 'restart-suspected'
  | 'evacuation-ended'
  | 'time-over'

/** A replica began or ceased to be treated as cold. */
export interface ColdChange {
  replicaId: string
  isCold: boolean
  basis: ColdBasis
  /** How long the replica counts as cold from now on. */
  left: Milliseconds
}

/** What an answer to another instance stated. */
export interface ColdUpdate {
  replicaId: string
  startedAt: number
  /** 0 if the replica is not cold. */
  left: Milliseconds
  /** Time since the answer was received. */
  heardAge: Milliseconds
  /** Time since the answered request was sent. */
  sentAge: Milliseconds
}

/** This instance's part of a rate: it sends at most one request in each interval. */
interface Share {
  instances: readonly string[]
  rate: RequestRate
  isOwner: boolean
  interval: Milliseconds
}

interface KnownReplica {
  service: string
  startedAt: number
  /** What the registration last stated. */
  registeredLeft: Milliseconds | undefined
  coldUntil: Milliseconds
  /** Whether the start and the end of the present cold time were reported as changes. */
  isReportedCold: boolean
  /** When it was last known or suspected to be cold; older statements don't end that. */
  coldAsOf: Milliseconds
  /** The last send of this instance, also of the time before the replica turned cold, and reserved ones. */
  sentAt: Milliseconds
  share: Share | undefined
  ownStatement: { left: Milliseconds, receivedAt: Milliseconds, sentAt: Milliseconds } | undefined
}

/** Sends are further apart than the bound requires by this factor: a new connection may delay the earlier one. */
const INTERVAL_FACTOR = 1.05
/** A reserved send that is later than this is not made: it would fall into the second of the next one. */
const RESERVATION_TOLERANCE: Milliseconds = 100
/** Registrations may have been written this long before they are read. */
const REGISTRATION_LAG: Milliseconds = 2_000
/** A statement is repeated in heartbeats for this long, since heartbeats may be lost. */
const UPDATE_LIFETIME: Milliseconds = 3_000
/** Longest delivery delay of a heartbeat; the ages that it carries may be too short by this much. */
const MAXIMUM_HEARTBEAT_DELAY: Milliseconds = 1_000
/** Maximum number of statements in one heartbeat; the latest are sent first. */
const MAXIMUM_UPDATES = 32
/** Maximum number of replicas retained; those that are no longer registered are evicted. */
const MAXIMUM_REPLICAS = 4_000

/** Cold replicas and this instance's shares of their rates. Times are from a clock that counts suspensions of the host. */
export class ColdReplicas {
  /** By id: an instance that does not know of a restart yet has the same owners as the others. */
  private readonly _replicas = new Map<string, KnownReplica>()
  private _services = new Map<string, { coldFor: Milliseconds, coldRate: RequestRate }>()
  private _isFirstListing = true
  /** No replica is cold from this time on, as far as is known. */
  private _allWarmAt: Milliseconds = -Infinity
  private _instances: readonly string[] = []
  private _instancesChangedAt: Milliseconds = -Infinity

  /** @param _self name of this instance */
  constructor (private readonly _self: string) {}

  /** Sets the cold times and rates of the services; a service without a rate is never cold. */
  configure (services: readonly ServiceDescription[]): void {
    this._services = new Map(services.flatMap(({ name, coldFor = 0, coldRate = 0 }) => (
      coldRate > 0 ? [[name, { coldFor, coldRate }]] : [])))
  }

  /**
   * Compares a listing of all registered replicas with the last one. Replicas of the first one may have started long ago, so
   * that only their own statements count; later ones are new runs.
   * @param instances as in `nextSendAt`
   */
  onListing (replicas: readonly Replica[], instances: readonly string[] | undefined, now: Milliseconds): ColdChange[] {
    if (instances !== undefined) this._onInstances(instances, now)
    const changes = replicas.flatMap(replica => this._onRegistration(replica, now) ?? [])
    if (replicas.length > 0) this._isFirstListing = false
    this._evict(new Set(replicas.map(({ id }) => id)))
    return changes
  }

  /**
   * Records what the replica stated in an answer to this instance.
   * @param left how long it stays cold; 0 if it is not
   * @param sentAt when the answered request was sent
   */
  onAnswer (replica: Replica, left: Milliseconds, sentAt: Milliseconds, now: Milliseconds): ColdChange | undefined {
    const known = this._knownOf(replica)
    if (known.startedAt !== replica.startedAt) return undefined
    known.ownStatement = { left, receivedAt: now, sentAt }
    return this._onStatement(replica.id, known, { until: now + left, sentAt, basis: 'answer' }, now)
  }

  /** Applies an update from another instance. */
  receive ({ replicaId, startedAt, left, heardAge, sentAge }: ColdUpdate, now: Milliseconds): ColdChange | undefined {
    const known = this._replicas.get(replicaId)
    // An unknown replica gets no requests before it is listed, which says whether it is cold.
    if (known === undefined || startedAt < known.startedAt) return undefined
    const sentAt = now - sentAge - MAXIMUM_HEARTBEAT_DELAY
    const until = left > 0 ? now - heardAge + left : -Infinity
    return this._onStatement(replicaId, known, { until, sentAt, basis: 'peer' }, now)
  }

  /** Updates to send to the other instances now, latest first. */
  updates (now: Milliseconds): ColdUpdate[] {
    const updates: ColdUpdate[] = []
    for (const [replicaId, { startedAt, ownStatement }] of this._replicas) {
      if (ownStatement === undefined || now - ownStatement.receivedAt >= UPDATE_LIFETIME) continue
      const { left, receivedAt, sentAt } = ownStatement
      updates.push({ replicaId, startedAt, left, heardAge: now - receivedAt, sentAge: now - sentAt })
    }
    return updates.sort((left, right) => left.heardAge - right.heardAge).slice(0, MAXIMUM_UPDATES)
  }

  /** Treats a replica as cold that may be so by the given evidence, for as long as its service is cold after a start. */
  suspect (replicaId: string, basis: 'restart-suspected' | 'evacuation-ended', now: Milliseconds): ColdChange | undefined {
    const known = this._replicas.get(replicaId)
    return known === undefined ? undefined : this._estimate(replicaId, known, basis, now)
  }

  /** Whether no replica is cold. */
  areAllWarm (now: Milliseconds): boolean {
    return now >= this._allWarmAt
  }

  /** The requests a second that the replica takes from all instances together; undefined if it is not cold. */
  rateOf ({ id, service }: Replica, now: Milliseconds): RequestRate | undefined {
    const known = this._replicas.get(id)
    return known === undefined || now >= known.coldUntil ? undefined : this._services.get(service)?.coldRate
  }

  /**
   * Earliest time at which this instance may send the replica its next request; at or before `now` if it may send at once.
   * @param instances names of all instances that may be active, including this one; undefined while unknown
   */
  nextSendAt (replica: Replica, instances: readonly string[] | undefined, now: Milliseconds): Milliseconds {
    if (instances !== undefined) this._onInstances(instances, now)
    const rate = this.rateOf(replica, now)
    const known = this._replicas.get(replica.id)
    if (known === undefined || rate === undefined) return -Infinity
    if (instances === undefined) return Infinity
    const { isOwner, interval } = this._shareOf(replica.id, known, rate, now)
    return isOwner ? known.sentAt + interval : Infinity
  }

  /** Records that a request is sent to the replica at a time, now or later. */
  onSent ({ id }: Replica, at: Milliseconds): void {
    const known = this._replicas.get(id)
    if (known !== undefined) known.sentAt = Math.max(known.sentAt, at)
  }

  /** Whether a send that was reserved for a time may be made now. */
  isReservationValid (
    replica: Replica, reservedFor: Milliseconds, instances: readonly string[] | undefined, now: Milliseconds
  ): boolean {
    if (this.rateOf(replica, now) === undefined) return true
    const isOwner = Number.isFinite(this.nextSendAt(replica, instances, now))
    return isOwner && now >= reservedFor && now - reservedFor <= RESERVATION_TOLERANCE
  }

  /** The replicas whose cold time has ended since the last call, and how many are cold. */
  expire (now: Milliseconds): { changes: ColdChange[], cold: number } {
    const changes: ColdChange[] = []
    let cold = 0
    for (const [replicaId, known] of this._replicas) {
      if (now < known.coldUntil) cold += 1
      else if (known.isReportedCold) {
        known.isReportedCold = false
        changes.push({ replicaId, isCold: false, basis: 'time-over', left: 0 })
      }
    }
    return { changes, cold }
  }

  private _onRegistration (replica: Replica, now: Milliseconds): ColdChange | undefined {
    const { id, startedAt, coldLeft } = replica
    const before = this._replicas.get(id)
    const known = this._knownOf(replica)
    const isNewRun = before === undefined || before.startedAt !== startedAt
    const isNewStatement = coldLeft !== undefined && (isNewRun || coldLeft !== before.registeredLeft)
    known.startedAt = startedAt
    known.service = replica.service
    known.registeredLeft = coldLeft
    if (isNewRun) known.ownStatement = undefined
    if (isNewStatement) {
      // A new run's registration was written after the start; that of the same run may be older than what is known.
      const sentAt = isNewRun ? Infinity : now - REGISTRATION_LAG
      return this._onStatement(id, known, { until: now + coldLeft, sentAt, basis: 'registration' }, now)
    }
    return isNewRun && !this._isFirstListing ? this._estimate(id, known, 'new-run', now) : undefined
  }

  /**
   * Applies a statement. One that the replica stays cold for longer counts at once; one that ends or shortens its cold time only
   * if its request was sent after the replica was last known or suspected to be cold.
   */
  private _onStatement (
    replicaId: string, known: KnownReplica,
    { until, sentAt, basis }: { until: Milliseconds, sentAt: Milliseconds, basis: ColdBasis }, now: Milliseconds
  ): ColdChange | undefined {
    if (until < known.coldUntil && sentAt < known.coldAsOf) return undefined
    return this._setColdUntil(replicaId, known, until, basis, now)
  }

  private _estimate (replicaId: string, known: KnownReplica, basis: ColdBasis, now: Milliseconds): ColdChange | undefined {
    const coldFor = this._services.get(known.service)?.coldFor ?? 0
    if (coldFor === 0) return undefined
    known.coldAsOf = now
    return this._setColdUntil(replicaId, known, Math.max(known.coldUntil, now + coldFor), basis, now)
  }

  private _setColdUntil (
    replicaId: string, known: KnownReplica, until: Milliseconds, basis: ColdBasis, now: Milliseconds
  ): ColdChange | undefined {
    if (!this._services.has(known.service)) return undefined
    const isCold = until > now
    const wasReportedCold = known.isReportedCold
    known.coldUntil = until
    known.isReportedCold = isCold
    if (isCold) {
      known.coldAsOf = Math.max(known.coldAsOf, now)
      this._allWarmAt = Math.max(this._allWarmAt, until)
    }
    return isCold === wasReportedCold ? undefined : { replicaId, isCold, basis, left: isCold ? until - now : 0 }
  }

  private _knownOf ({ id, service, startedAt }: Replica): KnownReplica {
    let known = this._replicas.get(id)
    if (known === undefined) {
      known = {
        service,
        startedAt,
        registeredLeft: undefined,
        coldUntil: -Infinity,
        isReportedCold: false,
        coldAsOf: -Infinity,
        sentAt: -Infinity,
        share: undefined,
        ownStatement: undefined
      }
      this._replicas.set(id, known)
    }
    return known
  }

  private _onInstances (instances: readonly string[], now: Milliseconds): void {
    if (instances === this._instances) return
    // The names are listed again after each read of the store, mostly unchanged.
    const isSame = instances.every((name, index) => name === this._instances[index])
    if (isSame && instances.length === this._instances.length) return
    this._instances = instances
    this._instancesChangedAt = now
  }

  /** A new owner, and one that has just learned of other instances, waits for an interval: the former owner may have sent. */
  private _shareOf (replicaId: string, known: KnownReplica, rate: RequestRate, now: Milliseconds): Share {
    const before = known.share
    if (before?.instances === this._instances && before.rate === rate) return before
    const { owners, interval } = divide(rate, this._instances.length)
    const isOwner = this._instances.length <= owners ||
      rankByRendezvous(replicaId, this._instances).slice(0, owners).includes(this._self)
    if (before === undefined) known.sentAt = Math.max(known.sentAt, this._instancesChangedAt)
    else if (isOwner && !before.isOwner) known.sentAt = Math.max(known.sentAt, now)
    known.share = { instances: this._instances, rate, isOwner, interval }
    return known.share
  }

  private _evict (registered: ReadonlySet<string>): void {
    if (this._replicas.size <= MAXIMUM_REPLICAS) return
    for (const id of this._replicas.keys()) if (!registered.has(id)) this._replicas.delete(id)
  }
}

/**
 * Divides a rate between owners that each send a whole number of requests in any second, so that the sum is never above the
 * rate: as many owners as requests where there are enough instances.
 */
function divide (rate: RequestRate, instances: number): { owners: number, interval: Milliseconds } {
  const eachOwner = Math.max(1, Math.ceil(rate / instances))
  const owners = Math.max(1, Math.min(instances, Math.floor(rate / eachOwner)))
  const interval = INTERVAL_FACTOR * Math.max(MILLISECONDS_PER_SECOND / eachOwner, owners * MILLISECONDS_PER_SECOND / rate)
  return { owners, interval }
}
