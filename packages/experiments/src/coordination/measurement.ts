/** A measurement of the coordination decisions, replayed in virtual time. */

/** One line of figures: names to figures in the units that the names tell. */
export interface MeasurementRow {
  [column: string]: string | number
}

/** One topic that can be measured. */
export abstract class CoordinationMeasurement {
  /** Name for the command line. */
  abstract readonly name: string
  /** What is measured, in one sentence. */
  abstract readonly description: string
  /** Runs with a seed; the same seed gives the same figures, but for those in processor time. */
  abstract run (seed: number): MeasurementRow[]
}
