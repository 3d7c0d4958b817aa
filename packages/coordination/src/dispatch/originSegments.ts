/**
 * How an instance records the origins of its streams in the store, for a fleet that restarts as a whole. Each record is a
 * segment: origins are added to the newest one until it is full, so that a write has few bytes and there are few keys.
 */
import type { Milliseconds } from '../common/index.js'
import type { StreamOrigins, StreamOriginsMessage } from './streamOrigins.js'

/** Origins after which a segment is full. */
const SEGMENT_SIZE = 64
/** Limit on the origins of one write, where many wait. */
const MAXIMUM_WRITE_SIZE = 256
/** Streams that begin within this time of each other share a write. */
const MINIMUM_INTERVAL: Milliseconds = 100
/** With many instances each writes less often, so that all together stay within a bounded rate. */
const INTERVAL_PER_INSTANCE: Milliseconds = 10
/** Interval after a write that failed, as a multiple of the one between writes. */
const FAILURE_FACTOR = 10

/** A write of one segment, which replaces what the segment held. */
export interface SegmentWrite {
  /** Number of the segment, unique within one run of the instance. */
  segment: number
  /** Revision of the last write of the segment; undefined for a new one. */
  revision: number | undefined
  /** All requests of the segment. */
  requestIds: readonly string[]
  message: StreamOriginsMessage
}

interface OpenSegment {
  segment: number
  revision: number
  requestIds: string[]
}

/** Decides which segment is written and when; one write at a time. */
export class OriginSegments {
  private _open: OpenSegment | undefined
  private _segments = 0
  private _isWriting = false
  private _interval: Milliseconds = MINIMUM_INTERVAL
  private _nextAt: Milliseconds = -Infinity

  constructor (private readonly _origins: StreamOrigins) {}

  /**
   * How long to wait until `begin`; undefined if nothing has to be written or a write is under way.
   * @param isNeeded whether streams of a service may be joined wrongly; those of other services are recorded once that changes
   */
  delay (isNeeded: (service: string) => boolean, now: Milliseconds): Milliseconds | undefined {
    if (this._isWriting || this._origins.unrecorded(isNeeded, now).length === 0) return undefined
    return Math.max(0, this._nextAt - now)
  }

  /**
   * Returns the next write, which ends with `end`.
   * @param instances number of instances that write
   */
  begin (isNeeded: (service: string) => boolean, instances: number, now: Milliseconds): SegmentWrite {
    const added = this._origins.unrecorded(isNeeded, now).slice(0, MAXIMUM_WRITE_SIZE)
    this._isWriting = true
    this._interval = Math.max(MINIMUM_INTERVAL, INTERVAL_PER_INSTANCE * instances)
    this._nextAt = now + this._interval
    const open = this._open
    const isFull = open === undefined || open.requestIds.length + added.length > SEGMENT_SIZE
    if (isFull) this._segments += 1
    const requestIds = isFull ? added : [...open.requestIds, ...added]
    return {
      segment: this._segments,
      revision: isFull ? undefined : open.revision,
      requestIds,
      message: this._origins.messageOf(requestIds, now)
    }
  }

  /** @param revision undefined if the write failed or its outcome is not known; its origins then go to a new segment */
  end ({ segment, requestIds, message }: SegmentWrite, revision: number | undefined, now: Milliseconds): void {
    this._isWriting = false
    if (revision === undefined) {
      this._open = undefined
      this._nextAt = now + this._interval * FAILURE_FACTOR
      return
    }
    this._open = { segment, revision, requestIds: [...requestIds] }
    this._origins.onRecorded(message)
  }

  /**
   * The store may have lost all segments.
   * @param spread delay of the next write, so that not all instances write at once
   */
  recordAgain (spread: Milliseconds, now: Milliseconds): void {
    this._open = undefined
    this._nextAt = now + spread
    this._origins.recordAgain(now)
  }
}
