/**
 * When an instance reads the metadata store. A few instances read it all the time and tell the others up to which
 * revision there was nothing new; an instance that is told so need not read, so that the calls do not grow with the fleet.
 */
import * as z from 'zod'
import { rankByRendezvous, type Milliseconds } from '../common/index.js'
import { toldChangesSchema } from './changeLog.js'
import { backOffDelay, type BackOffSettings } from '../retry/index.js'

/** Settings of the schedule. */
export interface ReadScheduleSettings {
  /** Instances that read without being told of anything. */
  readers: number
  /** Between two reads of such an instance. */
  interval: Milliseconds
  /** An instance that is behind waits so long for those that read, before it reads. */
  patience: Milliseconds
  /** An instance that has known nothing of the store for this long reads it whatever its rank. */
  longestAge: Milliseconds
  /** After reads that failed: all instances meet a store that is away, and each of their calls costs it. */
  backOff: BackOffSettings
}

/** What an instance tells of its copy of the store. */
export const catalogNewsSchema = z.object({
  /** The last revision that said something new. */
  changedAt: z.number(),
  /** How long ago the store held nothing newer than that. */
  age: z.number(),
  /** From an instance that reads the store for the others: the changes themselves. */
  told: toldChangesSchema.optional()
})
/** What an instance tells of its copy of the store. */
export type CatalogNews = z.infer<typeof catalogNewsSchema>

/** What follows from such news: the own copy is as good, it is behind, or the news are too old to say. */
export type NewsVerdict = 'confirmed' | 'behind' | 'old'

/** What the news may have taken to arrive. */
export const NEWS_MARGIN: Milliseconds = 150
const READER_KEY = 'metadata-store'
/** Longest ages within which an instance that reads by itself has read twice. */
const READS_OF_A_READER = 2.5

/** Holds up to when this instance's copy is known to be good. */
export class ReadSchedule {
  private _goodAt: Milliseconds = -Infinity
  private _ownReadAt: Milliseconds = -Infinity
  private _formerReadAt: Milliseconds = -Infinity
  /** Reads in a row that failed. */
  private _failures = 0
  private _retryAt: Milliseconds = -Infinity
  /** Since when this instance knows that it is behind. */
  private _behindSince: Milliseconds = Infinity
  /** The highest revision that another instance has told of. */
  private _heardRevision = 0

  constructor (private readonly _settings: ReadScheduleSettings) {}

  /** Up to when the copy is known to lack nothing. */
  get goodAt (): Milliseconds {
    return this._goodAt
  }

  /** When this instance last sent a read of the store that was answered. */
  get ownReadAt (): Milliseconds {
    return this._ownReadAt
  }

  /** The store answered a read that was sent at `askedAt`. */
  onRead (askedAt: Milliseconds): void {
    this._formerReadAt = this._ownReadAt
    this._ownReadAt = askedAt
    this._failures = 0
    this._retryAt = -Infinity
    this._behindSince = Infinity
    this._goodAt = Math.max(this._goodAt, askedAt)
  }

  /**
   * A read of the store failed.
   * @param sample at least 0 and below 1, so that instances that failed together do not read together again
   */
  onFailure (sample: number, now: Milliseconds): void {
    this._retryAt = now + backOffDelay(this._settings.backOff, this._failures, sample)
    this._failures += 1
  }

  /** Whether the last read did not fail too lately for another one. */
  mayRead (now: Milliseconds): boolean {
    return now >= this._retryAt
  }

  /** Another instance told of its copy; `revision` is the one that the own copy reaches. */
  onNews ({ changedAt, age }: CatalogNews, revision: number, now: Milliseconds): NewsVerdict {
    this._heardRevision = Math.max(this._heardRevision, changedAt)
    if (changedAt > revision) {
      this._behindSince = Math.min(this._behindSince, now)
      return 'behind'
    }
    if (this._heardRevision <= revision) this._behindSince = Infinity
    const goodAt = now - age - NEWS_MARGIN
    if (goodAt <= this._goodAt) return 'old'
    this._goodAt = goodAt
    return 'confirmed'
  }

  /** Whether another instance knows of something that the own copy lacks. */
  isBehind (revision: number): boolean {
    return this._heardRevision > revision
  }

  /**
   * Whether this instance reads the store for the others.
   * @param instances names of the live instances, this one included
   */
  isReader (self: string, instances: readonly string[]): boolean {
    const { readers } = this._settings
    return instances.length <= readers || rankByRendezvous(READER_KEY, instances).indexOf(self) < readers
  }

  /**
   * Whether this instance itself keeps up with the store, by its rank or since nobody else tells it anything. Two reads show
   * it: each instance reads once when it starts, or for a change that it could not be told. One that is told later news than
   * its own follows others.
   */
  isReading (now: Milliseconds): boolean {
    const { interval, longestAge } = this._settings
    return now - this._formerReadAt <= READS_OF_A_READER * longestAge && this._goodAt - this._ownReadAt <= interval
  }

  /**
   * When the store should be read next.
   * @param instances names of the live instances, this one included
   * @param settlesAt when what the last read left open has to be read again
   */
  nextReadAt (self: string, instances: readonly string[], settlesAt: Milliseconds): Milliseconds {
    const { interval, longestAge, patience } = this._settings
    const usualAt = this.isReader(self, instances) ? this._ownReadAt + interval : this._goodAt + longestAge
    const dueAt = Math.min(settlesAt, usualAt, this._behindSince + patience)
    return Math.max(dueAt, this._retryAt)
  }

  /** What to tell the others; undefined before the first listing. */
  news (changedAt: number, now: Milliseconds): CatalogNews | undefined {
    return Number.isFinite(this._goodAt) ? { changedAt, age: Math.ceil(now - this._goodAt) } : undefined
  }
}
