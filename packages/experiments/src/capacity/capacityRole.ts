/** A role of the system whose cost is measured at several sizes, and worked out at the target's size from the slopes. */

/** What a role costs one node at one size. */
export interface CapacitySample {
  /** The size at which it was measured, in the role's unit. */
  size: number
  /** Share of one core. */
  coreShare: number
  stateBytes: number
  networkBytesPerSecond: number
  /** Calls on the platform's key-value service for the whole fleet. */
  keyValueCallsPerSecond: number
}

/** A role. */
export abstract class CapacityRole {
  /** Name in the table and on the command line. */
  abstract readonly name: string
  /** The mechanism that carries the role at the target's size. */
  abstract readonly mechanism: string
  /** What a size counts. */
  abstract readonly unit: string
  /** Sizes to measure, at least two. */
  abstract readonly sizes: readonly number[]
  /** The size at the target. */
  abstract readonly targetSize: number
  /** Measures the cost at a size, in one run of this process. */
  abstract measure (size: number): CapacitySample | Promise<CapacitySample>
}

/** The figures of a sample that grow with the size. */
export type CapacityFigure = Exclude<keyof CapacitySample, 'size'>

/** All figures of a sample. */
export const CAPACITY_FIGURES: readonly CapacityFigure[] = [
  'coreShare', 'stateBytes', 'networkBytesPerSecond', 'keyValueCallsPerSecond'
]
