/** Time in decision logic: always passed as an argument, never read from a clock. */

/** A duration, or a point on the local monotonic clock, in milliseconds. Points on different hosts must not be compared. */
export type Milliseconds = number

export const MILLISECONDS_PER_SECOND: Milliseconds = 1_000

export const MILLISECONDS_PER_HOUR: Milliseconds = 3_600_000
