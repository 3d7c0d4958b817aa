/** Reads JSON bodies; an unreadable body always becomes a client error. */
import { bodyParser } from '@koa/bodyparser'
import { ActionableError } from '@wasabihead/coordination'

const BODY_TOO_LARGE = 413
const BAD_REQUEST = 400

/** A body could not be read: it is too large, not JSON, or not in its declared encoding. */
export class UnreadableBodyError extends ActionableError {
  readonly kind = 'unreadable-body'

  /** @param status HTTP status: 413 if the body is too large, else 400 */
  constructor (readonly status: number, limit: string) {
    super(
      status === BODY_TOO_LARGE ? 'The body is too large' : 'The request is malformed',
      status === BODY_TOO_LARGE ? `Send at most ${limit}` : 'Send a JSON object with the header Content-Type: application/json'
    )
  }
}

/** Middleware that reads a JSON body up to a limit such as "4mb"; throws `UnreadableBodyError`. */
export function jsonBody (limit: string): ReturnType<typeof bodyParser> {
  return bodyParser({
    enableTypes: ['json'],
    jsonLimit: limit,
    onError: error => {
      const { status } = error as { status?: number }
      throw new UnreadableBodyError(status === BODY_TOO_LARGE ? BODY_TOO_LARGE : BAD_REQUEST, limit)
    }
  })
}
