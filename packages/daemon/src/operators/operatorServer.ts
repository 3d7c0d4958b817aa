/** HTTP server for operators and their command-line tool. Each feature adds its own routes. */
import { createHash, timingSafeEqual } from 'node:crypto'
import Router from '@koa/router'
import Koa, { type Context } from 'koa'
import { ActionableError } from '@wasabihead/coordination'
import type { CallerGuard } from '@wasabihead/http'
import { GuardedServer, jsonBody, type ServerTimeouts, type TransportFault } from '../http/index.js'
import { answerError, type OperatorError, type OperatorRoutes } from './operatorRoutes.js'

const BODY_LIMIT = '2mb'
const NOT_FOUND: OperatorError = {
  type: 'not-found',
  message: 'Nothing is served at this path with this method',
  remedy: 'Use a tool of the same version as the daemon'
}
const TRANSPORT_ERRORS: Record<TransportFault, OperatorError> = {
  'headers-too-large': { type: 'headers-too-large', message: 'The headers are too large', remedy: 'Send at most 16 KiB of headers' },
  'request-too-slow': { type: 'request-too-slow', message: 'The request did not arrive in time', remedy: 'Send it again' },
  malformed: { type: 'invalid-request', message: 'The request is not valid HTTP', remedy: 'Send an HTTP/1.1 request' }
}

/** Serves operators who have the operators' token. */
export class OperatorServer {
  private readonly _server: GuardedServer

  /**
   * @param _tokenDigest SHA-256 of the operators' token, in hexadecimal
   * @param routes the routes of the features
   * @param guard bounds what connections hold; none if absent
   */
  constructor (
    private readonly _tokenDigest: string, routes: readonly OperatorRoutes[], timeouts?: Partial<ServerTimeouts>,
    guard?: CallerGuard
  ) {
    const application = new Koa()
    application.silent = true
    application.use(answerFailures)
    application.use(async (context, next) => { await this._authenticate(context, next) })
    application.use(jsonBody(BODY_LIMIT))
    const router = new Router()
    for (const slice of routes) slice.register(router)
    application.use(router.routes() as unknown as Koa.Middleware)
    application.use(context => { answerError(context, 404, NOT_FOUND) })
    this._server = new GuardedServer(application.callback(), fault => ({ error: TRANSPORT_ERRORS[fault] }), timeouts, guard)
  }

  /** Starts listening; returns the port. Rejects if the address cannot be bound. */
  async start (bindAddress: string, port: number): Promise<number> {
    return await this._server.start(bindAddress, port)
  }

  /** Stops listening and closes all connections at once. */
  async stop (): Promise<void> {
    await this._server.close()
  }

  private async _authenticate (context: Context, next: Koa.Next): Promise<void> {
    const token = /^Bearer (.+)$/.exec(context.get('authorization'))?.[1] ?? ''
    const digest = createHash('sha256').update(token).digest()
    if (timingSafeEqual(digest, Buffer.from(this._tokenDigest, 'hex'))) return await next()
    answerError(context, 401, {
      type: 'unauthorized',
      message: "The bearer token is not the operators' token",
      remedy: 'Set the operator token of this environment'
    })
  }
}

async function answerFailures (context: Context, next: Koa.Next): Promise<void> {
  try {
    await next()
  } catch (error) {
    const status = (error as { status?: number } | undefined)?.status ?? 500
    if (status >= 400 && status < 500) {
      const remedy = error instanceof ActionableError ? error.remedy : 'Correct its path and headers'
      const message = error instanceof ActionableError ? error.problem : 'The request is malformed'
      return answerError(context, status, { type: 'invalid-request', message, remedy })
    }
    answerError(context, 500, {
      type: 'failed',
      message: 'The instance failed on this call',
      remedy: 'Check the state of the instance before you repeat the call'
    })
  }
}
