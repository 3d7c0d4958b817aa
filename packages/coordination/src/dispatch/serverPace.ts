/**
 * Limits the requests to a replica that has just started, recovered, loaded weights or become reachable again. Handles the load
 * pattern in which the whole fleet turns to one idle replica at once, which can take only a few requests at first.
 */
import { rankByRendezvous, type Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'
import { intervalsForRound } from '../fronts/index.js'
import { AnswerSpeeds, type AnswerTime } from './answerSpeeds.js'
import { replicaRunOf } from './replicaNotices.js'

/**
 * Why a pace begins: a new run; weights were loaded; all connections of this instance to the service had been cut; or nothing was
 * received from the replica for longer than a healthy one is silent.
 */
export type PaceCause = 'started' | 'weights-loaded' | 'links-returned' | 'unreachable'

/** How the pace of a replica changed. */
export type PaceChange = 'begun' | 'raised' | 'lowered' | 'ended'

/** What an instance sends the others about the pace of a replica's run. */
export interface PaceUpdate {
  replicaId: string
  startedAt: number
  /** Rises each time the pace begins again or is lowered; of two updates of one run, the higher epoch counts. */
  epoch: number
  /** Requests that all instances together may have at the replica; undefined once the pace has ended. */
  window: number | undefined
  /** Time since the sender last changed it by what it learned itself. */
  age: Milliseconds
  /** Whether all instances apply it; otherwise only those that limit the replica themselves. */
  isForAll: boolean
}

/** A request that was sent while a pace was in force. */
export interface PacedSend {
  readonly run: string
  readonly sentAt: Milliseconds
}

/** How a request ended. `refused` includes failed ones; `inconclusive` says nothing of the replica. */
export type PacedEnd = 'answered' | 'refused' | 'unreachable' | 'inconclusive'

/** The pace of replicas. Times are from a clock that includes time in which the host is suspended. */
export abstract class ServerPace {
  /** Whether no replica is limited at present. */
  abstract readonly isEmpty: boolean

  /** Number of replicas that are limited at present. */
  abstract readonly size: number

  /** Begins the pace of a replica that is not limited yet, or not any more. */
  abstract begin (replica: Replica, cause: PaceCause, now: Milliseconds): PaceChange | undefined

  /**
   * Whether this instance may send the replica a request within its part of the pace.
   * @param instances names of all instances that may be active, including this one; undefined while unknown
   */
  abstract maySend (replica: Replica, instances: readonly string[] | undefined, now: Milliseconds): boolean

  /** Records that a request is being sent; undefined where the replica is not limited. */
  abstract onSent (replica: Replica, now: Milliseconds): PacedSend | undefined

  /** Records how long a replica took until the first byte of an answer: a limited one, or one of its peers. */
  abstract onFirstByte (
    replica: Replica, send: PacedSend | undefined, time: AnswerTime, now: Milliseconds
  ): PaceChange | undefined

  /** Records the end of a request that was sent at a time. */
  abstract onEnd (
    replica: Replica, send: PacedSend | undefined, end: PacedEnd, sentAt: Milliseconds, now: Milliseconds
  ): PaceChange | undefined

  /** The requests that all instances together may have at the replica; undefined where it is not limited. */
  abstract windowOf (replica: Replica): number | undefined

  /** Applies an update from another instance about a replica of the catalog. */
  abstract receive (replica: Replica, update: PaceUpdate, now: Milliseconds): PaceChange | undefined

  /** Updates to send to the other instances now, latest first. */
  abstract updates (now: Milliseconds): PaceUpdate[]

  /** Raises what nobody has learned anything about for a while. Called about twice a second. */
  abstract tick (now: Milliseconds): { replica: Replica, change: PaceChange }[]

  /** Discards the state of a run that was removed. */
  abstract forget (replica: Replica): void
}

/** Settings of a shared pace. */
export interface SharedServerPaceSettings {
  /** The shortest time between two heartbeats of an instance. */
  heartbeatInterval: Milliseconds
}

interface PacedRun {
  replica: Replica
  epoch: number
  /** Undefined once the pace has ended; the epoch is kept, so that older updates do not begin it again. */
  window: number | undefined
  isForAll: boolean
  /** Up to this window it doubles; beyond, where the replica was slow or refused requests before, it grows less. */
  doublesUpTo: number
  /** Answers to requests that were sent before this time say nothing of the present window. */
  roundFrom: Milliseconds
  slowInARow: number
  begunAt: Milliseconds
  /** When an instance last raised the window, since the replica answered it fast. */
  raisedAt: Milliseconds
  /** When the window was last changed, or a bad answer was received. */
  changedAt: Milliseconds
  /** The same by what this instance learned itself, which it reports to the others. */
  learnedAt: Milliseconds
  inFlight: number
  /** Until when ended requests still count. */
  heldUntil: Milliseconds[]
  /** Rank of this instance among the names, and the key and the names for which it was determined. */
  rank: number
  rankKey: string | undefined
  instances: readonly string[] | undefined
}

/** Requests that all instances together may have at a replica that has just started; with the hold at most eight a second. */
const FIRST_WINDOW = 4
/** Requests over all instances that find out whether an unreachable replica answers again; one owner's links may be at fault. */
const TRIAL_WINDOW = 2
const SMALLEST_WINDOW = 1
/** After this instance was cut off, the replica is known to serve the others; so many of its slots limit the return. */
const RETURN_SHARE = 0.5
/** A request counts for at least this long, so that fast answers and refusals do not make a small window a high rate. */
const SHORTEST_HOLD: Milliseconds = 500
const FAST_GROWTH = 2
/** Growth beyond the window at which the replica was last slow or refused requests. */
const SLOW_GROWTH = 1.5
const SHRINKAGE = 0.5
/** One slow answer may have been a long prompt; two in a row lower the window. */
const SLOW_ANSWERS_TO_LOWER = 2
/** The window grows without answers after this time, since the owners of its parts may have no requests for the service. */
const QUIET_TIME: Milliseconds = 6_000
/** A healthy replica may be silent for about a second. */
const UNREACHABLE_AFTER: Milliseconds = 1_200
/** A replica that others reach does not count as unreachable for them where an instance fails to reach it within this time. */
const REACHED_BY_OTHERS: Milliseconds = 2_000
/** Instances learn within this time that a replica has loaded weights; only the first one begins its pace again. */
const SAME_CAUSE_TIME: Milliseconds = 3_000
/** A heartbeat takes so long to arrive. */
const HEARTBEAT_DELAY: Milliseconds = 100
/** Answers that take a tenth of this time let more requests than slots pass within the shortest hold; bounds that factor. */
const MAXIMUM_HOLD_FACTOR = 10
/** An update is repeated in heartbeats for this long, since heartbeats may be lost. */
const UPDATE_LIFETIME: Milliseconds = 3_000
/** Maximum number of updates in one heartbeat. */
const MAXIMUM_UPDATES = 32
/** Maximum number of replica runs retained. */
const MAXIMUM_RUNS = 4_000

/**
 * Divides a window of requests at the replica between the instances: by rendezvous hashing over the same names, each holds an
 * equal part, and the first ones one request more. A part never grows when the window shrinks, so the parts add up to at most
 * the largest window that any instance assumes. Instances that learn different things agree on the highest epoch, and within it
 * on the largest window.
 */
export class SharedServerPace extends ServerPace {
  private readonly _runs = new Map<string, PacedRun>()
  private readonly _speeds = new AnswerSpeeds()
  /** For runs that were last unreachable: when the first request was sent since that was not answered. */
  private readonly _unansweredSince = new Map<string, Milliseconds>()
  /** The runs with a window, by the id of the replica, so that others cost one look-up. */
  private readonly _limited = new Map<string, PacedRun>()

  /** @param _self name of this instance */
  constructor (private readonly _self: string, private readonly _settings: SharedServerPaceSettings) {
    super()
  }

  override get isEmpty (): boolean {
    return this._limited.size === 0
  }

  override get size (): number {
    return this._limited.size
  }

  override begin (replica: Replica, cause: PaceCause, now: Milliseconds): PaceChange | undefined {
    const known = this._runs.get(replicaRunOf(replica))
    if (known !== undefined) {
      const isSameLoad = cause === 'weights-loaded' && known.isForAll && now - known.begunAt < SAME_CAUSE_TIME
      // Where all replicas were unreachable by this instance's links, the return of the links tells more than their trials.
      const isLimited = known.window !== undefined && (known.isForAll || cause === 'unreachable')
      if (isLimited || isSameLoad || cause === 'started') return undefined
    }
    const run = known ?? this._add(replica, now)
    if (known !== undefined) run.epoch += 1
    run.isForAll = cause === 'started' || cause === 'weights-loaded'
    run.doublesUpTo = Infinity
    run.slowInARow = 0
    run.learnedAt = now
    this._setWindow(run, firstWindow(replica, cause), now)
    return 'begun'
  }

  override maySend (replica: Replica, instances: readonly string[] | undefined, now: Milliseconds): boolean {
    const run = this._limitedRun(replica)
    if (run?.window === undefined) return true
    if (instances === undefined) return false
    this._updateRank(run, instances)
    if (run.heldUntil.length > 0) run.heldUntil = run.heldUntil.filter(until => until > now)
    return run.inFlight + run.heldUntil.length < partOf(run.window, run.rank, instances.length)
  }

  override onSent (replica: Replica, now: Milliseconds): PacedSend | undefined {
    const run = this._limitedRun(replica)
    if (run === undefined) return undefined
    run.inFlight += 1
    return { run: replicaRunOf(replica), sentAt: now }
  }

  override onFirstByte (
    replica: Replica, send: PacedSend | undefined, time: AnswerTime, now: Milliseconds
  ): PaceChange | undefined {
    if (this.isEmpty) return undefined
    const run = this._limitedRun(replica)
    if (run === undefined) {
      this._speeds.onPeerAnswer(replica.service, time)
      return undefined
    }
    if (send === undefined || send.sentAt < run.roundFrom) return undefined
    const speed = this._speeds.judge(replica.service, time)
    run.slowInARow = speed === 'slow' ? run.slowInARow + 1 : 0
    // A refusal of a request of the same window must be known first: 34 instances raised beyond it and crashed a cold replica.
    if (speed === 'fast') return now < run.roundFrom + SHORTEST_HOLD ? undefined : this._raise(run, now)
    return run.slowInARow >= SLOW_ANSWERS_TO_LOWER ? this._lower(run, SMALLEST_WINDOW, now) : undefined
  }

  override onEnd (
    replica: Replica, send: PacedSend | undefined, end: PacedEnd, sentAt: Milliseconds, now: Milliseconds
  ): PaceChange | undefined {
    if (end === 'answered' && !this.isEmpty) this._speeds.onDuration(replica.service, now - sentAt)
    const isUnreachable = this._recordReachability(replica, end, sentAt, now)
    const run = send === undefined ? undefined : this._runs.get(send.run)
    if (send !== undefined && run !== undefined) {
      run.inFlight -= 1
      if (send.sentAt + SHORTEST_HOLD > now) run.heldUntil.push(send.sentAt + SHORTEST_HOLD)
      if (run.window !== undefined) return send.sentAt < run.roundFrom ? undefined : this._onBadEnd(run, end, now)
    }
    return isUnreachable ? this.begin(replica, 'unreachable', now) : undefined
  }

  override windowOf (replica: Replica): number | undefined {
    return this._limitedRun(replica)?.window
  }

  override receive (
    replica: Replica, { epoch, window, age, isForAll }: PaceUpdate, now: Milliseconds
  ): PaceChange | undefined {
    const known = this._runs.get(replicaRunOf(replica))
    const before = known?.window
    // What one instance saw of a replica that others reach may be due to its own links.
    if (before === undefined && (!isForAll || (known === undefined && window === undefined))) return undefined
    const isSameEpoch = epoch === known?.epoch
    const isRaised = isSameEpoch && (window ?? Infinity) > (before ?? Infinity)
    if (known !== undefined && epoch <= known.epoch && !isRaised) return undefined
    const run = known ?? this._add(replica, now)
    run.epoch = epoch
    run.isForAll ||= isForAll
    run.slowInARow = 0
    if (isRaised) run.raisedAt = now - age
    else run.doublesUpTo = before === undefined ? Infinity : window ?? Infinity
    this._setWindow(run, window, now)
    return changeBetween(before, window)
  }

  override updates (now: Milliseconds): PaceUpdate[] {
    const updates: PaceUpdate[] = []
    for (const { replica, epoch, window, learnedAt, isForAll } of this._runs.values()) {
      const age = now - learnedAt
      if (age >= UPDATE_LIFETIME) continue
      updates.push({ replicaId: replica.id, startedAt: replica.startedAt, epoch, window, age, isForAll })
    }
    return updates.sort((left, right) => left.age - right.age).slice(0, MAXIMUM_UPDATES)
  }

  override tick (now: Milliseconds): { replica: Replica, change: PaceChange }[] {
    if (this.isEmpty) return []
    const changes: { replica: Replica, change: PaceChange }[] = []
    for (const run of [...this._limited.values()]) {
      if (run.window === undefined || now - run.changedAt < QUIET_TIME) continue
      const change = this._grow(run, run.window * FAST_GROWTH, now)
      if (change !== undefined) changes.push({ replica: run.replica, change })
    }
    return changes
  }

  override forget (replica: Replica): void {
    const key = replicaRunOf(replica)
    if (this._limitedRun(replica) !== undefined) this._limited.delete(replica.id)
    this._runs.delete(key)
    this._unansweredSince.delete(key)
  }

  private _limitedRun ({ id, startedAt }: Replica): PacedRun | undefined {
    const run = this._limited.get(id)
    return run?.replica.startedAt === startedAt ? run : undefined
  }

  /** Returns whether the replica has answered nothing for longer than a healthy one is silent. */
  private _recordReachability (replica: Replica, end: PacedEnd, sentAt: Milliseconds, now: Milliseconds): boolean {
    if (end !== 'unreachable') {
      if (end !== 'inconclusive' && this._unansweredSince.size > 0) this._unansweredSince.delete(replicaRunOf(replica))
      return false
    }
    const key = replicaRunOf(replica)
    const since = this._unansweredSince.get(key) ?? sentAt
    if (this._unansweredSince.size >= MAXIMUM_RUNS) this._unansweredSince.clear()
    this._unansweredSince.set(key, since)
    return now - since >= UNREACHABLE_AFTER
  }

  private _onBadEnd (run: PacedRun, end: PacedEnd, now: Milliseconds): PaceChange | undefined {
    if (end === 'refused') return this._lower(run, SMALLEST_WINDOW, now)
    if (end !== 'unreachable' || now - run.raisedAt < REACHED_BY_OTHERS) return undefined
    // Where the links of its owners are at fault, the others try as well after the quiet time.
    if (run.isForAll && run.window !== undefined && run.window <= TRIAL_WINDOW) return undefined
    return this._lower(run, TRIAL_WINDOW, now)
  }

  private _raise (run: PacedRun, now: Milliseconds): PaceChange | undefined {
    const { window = 0, doublesUpTo } = run
    run.learnedAt = now
    run.raisedAt = now
    return this._grow(run, window < doublesUpTo
      ? Math.min(doublesUpTo, window * FAST_GROWTH)
      : Math.max(window + 1, Math.floor(window * SLOW_GROWTH)), now)
  }

  private _grow (run: PacedRun, next: number, now: Milliseconds): PaceChange | undefined {
    const before = run.window
    const { service, slots } = run.replica
    const duration = this._speeds.typicalDuration(service) ?? SHORTEST_HOLD
    const enough = slots * Math.min(MAXIMUM_HOLD_FACTOR, Math.max(1, SHORTEST_HOLD / duration))
    this._setWindow(run, next >= enough ? undefined : next, now)
    return changeBetween(before, run.window)
  }

  private _lower (run: PacedRun, smallest: number, now: Milliseconds): PaceChange | undefined {
    const before = run.window ?? 0
    const window = Math.max(Math.min(smallest, before), Math.floor(before * SHRINKAGE))
    run.epoch += 1
    run.doublesUpTo = window
    run.slowInARow = 0
    run.learnedAt = now
    this._setWindow(run, window, now)
    return changeBetween(before, window)
  }

  /** Answers count again for requests that are sent once the other instances use the window, too. */
  private _setWindow (run: PacedRun, window: number | undefined, now: Milliseconds): void {
    const peers = (run.instances?.length ?? 1) - 1
    const propagation = peers === 0 ? 0 : intervalsForRound(peers) * this._settings.heartbeatInterval + HEARTBEAT_DELAY
    if (run.window === undefined && window !== undefined) run.begunAt = now
    run.window = window
    if (window !== undefined) this._limited.set(run.replica.id, run)
    else if (this._limitedRun(run.replica) !== undefined) this._limited.delete(run.replica.id)
    run.changedAt = now
    run.roundFrom = run.learnedAt === now ? now + propagation : now
  }

  /** Where a replica is unreachable, other instances try it after each failed trial. */
  private _updateRank (run: PacedRun, instances: readonly string[]): void {
    const key = run.isForAll ? replicaRunOf(run.replica) : `${replicaRunOf(run.replica)}|${run.epoch}`
    if (run.rankKey === key && run.instances === instances) return
    const rank = rankByRendezvous(key, instances).indexOf(this._self)
    run.rank = rank < 0 ? Infinity : rank
    run.rankKey = key
    run.instances = instances
  }

  private _add (replica: Replica, now: Milliseconds): PacedRun {
    if (this._runs.size >= MAXIMUM_RUNS) {
      const oldest = this._runs.values().next()
      if (oldest.done !== true) this.forget(oldest.value.replica)
    }
    const run: PacedRun = {
      replica,
      epoch: 0,
      window: undefined,
      isForAll: false,
      doublesUpTo: Infinity,
      roundFrom: now,
      slowInARow: 0,
      begunAt: now,
      raisedAt: -Infinity,
      changedAt: now,
      learnedAt: -Infinity,
      inFlight: 0,
      heldUntil: [],
      rank: Infinity,
      rankKey: undefined,
      instances: undefined
    }
    this._runs.set(replicaRunOf(replica), run)
    return run
  }
}

function firstWindow ({ slots }: Replica, cause: PaceCause): number {
  switch (cause) {
    case 'unreachable': return TRIAL_WINDOW
    case 'links-returned': return Math.max(SMALLEST_WINDOW, Math.floor(slots * RETURN_SHARE))
    default: return FIRST_WINDOW
  }
}

/** An instance's part of a window, which rises with the window at each rank; all parts add up to the window. */
function partOf (window: number, rank: number, instances: number): number {
  return Math.floor(window / instances) + (rank < window % instances ? 1 : 0)
}

function changeBetween (before: number | undefined, after: number | undefined): PaceChange | undefined {
  if (before === after) return undefined
  if (after === undefined) return 'ended'
  if (before === undefined) return 'begun'
  return after > before ? 'raised' : 'lowered'
}
