/** Typed errors whose messages name the remedy. */

/** What every error of this project carries: a kind for programs, and for people what happened and what to do. */
export abstract class RemediedError extends Error {
  /** Stable name of the error, for programs. */
  abstract readonly kind: string

  /**
   * @param problem what went wrong, one sentence without a final stop
   * @param remedy what the reader should do about it
   */
  constructor (readonly problem: string, readonly remedy: string) {
    super(`${problem}. ${remedy}`)
  }
}
