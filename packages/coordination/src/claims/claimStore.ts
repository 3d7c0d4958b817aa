/** The last known records of one shard: the open records of its head, which take precedence over its closed segments. */
import { contentDigest, type Milliseconds } from '../common/index.js'
import { claimId } from './claimDecisions.js'
import type { ClaimLimits } from './claimLimits.js'
import type { Claim, SegmentDescriptor, ShardHead, StoredAnswer } from './messages.js'
import { isPastRetention } from './retention.js'

/** Size of a value in the key-value service, in bytes of JSON. */
export function valueBytes (value: object): number {
  return Buffer.byteLength(JSON.stringify(value))
}

/** A closed segment with its records. */
export interface ClosedSegment {
  descriptor: SegmentDescriptor
  claims: readonly Claim[]
}

/** A plan to move the head's settled records into a new segment, and what the next head holds once the segment is written. */
export interface SegmentPlan {
  segment: ClosedSegment
  /** The segment's value in the key-value service. */
  text: string
  open: Claim[]
  segments: ClosedSegment[]
  /** Names of the segments that the next head no longer lists. */
  dropped: string[]
  /** Answers in chunks that no record names once the next head is written. */
  droppedAnswers: StoredAnswer[]
}

/** The records of one shard, in memory. */
export class ClaimStore {
  private readonly _open = new Map<string, Claim>()
  private readonly _closed = new Map<string, Claim>()
  private _segments: readonly ClosedSegment[] = []
  private _openBytes = 0
  private _settledBytes = 0

  /** @param _limits sizes and times of the log */
  constructor (private readonly _limits: ClaimLimits) {}

  /** The latest record of every claim. */
  get claims (): Claim[] {
    return [...new Map([...this._closed, ...this._open]).values()]
  }

  /** The records that are in no segment. */
  get open (): Claim[] {
    return [...this._open.values()]
  }

  /** Size of the open records, in bytes. */
  get openBytes (): number {
    return this._openBytes
  }

  /** The closed segments, oldest first. */
  get segments (): readonly ClosedSegment[] {
    return this._segments
  }

  /** Whether there are enough settled records to move them into a segment. */
  get isCloseDue (): boolean {
    return this._settledBytes >= this._limits.closeAtBytes
  }

  /** The latest record of a claim. */
  find (id: string): Claim | undefined {
    return this._open.get(id) ?? this._closed.get(id)
  }

  /** Replaces all records by those of a head and its segments. */
  load (open: readonly Claim[], segments: readonly ClosedSegment[]): void {
    this._open.clear()
    this._closed.clear()
    this._openBytes = 0
    this._settledBytes = 0
    this._segments = segments
    for (const { claims } of segments) for (const claim of claims) this._closed.set(claimId(claim), claim)
    this.record(open)
  }

  /** Applies a plan after the write of its head succeeded. */
  close (plan: SegmentPlan): void {
    const dropped = this._segments.filter(({ descriptor }) => plan.dropped.includes(descriptor.name))
    for (const claim of dropped.flatMap(({ claims }) => claims)) this._removeClosed(claim)
    for (const claim of plan.segment.claims) this._closed.set(claimId(claim), claim)
    this._segments = plan.segments
    this._open.clear()
    this._openBytes = 0
    this._settledBytes = 0
    this.record(plan.open)
  }

  /** Adds open records after the write of their head succeeded. */
  record (claims: Iterable<Claim>): void {
    for (const claim of claims) this._set(claim)
  }

  /** Plans a segment of all settled records. The name must never be used again. */
  planClose (name: string, wall: Milliseconds): SegmentPlan {
    const settled = this.open.filter(claim => claim.state !== 'claimed')
    const remaining = this._segments.slice(0, this._segments.length - this._mergeCount())
    const merging = this._segments.slice(remaining.length)
    const merged = merging.flatMap((segment, index) => this._retainedRecords(segment, remaining.length + index === 0, wall))
    const expired = this._expiredOldest(remaining, wall)
    const carried = expired === undefined ? [] : this._retainedRecords(expired, true, wall)
    const claims = [...carried, ...merged, ...settled]
    const text = JSON.stringify(claims)
    const droppedSegments = [...merging, ...(expired === undefined ? [] : [expired])]
    const closed: ClosedSegment = {
      descriptor: { name, digest: contentDigest(text), count: claims.length, sizeBytes: Buffer.byteLength(text), closedAt: wall },
      claims
    }
    return {
      segment: closed,
      text,
      open: this.open.filter(claim => claim.state === 'claimed'),
      segments: [...remaining.filter(segment => segment !== expired), closed],
      dropped: droppedSegments.map(segment => segment.descriptor.name),
      droppedAnswers: this._answersToRemove(droppedSegments, new Set(claims))
    }
  }

  /**
   * How many of the newest segments are merged into the next one: each that is at most twice as large as what is collected so
   * far. So a record is rewritten only a few times before it is in a segment of the target size.
   */
  private _mergeCount (): number {
    let sizeBytes = this._settledBytes
    let count = 0
    for (const { descriptor } of this._segments.toReversed()) {
      if (descriptor.sizeBytes > 2 * sizeBytes || descriptor.sizeBytes + sizeBytes > this._limits.segmentTargetBytes) return count
      sizeBytes += descriptor.sizeBytes
      count += 1
    }
    return count
  }

  /**
   * The records of a segment that must be retained. Expired records are dropped only from the oldest segment: an older segment
   * might contain an older record of the same claim, which would then become the latest one.
   */
  private _retainedRecords (segment: ClosedSegment, isOldest: boolean, wall: Milliseconds): Claim[] {
    return segment.claims.filter(claim => {
      const id = claimId(claim)
      if (this._open.has(id) || this._closed.get(id) !== claim) return false
      return claim.state === 'unknown' || !isOldest || !isPastRetention(claim.recordedAt, wall, this._limits)
    })
  }

  private _answersToRemove (dropped: readonly ClosedSegment[], kept: ReadonlySet<Claim>): StoredAnswer[] {
    const removedClaims = dropped.flatMap(({ claims }) => claims).filter(claim => {
      const id = claimId(claim)
      return !kept.has(claim) && !this._open.has(id) && this._closed.get(id) === claim
    })
    return removedClaims.flatMap(({ storedAnswer }) => storedAnswer ?? [])
  }

  /** The oldest segment, if it is past the window and its records that must be retained are few enough to rewrite. */
  private _expiredOldest (segments: readonly ClosedSegment[], wall: Milliseconds): ClosedSegment | undefined {
    const oldest = segments[0]
    if (oldest === undefined || !isPastRetention(oldest.descriptor.closedAt, wall, this._limits)) return undefined
    const carriedBytes = this._retainedRecords(oldest, true, wall).reduce((sum, claim) => sum + valueBytes(claim), 0)
    return carriedBytes + this._settledBytes + this._limits.segmentTargetBytes > this._limits.segmentMaximumBytes
      ? undefined
      : oldest
  }

  private _removeClosed (claim: Claim): void {
    const id = claimId(claim)
    if (this._closed.get(id) === claim) this._closed.delete(id)
  }

  private _set (claim: Claim): void {
    const id = claimId(claim)
    const previous = this._open.get(id)
    if (previous === claim) return
    if (previous !== undefined) this._addSize(previous, -1)
    this._open.set(id, claim)
    this._addSize(claim, 1)
  }

  private _addSize (claim: Claim, sign: 1 | -1): void {
    const size = valueBytes(claim) * sign
    this._openBytes += size
    if (claim.state !== 'claimed') this._settledBytes += size
  }
}

/** The records and segments of a head, in the form in which it is written. */
export function headContents (open: Claim[], segments: readonly ClosedSegment[]): Pick<ShardHead, 'claims' | 'segments'> {
  return { claims: open, segments: segments.map(segment => segment.descriptor) }
}
