/** Refusals that are returned to callers. */
import { ActionableError, type Milliseconds } from '../common/index.js'

/** Whether a refused request did not run: `true` means that it did not and never will, `false` that it ran. */
export type NotRun = true | false | 'unknown'

/** Names of refusals; part of the caller API, so they must stay stable. */
export const REFUSAL_KINDS = [
  'unauthorized',
  'invalid-request',
  'unknown-kind',
  'body-too-large',
  'overloaded',
  'no-replica',
  'service-unavailable',
  'deadline-exceeded',
  'idempotency-key-missing',
  'idempotency-key-conflict',
  'idempotency-key-expired',
  'in-progress',
  'outcome-unknown',
  'quarantined',
  'shutting-down',
  'not-configured',
  'not-found',
  'body-too-slow',
  'headers-too-large',
  'answer-not-kept'
] as const

/** The name of a refusal. */
export type RefusalKind = typeof REFUSAL_KINDS[number]

/** A final refusal of a request, returned to the caller without further waiting. */
export class RefusalError extends ActionableError {
  /**
   * @param kind stable name of the refusal
   * @param status HTTP status
   * @param notRun whether the request certainly did not run
   * @param retryAfter delay after which the caller should retry; undefined where a retry cannot help
   */
  constructor (
    readonly kind: RefusalKind,
    readonly status: number,
    readonly notRun: NotRun,
    problem: string,
    remedy: string,
    readonly retryAfter?: Milliseconds
  ) {
    super(problem, remedy)
  }
}
