/** HTTP for operators and their command-line tool. Each slice brings its own routes. */
import { createHash, timingSafeEqual } from 'node:crypto'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { bodyParser } from '@koa/bodyparser'
import Router from '@koa/router'
import Koa, { type Context } from 'koa'
import { answerError, type OperatorRoutes } from './operatorRoutes.js'

const BODY_LIMIT = '2mb'

/** Listens for operators. */
export class OperatorServer {
  private readonly _server: http.Server

  /**
   * @param _tokenDigest SHA-256 of the operators' token, in hexadecimal
   * @param routes the routes of the slices
   */
  constructor (private readonly _tokenDigest: string, routes: readonly OperatorRoutes[]) {
    const application = new Koa()
    application.silent = true
    application.use(async (context, next) => { await this._authenticate(context, next) })
    application.use(bodyParser({ enableTypes: ['json'], jsonLimit: BODY_LIMIT }))
    const router = new Router()
    for (const slice of routes) slice.register(router)
    application.use(router.routes() as unknown as Koa.Middleware)
    this._server = http.createServer(application.callback())
  }

  /** Starts listening; gives the port. */
  async start (bindAddress: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, bindAddress, resolve)
    })
    return (this._server.address() as AddressInfo).port
  }

  /** Stops listening and closes what is open. */
  async stop (): Promise<void> {
    this._server.closeAllConnections()
    await new Promise<void>(resolve => { this._server.close(() => { resolve() }) })
  }

  private async _authenticate (context: Context, next: Koa.Next): Promise<void> {
    const token = /^Bearer (.+)$/.exec(context.get('authorization'))?.[1] ?? ''
    const digest = createHash('sha256').update(token).digest()
    if (timingSafeEqual(digest, Buffer.from(this._tokenDigest, 'hex'))) return await next()
    answerError(context, 401, {
      type: 'unauthorized',
      message: "The bearer token is not the operators'",
      remedy: 'Set the operator token of this environment'
    })
  }
}
