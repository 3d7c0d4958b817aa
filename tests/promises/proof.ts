/** A proof of a promise: a seeded run that records a history, and a check that uses the promise alone, not how it is kept. */

/** A breach of the promise, with the part of the history that shows it. */
export interface Violation {
  problem: string
  /** The events that show the breach, each on a line of its own, in order. */
  evidence: string[]
}

/** The result of one run. */
export interface ProofRun {
  /** How often each thing happened in the run, by name. They reveal a run that exercised nothing. */
  counts: Record<string, number>
  violations: Violation[]
}

/** A proof of one promise. */
export abstract class Proof {
  /** The name given to `--promise` on the command line. */
  abstract readonly name: string
  /** The promise, as the users state it. */
  abstract readonly promise: string
  /** The failures that a run injects. */
  abstract readonly failures: readonly string[]
  /** Runs the decision code of all instances once, in virtual time. The same seed gives the same run. */
  abstract run (seed: number): ProofRun
}
