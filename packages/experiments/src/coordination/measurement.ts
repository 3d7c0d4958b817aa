/** A measurement of the coordination decisions, replayed in virtual time. */

/** One row of figures by column; the name of a column contains the unit where there is one. */
export interface MeasurementRow {
  [column: string]: string | number
}

/** Measures one topic. */
export abstract class CoordinationMeasurement {
  /** Value of `--topic` on the command line. */
  abstract readonly name: string
  /** What is measured, in one sentence. */
  abstract readonly description: string
  /** Runs the replay; the same seed gives the same figures, except for processor time and memory. */
  abstract run (seed: number): MeasurementRow[]
}
