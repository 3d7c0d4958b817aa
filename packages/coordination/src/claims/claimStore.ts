/** The claims of one shard as last known to be recorded: the head's open records over the closed segments. */
import { contentDigest, type Milliseconds } from '../common/index.js'
import { claimId } from './claimDecisions.js'
import type { ClaimLimits } from './claimLimits.js'
import type { Claim, SegmentName, ShardHead, StoredAnswer } from './messages.js'
import { isForgettable } from './retention.js'

/** Bytes that a value takes in the key-value service as JSON. */
export function valueBytes (value: object): number {
  return Buffer.byteLength(JSON.stringify(value))
}

/** A closed segment with its records. */
export interface ClosedSegment {
  name: SegmentName
  claims: readonly Claim[]
}

/** A closing of the head's settled records: what the next head holds once the segment is written. */
export interface SegmentPlan {
  segment: ClosedSegment
  /** The segment's value. */
  text: string
  open: Claim[]
  segments: ClosedSegment[]
  /** Names that the next head no longer holds. */
  dropped: string[]
  /** Answers in chunks that no record names any more. */
  droppedAnswers: StoredAnswer[]
}

/** Holds the records of one shard. */
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

  /** Size of the open records. */
  get openBytes (): number {
    return this._openBytes
  }

  /** The closed segments, oldest first. */
  get segments (): readonly ClosedSegment[] {
    return this._segments
  }

  /** Whether enough records are settled to close them. */
  get isCloseDue (): boolean {
    return this._settledBytes >= this._limits.closeAtBytes
  }

  /** The latest record of a claim. */
  find (id: string): Claim | undefined {
    return this._open.get(id) ?? this._closed.get(id)
  }

  /** Replaces everything by what a head names. */
  load (open: readonly Claim[], segments: readonly ClosedSegment[]): void {
    this._open.clear()
    this._closed.clear()
    this._openBytes = 0
    this._settledBytes = 0
    this._segments = segments
    for (const { claims } of segments) for (const claim of claims) this._closed.set(claimId(claim), claim)
    this.record(open)
  }

  /** Takes a closing that a head write has won. */
  close (plan: SegmentPlan): void {
    const dropped = this._segments.filter(({ name }) => plan.dropped.includes(name.name))
    for (const claim of dropped.flatMap(({ claims }) => claims)) this._forget(claim)
    for (const claim of plan.segment.claims) this._closed.set(claimId(claim), claim)
    this._segments = plan.segments
    this._open.clear()
    this._openBytes = 0
    this._settledBytes = 0
    this.record(plan.open)
  }

  /** Adds records that a head write has won. */
  record (claims: Iterable<Claim>): void {
    for (const claim of claims) this._set(claim)
  }

  /** Plans the closing of all settled records under a name that can never come again. */
  planClose (name: string, wall: Milliseconds): SegmentPlan {
    const settled = this.open.filter(claim => claim.state !== 'claimed')
    const rest = this._segments.slice(0, this._segments.length - this._mergeCount())
    const merging = this._segments.slice(rest.length)
    const merged = merging.flatMap((segment, index) => this._keptOf(segment, rest.length + index === 0, wall))
    const expired = this._expiredOf(rest, wall)
    const carried = expired === undefined ? [] : this._keptOf(expired, true, wall)
    const claims = [...carried, ...merged, ...settled]
    const text = JSON.stringify(claims)
    const droppedSegments = [...merging, ...(expired === undefined ? [] : [expired])]
    const closed: ClosedSegment = {
      name: { name, digest: contentDigest(text), count: claims.length, sizeBytes: Buffer.byteLength(text), closedAt: wall },
      claims
    }
    return {
      segment: closed,
      text,
      open: this.open.filter(claim => claim.state === 'claimed'),
      segments: [...rest.filter(segment => segment !== expired), closed],
      dropped: droppedSegments.map(segment => segment.name.name),
      droppedAnswers: this._forgottenAnswers(droppedSegments, new Set(claims))
    }
  }

  /**
   * How many of the newest segments the next one takes in: each that is at most twice as large as what is written anyway.
   * So a record is written again only a few times on its way into a segment of the target's size.
   */
  private _mergeCount (): number {
    let sizeBytes = this._settledBytes
    let count = 0
    for (const { name } of this._segments.toReversed()) {
      if (name.sizeBytes > 2 * sizeBytes || name.sizeBytes + sizeBytes > this._limits.segmentTargetBytes) return count
      sizeBytes += name.sizeBytes
      count += 1
    }
    return count
  }

  /**
   * The records of a segment that its successor must hold. Records past the window may only go from the oldest segment:
   * an older segment could hold an older record of the same claim, which would then count again.
   */
  private _keptOf (segment: ClosedSegment, isOldest: boolean, wall: Milliseconds): Claim[] {
    return segment.claims.filter(claim => {
      const id = claimId(claim)
      if (this._open.has(id) || this._closed.get(id) !== claim) return false
      return claim.state === 'unknown' || !isOldest || !isForgettable(claim.recordedAt, wall, this._limits)
    })
  }

  private _forgottenAnswers (dropped: readonly ClosedSegment[], kept: ReadonlySet<Claim>): StoredAnswer[] {
    const forgotten = dropped.flatMap(({ claims }) => claims).filter(claim => {
      const id = claimId(claim)
      return !kept.has(claim) && !this._open.has(id) && this._closed.get(id) === claim
    })
    return forgotten.flatMap(({ storedAnswer }) => storedAnswer ?? [])
  }

  /** The oldest segment, if it is past the window and what it must hand on is small enough. */
  private _expiredOf (segments: readonly ClosedSegment[], wall: Milliseconds): ClosedSegment | undefined {
    const oldest = segments[0]
    if (oldest === undefined || !isForgettable(oldest.name.closedAt, wall, this._limits)) return undefined
    const carriedBytes = this._keptOf(oldest, true, wall).reduce((sum, claim) => sum + valueBytes(claim), 0)
    return carriedBytes + this._settledBytes + this._limits.segmentTargetBytes > this._limits.segmentMaximumBytes
      ? undefined
      : oldest
  }

  private _forget (claim: Claim): void {
    const id = claimId(claim)
    if (this._closed.get(id) === claim) this._closed.delete(id)
  }

  private _set (claim: Claim): void {
    const id = claimId(claim)
    const previous = this._open.get(id)
    if (previous === claim) return
    if (previous !== undefined) this._count(previous, -1)
    this._open.set(id, claim)
    this._count(claim, 1)
  }

  private _count (claim: Claim, sign: 1 | -1): void {
    const size = valueBytes(claim) * sign
    this._openBytes += size
    if (claim.state !== 'claimed') this._settledBytes += size
  }
}

/** The part of a head that a store writes. */
export function headContents (open: Claim[], segments: readonly ClosedSegment[]): Pick<ShardHead, 'claims' | 'segments'> {
  return { claims: open, segments: segments.map(segment => segment.name) }
}
