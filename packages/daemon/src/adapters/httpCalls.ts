/** HTTP calls on the platform, with failures sorted into "never took effect" and "may have". */
import got, { RequestError, TimeoutError, type Method } from 'got'
import { Result } from 'true-myth'
import { PlatformAmbiguousError, PlatformRefusedError, type Milliseconds, type PlatformError } from '@wasabihead/coordination'
import { httpConnections } from './httpConnections.js'

const NEVER_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL'])

/** One HTTP call. */
export interface HttpCall {
  method: Method
  url: string
  json?: unknown
  headers?: Record<string, string>
  timeout: Milliseconds
  signal?: AbortSignal
  /** Opens a connection for this call alone. */
  isOnNewConnection?: boolean
}

/** The answer of an HTTP call, whatever its status. */
export interface HttpAnswer {
  status: number
  body: string
  headers: Record<string, string | string[] | undefined>
}

/** Makes one HTTP call without retries. An error tells whether the call may have reached the other side. */
export async function callHttp (call: HttpCall): Promise<Result<HttpAnswer, PlatformError>> {
  try {
    const response = await got(call.url, {
      method: call.method,
      ...(call.json === undefined ? {} : { json: call.json }),
      headers: call.headers,
      signal: call.signal,
      timeout: { request: call.timeout },
      agent: { http: call.isOnNewConnection === true ? httpConnections.single() : httpConnections.agentFor(call.url) },
      retry: { limit: 0 },
      followRedirect: false,
      throwHttpErrors: false
    })
    return Result.ok({ status: response.statusCode, body: response.body, headers: response.headers })
  } catch (error) {
    // A call that timed out may have met a silent connection, so none that it could have used serves the next call.
    if (error instanceof TimeoutError) httpConnections.drop(call.url)
    return Result.err(sortFailure(error, call.url))
  }
}

/** Sorts a failed call: only an error raised before a connection stood proves that nothing was sent. */
export function sortFailure (error: unknown, url: string): PlatformError {
  const code = error instanceof RequestError ? error.code : undefined
  const target = new URL(url).host
  if (code !== undefined && NEVER_SENT_CODES.has(code)) {
    return new PlatformRefusedError(`No connection to ${target} (${code})`, 'Check that it runs and is reachable from this host')
  }
  return new PlatformAmbiguousError(
    `No whole answer from ${target} (${code ?? String(error)})`, 'The call may have taken effect; read back before judging')
}

/** Turns an unexpected status into an error: 4xx and 503 were refused, the rest may have taken effect. */
export function statusError (answer: HttpAnswer, url: string): PlatformError {
  const target = new URL(url).host
  const problem = `${target} answered status ${answer.status}`
  if (answer.status === 503 || (answer.status >= 400 && answer.status < 500)) {
    return new PlatformRefusedError(problem, 'Check the request and the state of the server')
  }
  return new PlatformAmbiguousError(problem, 'The call may have taken effect; read back before judging')
}
