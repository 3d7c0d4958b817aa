/** What a proof of a promise is: a seeded run that records a history, and a check that knows only the promise. */

/** A breach of the promise, with the part of the history that shows it. */
export interface Violation {
  problem: string
  /** The events that show the breach, each on a line of its own, in order. */
  evidence: string[]
}

/** What one run gave. */
export interface ProofRun {
  /** What happened in the run: names to counts, so that a run that tried nothing is seen. */
  counts: Record<string, number>
  violations: Violation[]
}

/** A proof of one promise. */
export abstract class Proof {
  /** Name for the command line. */
  abstract readonly name: string
  /** The promise, as the users state it. */
  abstract readonly promise: string
  /** The failures that a run injects. */
  abstract readonly failures: readonly string[]
  /** One concurrent run of the decision code in virtual time. The same seed gives the same run. */
  abstract run (seed: number): ProofRun
}
