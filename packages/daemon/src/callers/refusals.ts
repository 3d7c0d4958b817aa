/** Refusals as callers receive them: every failure is answered with the same typed JSON body. */
import type { Context } from 'koa'
import { RefusalError, type Milliseconds } from '@wasabihead/coordination'
import { UnreadableBodyError, type TransportFault } from '../http/index.js'

const MILLISECONDS_PER_SECOND = 1_000
const SHUTDOWN_RETRY_AFTER: Milliseconds = 100
const SLOW_BODY_RETRY_AFTER: Milliseconds = 1_000

/** Returns the value, or throws the refusal, which ends the request. */
export function unwrap<Value> (result: { isOk: true, value: Value } | { isOk: false, error: RefusalError }): Value {
  if (result.isOk) return result.value
  throw result.error
}

/** The `error` object of a refusal. */
export function refusalBody (refusal: RefusalError): object {
  return {
    type: refusal.kind,
    message: refusal.problem,
    remedy: refusal.remedy,
    notRun: refusal.notRun,
    ...(refusal.retryAfter === undefined ? {} : { retryAfterMilliseconds: refusal.retryAfter })
  }
}

/** Answers with a refusal; the `Retry-After` header has its delay in seconds, rounded up. */
export function answerRefusal (context: Context, refusal: RefusalError): void {
  context.status = refusal.status
  if (refusal.retryAfter !== undefined) {
    context.set('Retry-After', String(Math.ceil(refusal.retryAfter / MILLISECONDS_PER_SECOND)))
  }
  context.body = { error: refusalBody(refusal) }
}

/** Converts anything thrown by a request handler to a refusal. */
export function toRefusal (error: unknown): RefusalError {
  if (error instanceof RefusalError) return error
  if (error instanceof UnreadableBodyError) {
    const kind = error.status === 413 ? 'body-too-large' : 'invalid-request'
    return new RefusalError(kind, error.status, true, error.problem, error.remedy)
  }
  const status = (error as { status?: number } | undefined)?.status ?? 500
  if (status >= 400 && status < 500) {
    return new RefusalError('invalid-request', status, true, 'The request is malformed', 'Correct its path and headers')
  }
  return new RefusalError('service-unavailable', 500, 'unknown',
    'The instance failed on this request', 'Report the time and the request to your operator')
}

/** The body of the answer to a request that was not received completely. */
export function transportRefusalBody (fault: TransportFault): object {
  return { error: refusalBody(TRANSPORT_REFUSALS[fault]) }
}

const TRANSPORT_REFUSALS: Record<TransportFault, RefusalError> = {
  'headers-too-large': new RefusalError('headers-too-large', 431, true, 'The headers are too large', 'Send at most 16 KiB of headers'),
  'request-too-slow': new RefusalError('body-too-slow', 408, true,
    'The request was not received completely in time', 'Send it again over a faster connection', SLOW_BODY_RETRY_AFTER),
  malformed: new RefusalError('invalid-request', 400, true, 'The request is not valid HTTP', 'Send an HTTP/1.1 request')
}

/** The refusal of a host that is leaving; its remedy names the other hosts. */
export function leavingRefusal (others: readonly string[]): RefusalError {
  const remedy = others.length > 0 ? `Use another host: ${others.join(', ')}` : 'Request the list of hosts again'
  return new RefusalError('shutting-down', 503, true, 'This host is leaving', remedy, SHUTDOWN_RETRY_AFTER)
}

/** The refusal of a path or method that is not served. */
export function notFoundRefusal (): RefusalError {
  return new RefusalError('not-found', 404, true, 'Nothing is served at this path with this method',
    'Use POST /v1/completions, /v1/chat/completions or /v1/calls/KIND, or GET /v1/hosts')
}
