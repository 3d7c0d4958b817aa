/** A role of the system whose cost is measured at several sizes and extrapolated linearly to the target's size. */

/** Cost of a role on one node at one size. */
export interface CapacitySample {
  /** Size of the sample, in the role's unit. */
  size: number
  /** Processor time as a share of one core: 1 is one busy core. */
  coreShare: number
  stateBytes: number
  networkBytesPerSecond: number
  /** Calls to the platform's key-value service, of the whole fleet. */
  keyValueCallsPerSecond: number
}

/** Measures one role. Subclasses say what a size counts and how the cost at a size is measured. */
export abstract class CapacityRole {
  /** Name in the table and on the command line. */
  abstract readonly name: string
  /** Short description of the mechanism that lets the role scale to the target's size. */
  abstract readonly mechanism: string
  /** What a size counts, in the plural. */
  abstract readonly unit: string
  /** Sizes to measure; at least two, so that a slope can be fitted. */
  abstract readonly sizes: readonly number[]
  /** Size to which the cost is extrapolated. */
  abstract readonly targetSize: number
  /** Measures the cost at a size, in this process. */
  abstract measure (size: number): CapacitySample | Promise<CapacitySample>
}

/** A figure of a sample that is fitted against the size. */
export type CapacityFigure = Exclude<keyof CapacitySample, 'size'>

/** All figures of a sample, without the size. */
export const CAPACITY_FIGURES: readonly CapacityFigure[] = [
  'coreShare', 'stateBytes', 'networkBytesPerSecond', 'keyValueCallsPerSecond'
]
