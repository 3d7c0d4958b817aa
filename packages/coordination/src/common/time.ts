/** Time as the decisions see it: always an argument, never read from a clock. */

/** A duration, or a point on the local monotonic clock, in milliseconds. Points of two hosts are never compared. */
export type Milliseconds = number

/** Milliseconds in one second. */
export const MILLISECONDS_PER_SECOND: Milliseconds = 1_000

/** Milliseconds in one hour. */
export const MILLISECONDS_PER_HOUR: Milliseconds = 3_600_000
