/** Sizes and times of the claim log. All instances of an environment use the same. */
import { MILLISECONDS_PER_HOUR, type Milliseconds } from '../common/index.js'

/** Sizes and times of the claim log. */
export interface ClaimLimits {
  /** Size of settled records at which the head's records move into a segment. */
  closeAtBytes: number
  /** Size up to which the newest segments are merged with the next records, so that names stay few. */
  segmentTargetBytes: number
  /** No segment is written above this size; the service holds values up to a megabyte. */
  segmentMaximumBytes: number
  /** A new claim that would take the head's records above this size is refused. */
  headMaximumBytes: number
  /** Time for which a key may be sent again. */
  retentionWindow: Milliseconds
  /** Time for which a claim is kept beyond the window; twice the largest difference of two wall clocks, or more. */
  windowMargin: Milliseconds
  /** Longest pause of a process that is reckoned with: an attempt past its check of the deadline may send this much later. */
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
