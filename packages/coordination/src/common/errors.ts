/** The base class of typed errors. */

/** An error with a stable kind for programs, and a message that says what went wrong and what to do about it. */
export abstract class ActionableError extends Error {
  /** Stable name of the error, for programs. */
  abstract readonly kind: string

  /**
   * @param problem what went wrong, one sentence without a full stop
   * @param remedy what to do about it, one or more sentences
   */
  constructor (readonly problem: string, readonly remedy: string) {
    super(`${problem}. ${remedy}`)
  }
}
