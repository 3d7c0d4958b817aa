/** Refusals that callers see. */
import { RemediedError, type Milliseconds } from '../common/index.js'

/** Whether a refused request ran: `true` means that it did not and never will. */
export type NotRun = true | false | 'unknown'

/** Names of refusals, stable for programs. */
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

/** A refusal: a final answer to a caller, at once. */
export class RefusalError extends RemediedError {
  /**
   * @param kind stable name of the refusal
   * @param status HTTP status
   * @param notRun whether the request ran
   * @param retryAfter when to come back, if coming back can help
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
