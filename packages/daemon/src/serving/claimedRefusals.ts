/** What callers are told when a claimed request gives no answer. */
import { RefusalError, type AttemptOutcome, type AttemptRefusal, type KeptAnswer, type RefusalKind } from '@wasabihead/coordination'

interface RefusalText {
  kind: RefusalKind
  status: number
  problem: string
  remedy: string
}

const SEND_AGAIN = 'Send it again with the same idempotency key after the time given'
const TEXTS: Record<AttemptRefusal, RefusalText> = {
  'deadline-exceeded': {
    kind: 'deadline-exceeded', status: 504, problem: 'The deadline passed before the request was sent', remedy: SEND_AGAIN
  },
  'not-recorded': {
    kind: 'service-unavailable', status: 503, problem: 'The claim could not be recorded', remedy: SEND_AGAIN
  },
  'not-sent': {
    kind: 'service-unavailable', status: 503, problem: 'The service could not be reached', remedy: SEND_AGAIN
  },
  overloaded: { kind: 'overloaded', status: 429, problem: 'Too many requests are open', remedy: SEND_AGAIN },
  'in-progress': {
    kind: 'in-progress', status: 409, problem: 'A request with this idempotency key is running', remedy: `${SEND_AGAIN} for its answer`
  },
  conflict: {
    kind: 'idempotency-key-conflict',
    status: 422,
    problem: 'This idempotency key belongs to another request',
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
    problem: 'The request may have run, and its answer is not known',
    remedy: 'Come back with the same key, or ask your operator to resolve the claim; it is not sent again by itself'
  },
  'answer-not-kept': {
    kind: 'answer-not-kept',
    status: 410,
    problem: 'The request ran, and its answer is not kept',
    remedy: 'Look the result up at the service itself'
  },
  'answer-unreadable': {
    kind: 'service-unavailable',
    status: 503,
    problem: 'The request ran, and its answer is kept but cannot be read now',
    remedy: `${SEND_AGAIN} for its answer`
  }
}

/** What is recorded as the answer of durable work whose workspace or kind the document has dropped. */
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

/** The refusal of an attempt. */
export function refusalOf (outcome: Extract<AttemptOutcome, { kind: 'refused' }>): RefusalError {
  const { kind, status, problem, remedy } = TEXTS[outcome.reason]
  return new RefusalError(kind, status, outcome.notRun, problem, remedy, outcome.retryAfter)
}
