/** HTTP for operators and their command-line tool. */
import { createHash, timingSafeEqual } from 'node:crypto'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { bodyParser } from '@koa/bodyparser'
import Router from '@koa/router'
import Koa, { type Context } from 'koa'
import { z } from 'zod'
import { RemediedError, type MemberTable } from '@wasabihead/coordination'
import { ConfigurationConflictError, type ConfigurationKeeper } from '../configuration/index.js'
import type { Metrics } from '../telemetry/index.js'

const BODY_LIMIT = '2mb'

const changeSchema = z.strictObject({
  source: z.string(),
  expectedRevision: z.number().int().nonnegative(),
  author: z.string().min(1)
})

/** What the operator server works with. */
export interface OperatorServerParts {
  configuration: ConfigurationKeeper
  members: MemberTable
  metrics: Metrics
  operatorTokenDigest: string
}

/** Listens for operators. */
export class OperatorServer {
  private readonly _server: http.Server

  /** @param _parts collaborators */
  constructor (private readonly _parts: OperatorServerParts) {
    const application = new Koa()
    application.silent = true
    application.use(async (context, next) => { await this._authenticate(context, next) })
    application.use(bodyParser({ enableTypes: ['json'], jsonLimit: BODY_LIMIT }))
    application.use(this._routes())
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

  private _routes (): Koa.Middleware {
    const router = new Router()
    router.get('/v1/configuration', context => { context.body = this._parts.configuration.state.current ?? { revision: 0 } })
    router.put('/v1/configuration', async context => { await this._apply(context) })
    router.get('/v1/members', context => { context.body = { self: this._parts.members.self.host, members: this._parts.members.members } })
    router.get('/v1/metrics', context => {
      context.body = { histograms: this._parts.metrics.readHistograms(), counters: this._parts.metrics.readCounters() }
    })
    return router.routes() as unknown as Koa.Middleware
  }

  private async _apply (context: Context): Promise<void> {
    const change = changeSchema.safeParse(context.request.body)
    if (!change.success) return answerError(context, 400, 'invalid-request', change.error.message, 'Correct the request')
    const applied = await this._parts.configuration.apply(change.data)
    if (applied.isOk) {
      context.body = { revision: applied.value.revision, digest: applied.value.digest }
      return
    }
    const error: RemediedError = applied.error
    const status = error instanceof ConfigurationConflictError ? 409 : error.kind === 'invalid-document' ? 422 : 503
    answerError(context, status, error.kind, error.problem, error.remedy)
    if (error instanceof ConfigurationConflictError) Object.assign(context.body as object, { current: error.current })
  }

  private async _authenticate (context: Context, next: Koa.Next): Promise<void> {
    const token = /^Bearer (.+)$/.exec(context.get('authorization'))?.[1] ?? ''
    const digest = createHash('sha256').update(token).digest()
    if (!timingSafeEqual(digest, Buffer.from(this._parts.operatorTokenDigest, 'hex'))) {
      return answerError(context, 401, 'unauthorized', "The bearer token is not the operators'", 'Set the operator token of this environment')
    }
    await next()
  }
}

function answerError (context: Context, status: number, type: string, message: string, remedy: string): void {
  context.status = status
  context.body = { error: { type, message, remedy } }
}
