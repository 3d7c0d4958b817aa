/** HTTP calls to the platform. Failures are classified by whether the call may have taken effect. */
import got, { RequestError, TimeoutError, type Method } from 'got'
import { Result } from 'true-myth'
import { PlatformAmbiguousError, PlatformRefusedError, type Milliseconds, type PlatformError } from '@wasabihead/coordination'
import { httpConnections } from './httpConnections.js'

/** RFC 9110, 15. */
const LOWEST_STATUS = 100
const HIGHEST_STATUS = 599
const NEVER_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL'])

/** An HTTP call. `json` is sent as the body. */
export interface HttpCall {
  method: Method
  url: string
  json?: unknown
  headers?: Record<string, string>
  timeout: Milliseconds
  signal?: AbortSignal
  /** Opens a new connection that is used for this call only. */
  isOnNewConnection?: boolean
}

/** The answer of an HTTP call, whatever its status from 100 to 599. */
export interface HttpAnswer {
  status: number
  body: string
  headers: Record<string, string | string[] | undefined>
}

/** Makes one HTTP call without retries. The error's type says whether the call may have reached the server. */
export async function callHttp (call: HttpCall): Promise<Result<HttpAnswer, PlatformError>> {
  try {
    const response = await got(call.url, {
      method: call.method,
      ...(call.json === undefined ? {} : { json: call.json }),
      headers: call.headers,
      signal: call.signal,
      timeout: { request: call.timeout },
      agent: {
        http: call.isOnNewConnection === true ? httpConnections.createSingleUseAgent() : httpConnections.agentFor(call.url)
      },
      retry: { limit: 0 },
      followRedirect: false,
      throwHttpErrors: false
    })
    const { statusCode: status, body, headers } = response
    if (status < LOWEST_STATUS || status > HIGHEST_STATUS) return Result.err(statusError({ status, body, headers }, call.url))
    return Result.ok({ status, body, headers })
  } catch (error) {
    // A timeout may be due to a silent pooled connection, so the whole pool is dropped and the next call opens a new connection.
    if (error instanceof TimeoutError) httpConnections.drop(call.url)
    return Result.err(classifyFailure(error, call.url))
  }
}

/** Classifies a failed call: only an error raised before the connection was established proves that nothing was sent. */
export function classifyFailure (error: unknown, url: string): PlatformError {
  const code = error instanceof RequestError ? error.code : undefined
  const target = new URL(url).host
  if (code !== undefined && NEVER_SENT_CODES.has(code)) {
    return new PlatformRefusedError(`No connection to ${target} (${code})`, 'Check that it runs and is reachable from this host')
  }
  return new PlatformAmbiguousError(
    `No complete answer from ${target} (${code ?? String(error)})`,
    'The call may have taken effect; read the state back before retrying')
}

/** Turns an unexpected status into an error: calls with 4xx and 503 were refused, others may have taken effect. */
export function statusError (answer: HttpAnswer, url: string): PlatformError {
  const target = new URL(url).host
  const problem = `${target} answered with status ${answer.status}`
  if (answer.status === 503 || (answer.status >= 400 && answer.status < 500)) {
    return new PlatformRefusedError(problem, 'Check the request and the state of the server')
  }
  return new PlatformAmbiguousError(problem, 'The call may have taken effect; read the state back before retrying')
}
