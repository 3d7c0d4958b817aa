/** The server that callers connect to. */
import type http from 'node:http'
import type { Milliseconds, Route } from '@wasabihead/coordination'
import type { CallerHead } from '../protocol/index.js'
import { refuse, type RefusalReason } from './refusals.js'
import { RequestServer, type RequestTerms } from './requestServer.js'

/** Keeps idle connections open longer than callers do, so that no request is sent while the gateway closes the connection. */
const IDLE_MARGIN: Milliseconds = 1_000
/** Applies to requests without a time budget of their caller; the timeout of the route applies if it is shorter. */
const DEFAULT_TIME_BUDGET: Milliseconds = 600_000

/** An incomplete head takes several times its size; one that is complete, less. */
const HEAD_ALLOWANCE = 8
/** The limit of the configuration is on the headers alone, and is checked once a head is complete. */
const REQUEST_LINE_ALLOWANCE = 16_384

/** Serves callers. */
export class FrontServer extends RequestServer {
  /** Applies the timeouts of the current configuration; does nothing while there is none. */
  applyLimits (): void {
    const limits = this._state.catalog.routes?.configuration.limits
    if (limits === undefined) return
    this._server.keepAliveTimeout = limits.idleTimeout + IDLE_MARGIN
    this._server.headersTimeout = limits.headerTimeout
    this._state.callerGuard.maximumOpenBytes = 2 * limits.maximumHeaderBytes + REQUEST_LINE_ALLOWANCE
    this._state.callerGuard.memory.allowRequest(limits.maximumBodyBytes + HEAD_ALLOWANCE * limits.maximumHeaderBytes)
  }

  protected override _refusalOf (request: http.IncomingMessage): RefusalReason | undefined {
    const limit = this._state.catalog.routes?.configuration.limits.maximumHeaderBytes ?? Infinity
    return headerSize(request.rawHeaders) > limit ? 'head-too-large' : undefined
  }

  protected override _termsOf (
    _request: http.IncomingMessage, head: CallerHead, { timeout }: Route, receivedAt: Milliseconds
  ): RequestTerms {
    return { head, deadline: receivedAt + Math.min(timeout, head.timeBudget ?? DEFAULT_TIME_BUDGET), relayed: undefined }
  }

  protected override _refuse (response: http.ServerResponse, reason: RefusalReason): void {
    refuse(response, reason, this._state)
  }
}

function headerSize (rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}
