/** Refusals: answers which promise that the request has not run and never will. */
import type http from 'node:http'
import { jitteredRetryAfter, type Milliseconds } from '@wasabihead/coordination'
import type { GatewayState } from './gatewayState.js'

/** Why a request is refused. */
export type RefusalReason =
  | 'no-configuration' | 'no-replica' | 'at-limit' | 'not-run' | 'crashes-replicas' | 'no-time-left' | 'no-route' | 'unknown-key'
  | 'crowded' | 'leaving' | 'origin-unknown' | 'cut-off' | 'relays-full' | 'configuration-behind' | 'body-too-large' | 'head-too-large' | 'body-not-read' | 'malformed'

/** How long the rest of a refused request is read before its connection closes. */
const LINGER: Milliseconds = 1_000

interface Refusal {
  status: number
  /** Minimum delay before the caller should retry. Left out where a retry would not help. */
  retryAfter?: Milliseconds
}

const REFUSALS: Record<RefusalReason, Refusal> = {
  'no-configuration': { status: 503, retryAfter: 300 },
  'no-replica': { status: 503, retryAfter: 200 },
  'at-limit': { status: 503, retryAfter: 200 },
  'not-run': { status: 503, retryAfter: 50 },
  'crashes-replicas': { status: 503, retryAfter: 30_000 },
  'no-time-left': { status: 503, retryAfter: 50 },
  'origin-unknown': { status: 503, retryAfter: 100 },
  'cut-off': { status: 503, retryAfter: 400 },
  'relays-full': { status: 503, retryAfter: 300 },
  'configuration-behind': { status: 503, retryAfter: 100 },
  crowded: { status: 503, retryAfter: 300 },
  leaving: { status: 503, retryAfter: 50 },
  'no-route': { status: 404 },
  'unknown-key': { status: 401 },
  'body-too-large': { status: 413 },
  'head-too-large': { status: 431 },
  'body-not-read': { status: 408, retryAfter: 50 },
  malformed: { status: 400 }
}

/**
 * Refuses a request. Only for one that was sent to no replica, or that each replica it was sent to stated not to have run.
 * Does nothing if the head of an answer was sent already or the caller has disconnected.
 * @param retryAfter delay before the caller should retry; defaults to the delay of the reason
 * @param jitter share of the delay that is added, random unless given; 0 where each caller was given a delay of its own
 */
export function refuse (
  response: http.ServerResponse, reason: RefusalReason, state: GatewayState, retryAfter = REFUSALS[reason].retryAfter,
  jitter?: number
): void {
  if (response.headersSent || response.destroyed) return
  const { status } = REFUSALS[reason]
  const headers: string[] = ['Content-Length', '0']
  if (retryAfter !== undefined) {
    headers.push(...state.callerProtocol.retryAfter(jitteredRetryAfter(retryAfter, jitter ?? state.random.next())))
  }
  response.writeHead(status, headers)
  endAfterRequest(response)
}

/** If a connection closes while its request still arrives, it is reset, and the caller may not read the answer. */
function endAfterRequest (response: http.ServerResponse): void {
  const { req: request } = response
  if (request.complete || response.getHeader('connection') !== 'close') {
    response.end()
    return
  }
  response.flushHeaders()
  const end = (): void => {
    clearTimeout(timer)
    response.end()
  }
  const timer = setTimeout(end, LINGER)
  request.once('close', end)
}
