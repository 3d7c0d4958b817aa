/** Refusals that callers get when a claimed request has no answer. */
import { RefusalError, type AttemptOutcome, type AttemptRefusal, type KeptAnswer, type RefusalKind } from '@wasabihead/coordination'

interface RefusalText {
  kind: RefusalKind
  status: number
  problem: string
  remedy: string
}

const RETRY_WITH_SAME_KEY = 'Retry with the same idempotency key after the given delay'
const TEXTS: Record<AttemptRefusal, RefusalText> = {
  'deadline-exceeded': {
    kind: 'deadline-exceeded',
    status: 504,
    problem: 'The deadline passed before the request was sent',
    remedy: RETRY_WITH_SAME_KEY
  },
  'not-recorded': {
    kind: 'service-unavailable', status: 503, problem: 'The claim could not be recorded', remedy: RETRY_WITH_SAME_KEY
  },
  'not-sent': {
    kind: 'service-unavailable', status: 503, problem: 'The service could not be reached', remedy: RETRY_WITH_SAME_KEY
  },
  overloaded: { kind: 'overloaded', status: 429, problem: 'Too many requests are in flight', remedy: RETRY_WITH_SAME_KEY },
  'in-progress': {
    kind: 'in-progress',
    status: 409,
    problem: 'A request with this idempotency key is in progress',
    remedy: `${RETRY_WITH_SAME_KEY} to get its answer`
  },
  conflict: {
    kind: 'idempotency-key-conflict',
    status: 422,
    problem: 'This idempotency key was used for a different request',
    remedy: 'Use a new key for a new request'
  },
  expired: {
    kind: 'idempotency-key-expired',
    status: 409,
    problem: 'This idempotency key is outside the retention window',
    remedy: 'Find out whether the request ran, then use a new UUIDv7 key'
  },
  'outcome-unknown': {
    kind: 'outcome-unknown',
    status: 409,
    problem: 'The request may have run, but its outcome is unknown',
    remedy: 'Ask again with the same key, or ask your operator to resolve the claim; the request is not resent automatically'
  },
  'answer-not-kept': {
    kind: 'answer-not-kept',
    status: 410,
    problem: 'The request ran, but its answer was not kept',
    remedy: 'Look up the result in the service itself'
  },
  'answer-unreadable': {
    kind: 'service-unavailable',
    status: 503,
    problem: 'The request ran, but its kept answer cannot be read now',
    remedy: `${RETRY_WITH_SAME_KEY} to get its answer`
  }
}

/** The answer recorded for durable work whose workspace or kind was removed from the document. */
export const DROPPED_ANSWER: KeptAnswer = {
  status: 410,
  body: JSON.stringify({
    error: {
      type: 'work-dropped',
      message: 'The operators removed the workspace or kind of this request before it was finished',
      remedy: 'Ask your operator whether it is served elsewhere, then send it with a new key',
      notRun: 'unknown'
    }
  })
}

/** The error for the caller of a refused attempt. */
export function refusalOf (outcome: Extract<AttemptOutcome, { kind: 'refused' }>): RefusalError {
  const { kind, status, problem, remedy } = TEXTS[outcome.reason]
  return new RefusalError(kind, status, outcome.notRun, problem, remedy, outcome.retryAfter)
}
