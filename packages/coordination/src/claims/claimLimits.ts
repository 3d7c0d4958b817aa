/** Sizes and times of the claim log. All instances of an environment use the same values. */
import { MILLISECONDS_PER_HOUR, type Milliseconds } from '../common/index.js'

/** Sizes and times of the claim log. */
export interface ClaimLimits {
  /** Total size of the head's settled records at which they move into a segment. */
  closeAtBytes: number
  /** Size up to which the newest segments are merged with the next records, so that the head lists few segments. */
  segmentTargetBytes: number
  /** Largest size of a segment; the service stores values of up to one megabyte. */
  segmentMaximumBytes: number
  /** Largest total size of the head's records; a new claim that would exceed it is refused. */
  headMaximumBytes: number
  /** Time for which a request may be repeated under its key. */
  retentionWindow: Milliseconds
  /** Time for which a claim is retained beyond the window; at least twice the largest difference between two wall clocks. */
  windowMargin: Milliseconds
  /** Longest assumed pause of a process: an attempt that has checked its deadline may send this much later. */
  largestPause: Milliseconds
}

/** The limits that instances use. */
export const CLAIM_LIMITS: ClaimLimits = {
  closeAtBytes: 8_192,
  segmentTargetBytes: 524_288,
  segmentMaximumBytes: 786_432,
  headMaximumBytes: 524_288,
  retentionWindow: 24 * MILLISECONDS_PER_HOUR,
  windowMargin: MILLISECONDS_PER_HOUR,
  largestPause: 600_000
}
