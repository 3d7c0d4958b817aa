/**
 * Orders the requests of one service that find no room at its replicas, and refuses those that cannot be served in time.
 * Load pattern: demand exceeds the replicas' memory for seconds to minutes, from 24 workspaces of very different size, in
 * requests of very different size and urgency. With a timer for each request, chance decides which one gets the next room;
 * requests wait in vain, and the largest never find enough room at once.
 */
import type { Milliseconds } from '../common/index.js'
import { ReturningCallers } from './returningCallers.js'
import { PriorityDemand } from './priorityDemand.js'
import { ServedShares } from './servedShares.js'
import type { ServiceRoom } from './serviceRoom.js'
import { WorkspaceShares } from './workspaceShares.js'

/** Share of the objective within which a refusal is early; only requests that are expected to get their turn wait longer. */
const EARLY_SHARE = 0.12
/** Requests that wait at one service; beyond it, the last in order is refused. */
const MAXIMUM_WAITING = 256
/** Requests that may find no room in one pass before the pass ends, since each costs a selection over all replicas. */
const MAXIMUM_DECLINED = 4
/** Requests behind one that finds no room may take up to this multiple of its room before it, so that small gaps are used. */
const PASSED_ROOM_SHARE = 1
/** The expected wait is multiplied by this before a request is let wait longer than a refusal would be early. */
const WAIT_MARGIN = 1.3
/**
 * Requests that wait longer than a refusal would be early go before all others, so that their turn comes as expected. Together
 * they take room for at most this share of the objective, which more urgent requests may have to wait.
 */
const COMMITTED_SHARE = 0.25
/**
 * Share of a replica's memory by which it may be overcommitted, as `promptAdmission.ts` allows requests that have waited. It is
 * the same for all: those that may use less would block others, and urgent ones that may use more leave no room for others.
 */
const ALLOWANCE = 0.3
/** Interval at which the queue is checked if no event reports free room, for example since replicas joined. */
const CHECK_INTERVAL: Milliseconds = 250
const SHORTEST_RETRY_DELAY: Milliseconds = 50
/** Later retry times would outlast the overload; the times begin anew then. */
const LONGEST_RETRY_DELAY: Milliseconds = 10_000
/** Retry delay as a share of the objective, and time between two callers, until it is known how fast room becomes free. */
const DEFAULT_RETRY_SHARE = 0.25
const DEFAULT_RETRY_INTERVAL: Milliseconds = 5

/** A request that may have to wait. */
export interface WaitingRequest {
  id: number
  /** Empty for requests of no workspace. */
  workspace: string
  route: string
  /** That of the workspace, else that of the route; 0 is the most urgent. */
  priority: number
  /** Memory that it needs, in tokens; 1 for a request that needs a slot only. */
  room: number
  receivedAt: Milliseconds
  objective: Milliseconds
  /** When it must be sent at the latest to be answered within its objective. */
  sendBy: Milliseconds
  /** The same when a caller sends the request again. */
  fingerprint: string
}

/** What came of an offer: the request was sent, it left the queue, or it found no room and stays. */
export type OfferOutcome = 'sent' | 'left' | 'declined'

/** Offers a turn to a request: it is sent if it lacks at most the allowed share of a replica's memory. */
export type Offer = (id: number, allowance: number) => OfferOutcome

/** A refused request, and when its caller should retry. */
export interface WaitRefusal {
  id: number
  retryAfter: Milliseconds
}

interface Entry extends WaitingRequest {
  groups: readonly string[]
  isReturning: boolean
  /** Whether it waits longer than a refusal would be early, since it is expected to get its turn. */
  isCommitted: boolean
  /** Its place among the priorities: negative if a group of it is served much less than others. */
  rank: number
  /** Until this time a refusal is early. */
  decideAt: Milliseconds
  /** Room that later requests have taken before this one. */
  passedRoom: number
}

/** The waiting requests of one service at this instance. */
export class WaitQueue {
  private readonly _entries = new Map<number, Entry>()
  private readonly _workspaces = new WorkspaceShares()
  private readonly _shares = new ServedShares()
  private readonly _demand = new PriorityDemand()
  private readonly _returning = new ReturningCallers()
  private _lastRetryAt: Milliseconds = 0

  /** @param _room how fast the replicas of the service free room */
  constructor (private readonly _room: ServiceRoom) {}

  /** Number of waiting requests. */
  get size (): number {
    return this._entries.size
  }

  /** Returns whether a request may be sent without waiting: it fits, and nobody waits. */
  admitAtOnce (request: WaitingRequest, crowding: number, now: Milliseconds): boolean {
    if (this._entries.size > 0 || crowding > ALLOWANCE) return false
    this._onDemand(request, now)
    this._onSent({ ...request, groups: groupsOf(request) }, now)
    return true
  }

  /** Adds a request that waits. `advance` follows, which may send or refuse it. */
  enter (request: WaitingRequest, now: Milliseconds): void {
    this._onDemand(request, now)
    this._entries.set(request.id, {
      ...request,
      groups: groupsOf(request),
      isReturning: this._returning.hasReturned(request.fingerprint, now),
      isCommitted: false,
      rank: request.priority,
      decideAt: request.receivedAt + request.objective * EARLY_SHARE,
      passedRoom: 0
    })
  }

  /** Removes a request that ended or goes another way. */
  leave (id: number): void {
    this._entries.delete(id)
  }

  /** Offers free room in order, then refuses those that cannot be served in time. To be called when room may have become free. */
  advance (offer: Offer, now: Milliseconds): WaitRefusal[] {
    const ordered = this._ordered()
    this._offerInOrder(ordered, offer, now)
    return this._refuseLate(ordered.filter(({ id }) => this._entries.has(id)), now)
  }

  /** When the queue must be advanced even if nothing happens; undefined while nobody waits. */
  nextCheckAt (now: Milliseconds): Milliseconds | undefined {
    if (this._entries.size === 0) return undefined
    let at = now + CHECK_INTERVAL
    for (const { decideAt, sendBy, isCommitted } of this._entries.values()) {
      const next = isCommitted ? sendBy : decideAt
      if (next > now) at = Math.min(at, next)
    }
    return at
  }

  /** Ids of the waiting requests in the order in which they get their turn. */
  order (): number[] {
    return this._ordered().map(({ id }) => id)
  }

  private _offerInOrder (ordered: readonly Entry[], offer: Offer, now: Milliseconds): void {
    const blocked: Entry[] = []
    for (const entry of ordered) {
      if (!this._entries.has(entry.id)) continue
      if (blocked.length >= MAXIMUM_DECLINED) return
      const wouldPass = blocked.some(({ passedRoom, room }) => passedRoom + entry.room > room * PASSED_ROOM_SHARE)
      if (wouldPass) continue
      const outcome = offer(entry.id, ALLOWANCE)
      if (outcome === 'declined') {
        blocked.push(entry)
        continue
      }
      this._entries.delete(entry.id)
      if (outcome === 'left') continue
      for (const passed of blocked) passed.passedRoom += entry.room
      this._onSent(entry, now)
    }
  }

  /**
   * Follows the order and adds up the room that is needed until each request's turn. Where one would be late, the largest of
   * those before it that are no more urgent is refused (Moore and Hodgson), which leaves the most requests on time. Groups
   * that are served much less than others are spared.
   */
  private _refuseLate (ordered: readonly Entry[], now: Milliseconds): WaitRefusal[] {
    const refusals: WaitRefusal[] = []
    const rate = this._room.rate(now)
    const excess = this._entries.size - MAXIMUM_WAITING
    const planned: Entry[] = []
    let ahead = 0
    let committed = 0
    for (const entry of ordered) {
      planned.push(entry)
      ahead += entry.room
      while (this._isLate(entry, ahead, rate, now) || this._isWaitTooLong(entry, committed, rate, now)) {
        const victim = this._selectVictim(planned, entry, now)
        planned.splice(planned.indexOf(victim), 1)
        ahead -= victim.room
        refusals.push(this._refuse(victim, ahead, rate, now))
        if (victim === entry) break
      }
      if (entry.isCommitted) committed += entry.room
      else if (now >= entry.decideAt && this._entries.has(entry.id)) {
        entry.isCommitted = true
        committed += entry.room
      }
    }
    const last = excess > refusals.length ? planned.filter(({ isCommitted }) => !isCommitted).slice(refusals.length - excess) : []
    for (const entry of last) refusals.push(this._refuse(entry, ahead, rate, now))
    return refusals
  }

  private _isLate (entry: Entry, ahead: number, rate: number | undefined, now: Milliseconds): boolean {
    if (now >= entry.sendBy) return true
    // Without an estimate nobody waits longer than a refusal is early.
    if (rate === undefined) return now >= entry.decideAt
    if (entry.isCommitted) return now + ahead / rate > entry.sendBy
    const rateLeft = Math.max(0, rate - this._demand.rateAbove(entry.rank, now))
    return now + ahead / rateLeft * WAIT_MARGIN > entry.sendBy
  }

  /** Whether a request whose refusal is due would have to wait for too much room that others were let wait for before it. */
  private _isWaitTooLong (entry: Entry, committed: number, rate = 0, now: Milliseconds): boolean {
    if (entry.isCommitted || now < entry.decideAt) return false
    return committed + entry.room > rate * entry.objective * COMMITTED_SHARE
  }

  private _selectVictim (planned: readonly Entry[], late: Entry, now: Milliseconds): Entry {
    if (late.isCommitted || now >= late.decideAt) return late
    let victim: Entry | undefined
    for (const entry of planned) {
      const isSpared = entry.isCommitted || entry.rank < Math.max(0, late.rank)
      if (!isSpared && (victim === undefined || entry.room >= victim.room)) victim = entry
    }
    // Refusing a smaller one would not let the late one be on time.
    return victim !== undefined && victim.room > late.room ? victim : late
  }

  private _refuse (entry: Entry, ahead: number, rate: number | undefined, now: Milliseconds): WaitRefusal {
    this._entries.delete(entry.id)
    this._shares.onDecided(entry.groups, false, now)
    const retryAfter = this._retryDelay(entry, ahead, rate, now)
    this._returning.onRefused(entry.fingerprint, now + retryAfter)
    return { id: entry.id, retryAfter }
  }

  /** Each refused caller returns after the room for those that wait and for those refused before it should have become free. */
  private _retryDelay (entry: Entry, ahead: number, rate: number | undefined, now: Milliseconds): Milliseconds {
    const untilFirst = rate === undefined ? entry.objective * DEFAULT_RETRY_SHARE : ahead / rate
    const first = now + Math.max(SHORTEST_RETRY_DELAY, Math.min(untilFirst, LONGEST_RETRY_DELAY / 2))
    const next = Math.max(first, this._lastRetryAt) + (rate === undefined ? DEFAULT_RETRY_INTERVAL : entry.room / rate)
    this._lastRetryAt = next > now + LONGEST_RETRY_DELAY ? first : next
    return this._lastRetryAt - now
  }

  private _onDemand ({ workspace, priority, room }: WaitingRequest, now: Milliseconds): void {
    this._workspaces.onDemand(workspace, room, now)
    this._demand.add(priority, room, now)
  }

  private _onSent (entry: Pick<Entry, 'workspace' | 'room' | 'groups'>, now: Milliseconds): void {
    this._workspaces.onSent(entry.workspace, entry.room)
    this._shares.onDecided(entry.groups, true, now)
  }

  private _ordered (): Entry[] {
    const ranks = new Map<number, Map<string, Entry[]>>()
    const committed: Entry[] = []
    for (const entry of this._entries.values()) {
      if (entry.isCommitted) {
        committed.push(entry)
        continue
      }
      entry.rank = -this._shares.shortfall(entry.groups) || entry.priority
      const lists = ranks.get(entry.rank) ?? new Map<string, Entry[]>()
      ranks.set(entry.rank, lists)
      const list = lists.get(entry.workspace) ?? []
      lists.set(entry.workspace, list)
      list.push(entry)
    }
    const uncommitted = [...ranks].sort(([left], [right]) => left - right).flatMap(([, lists]) => {
      for (const list of lists.values()) list.sort(compareWithinWorkspace)
      return this._workspaces.merge(lists)
    })
    return [...committed.sort((left, right) => left.decideAt - right.decideAt || left.id - right.id), ...uncommitted]
  }
}

function compareWithinWorkspace (left: Entry, right: Entry): number {
  if (left.isReturning !== right.isReturning) return left.isReturning ? -1 : 1
  return left.sendBy - right.sendBy || left.room - right.room || left.id - right.id
}

/** The groups whose served shares are compared; sizes are grouped by half powers of two. */
function groupsOf ({ workspace, route, room }: WaitingRequest): string[] {
  return [`workspace ${workspace}`, `route ${route}`, `size ${route} ${Math.round(2 * Math.log2(Math.max(1, room)))}`]
}
