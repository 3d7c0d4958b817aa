/**
 * When an instance reads the metadata store. A few instances, the readers, poll it and tell their peers up to which revision
 * nothing significant has changed; a peer that is up to date then need not read, so that the number of calls does not grow
 * with the fleet.
 */
import * as z from 'zod'
import { rankByRendezvous, type Milliseconds } from '../common/index.js'
import { NO_ERA } from '../platform/index.js'
import { peerChangesSchema } from './changeLog.js'
import { backOffDelay, type BackOffSettings } from '../retry/index.js'

/** Settings of the schedule. */
export interface ReadScheduleSettings {
  /** Number of instances that poll the store. */
  readers: number
  /** Time between two reads of a reader. */
  interval: Milliseconds
  /** How long an instance that is behind waits for the changes from a reader before it reads the store itself. */
  peerChangesTimeout: Milliseconds
  /** An instance whose copy has not been confirmed for this long reads the store, reader or not. */
  longestAge: Milliseconds
  /** Delays after failed reads: an outage hits all instances at once, and each of their calls adds load to the store. */
  backOff: BackOffSettings
}

/** The state of an instance's copy of the store, as it is sent to peers. */
export const catalogStatusSchema = z.object({
  /** The era of the store in which revisions were given out; absent where it states none, and from builds that know no eras. */
  era: z.number().optional(),
  /** Revision of the last significant change. */
  changedAt: z.number(),
  /** Milliseconds since the store was known to hold no later significant change. */
  age: z.number(),
  /** The changes themselves; only from a reader. */
  told: peerChangesSchema.optional()
})
/** The state of an instance's copy of the store, as it is sent to peers. */
export type CatalogStatus = z.infer<typeof catalogStatusSchema>

/** What a peer's status shows of this instance's copy: it is up to date, it is behind, or the status is too old to tell. */
export type StatusVerdict = 'confirmed' | 'behind' | 'old'

/** What an instance asks the store for: the changes since the revision of its copy, or all that the store holds, page by page. */
export type ReadRequest = 'changes' | 'listing'

/** Allowance for the time that a message from a peer was under way. */
export const MESSAGE_DELAY_MARGIN: Milliseconds = 150
const READER_KEY = 'metadata-store'
/** An instance that polls the store has read it twice within this many times `longestAge`. */
const READER_WINDOW_FACTOR = 2.5
/** After a return of the store, instances list it one after another within this time for each instance, and at most the limit. */
const LISTING_SPREAD_PER_INSTANCE: Milliseconds = 5
const MAXIMUM_LISTING_SPREAD: Milliseconds = 1_500

/** Tracks how current this instance's copy of the store is, and schedules its reads. */
export class ReadSchedule {
  private _currentAsOf: Milliseconds = -Infinity
  private _ownReadAt: Milliseconds = -Infinity
  private _previousReadAt: Milliseconds = -Infinity
  /** Number of consecutive failed reads. */
  private _failures = 0
  private _retryAt: Milliseconds = -Infinity
  /** Since when this instance knows that it is behind. */
  private _behindSince: Milliseconds = Infinity
  /** The latest era that a peer has reported, and the highest revision of a change in it. */
  private _latestPeerEra = NO_ERA
  private _highestPeerRevision = 0
  /** When this instance lists a store of whose return a peer has told. */
  private _listingAt: Milliseconds = Infinity

  constructor (private readonly _settings: ReadScheduleSettings) {}

  /** The latest time at which the copy is known to have been complete. */
  get currentAsOf (): Milliseconds {
    return this._currentAsOf
  }

  /** When this instance sent its last successful read of the store. */
  get ownReadAt (): Milliseconds {
    return this._ownReadAt
  }

  /**
   * The store answered a read that was sent at `askedAt`.
   * @param era the one in which it answered; a peer that told of a later one was wrong
   */
  onRead (askedAt: Milliseconds, era = NO_ERA): void {
    if (this._latestPeerEra > era) {
      this._latestPeerEra = era
      this._highestPeerRevision = 0
    }
    this._previousReadAt = this._ownReadAt
    this._ownReadAt = askedAt
    this._failures = 0
    this._retryAt = -Infinity
    this._behindSince = Infinity
    this._listingAt = Infinity
    this._currentAsOf = Math.max(this._currentAsOf, askedAt)
  }

  /**
   * A read of the store failed.
   * @param sample random number in [0, 1), so that instances whose reads failed together do not retry together
   */
  onFailure (sample: number, now: Milliseconds): void {
    this._retryAt = now + backOffDelay(this._settings.backOff, this._failures, sample)
    this._failures += 1
  }

  /**
   * What to ask the store for, given the revision of the own copy. A read that failed is not repeated as it was: the changes
   * since a revision only become more, and may hold what cannot be read at all.
   */
  nextRequest (revision: number): ReadRequest {
    return revision === 0 || this._failures % 2 === 1 ? 'listing' : 'changes'
  }

  /** Whether the retry delay after the last failed read is over. */
  mayRead (now: Milliseconds): boolean {
    return now >= this._retryAt
  }

  /**
   * A peer reported the state of its copy.
   * @param revision the one that this instance's copy reaches
   * @param ownEra the era of that copy
   */
  onPeerStatus (
    { era = NO_ERA, changedAt, age }: CatalogStatus, revision: number, now: Milliseconds, ownEra = NO_ERA
  ): StatusVerdict {
    // Its copy is that of a store which has come back since, or it cannot tell.
    if (era < ownEra || era < this._latestPeerEra) return 'old'
    if (era > this._latestPeerEra) {
      this._latestPeerEra = era
      this._highestPeerRevision = 0
    }
    this._highestPeerRevision = Math.max(this._highestPeerRevision, changedAt)
    if (era > ownEra) return 'behind'
    if (changedAt > revision) {
      this._behindSince = Math.min(this._behindSince, now)
      return 'behind'
    }
    if (this._highestPeerRevision <= revision) this._behindSince = Infinity
    const currentAsOf = now - age - MESSAGE_DELAY_MARGIN
    if (currentAsOf <= this._currentAsOf) return 'old'
    this._currentAsOf = currentAsOf
    return 'confirmed'
  }

  /** The latest era of the store that a peer has reported. */
  get latestPeerEra (): number {
    return this._latestPeerEra
  }

  /** Whether a peer has reported a change that this instance's copy lacks, or a later era of the store. */
  isBehind (revision: number, ownEra = NO_ERA): boolean {
    if (this._latestPeerEra !== ownEra) return this._latestPeerEra > ownEra
    return this._highestPeerRevision > revision
  }

  /**
   * A peer told of a return of the store, which every instance has to list then.
   * @param instances number of instances
   * @param sample random number in [0, 1), so that they do not list it in the same moment
   */
  onReturnTold (instances: number, sample: number, now: Milliseconds): void {
    const spread = Math.min(MAXIMUM_LISTING_SPREAD, instances * LISTING_SPREAD_PER_INSTANCE)
    if (!Number.isFinite(this._listingAt)) this._listingAt = now + sample * spread
  }

  /**
   * Whether this instance is a reader.
   * @param instances names of the live instances that may be readers
   */
  isReader (self: string, instances: readonly string[]): boolean {
    return rankByRendezvous(READER_KEY, instances).slice(0, this._settings.readers).includes(self)
  }

  /**
   * Whether this instance polls the store, as a reader or because no peer confirms its copy. This takes two recent reads,
   * since every instance reads once at its start and after changes that no peer could send it. An instance whose copy peers
   * have confirmed for a time more than one interval after its own last read relies on them instead.
   */
  isReading (now: Milliseconds): boolean {
    const { interval, longestAge } = this._settings
    return now - this._previousReadAt <= READER_WINDOW_FACTOR * longestAge && this._currentAsOf - this._ownReadAt <= interval
  }

  /**
   * The time at which the store should be read next.
   * @param instances names of the live instances that may be readers
   * @param recheckAt when a read is needed to decide on entries that the last read left open; Infinity where none is
   */
  nextReadAt (self: string, instances: readonly string[], recheckAt: Milliseconds): Milliseconds {
    const { interval, longestAge, peerChangesTimeout } = this._settings
    const regularReadAt = this.isReader(self, instances) ? this._ownReadAt + interval : this._currentAsOf + longestAge
    const dueAt = Math.min(recheckAt, regularReadAt, this._behindSince + peerChangesTimeout, this._listingAt)
    return Math.max(dueAt, this._retryAt)
  }

  /** The status to send to peers, without the changes; undefined before the first listing. */
  status (changedAt: number, now: Milliseconds, era = NO_ERA): CatalogStatus | undefined {
    if (!Number.isFinite(this._currentAsOf)) return undefined
    const status = { changedAt, age: Math.ceil(now - this._currentAsOf) }
    return era === NO_ERA ? status : { ...status, era }
  }
}
