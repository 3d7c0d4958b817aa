/** What every stand-in shares: a koa application on a loopback port that can be stopped, and faults set over HTTP. */
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { bodyParser } from '@koa/bodyparser'
import Router from '@koa/router'
import Koa from 'koa'
import { z } from 'zod'

const LOOPBACK = '127.0.0.1'
const BODY_LIMIT = '16mb'

const faultsSchema = z.strictObject({
  /** Every call is held unanswered while true. */
  isSilent: z.boolean().default(false),
  /** Every call is refused with status 503 before it takes effect while true. */
  isDown: z.boolean().default(false),
  delayMilliseconds: z.number().int().nonnegative().default(0),
  /** How many of the next calls take effect without an answer. */
  droppedAnswers: z.number().int().nonnegative().default(0)
})
/** Faults that a test sets on a stand-in. */
export type StandInFaults = z.infer<typeof faultsSchema>

/** Base of the stand-ins. */
export abstract class StandInServer {
  protected readonly router = new Router()
  private _faults: StandInFaults = faultsSchema.parse({})
  private _server: http.Server | undefined

  /** Starts listening; port 0 takes any free port. Gives the address. */
  async start (port: number): Promise<string> {
    const application = new Koa()
    application.silent = true
    application.use(bodyParser({ enableTypes: ['json', 'text'], jsonLimit: BODY_LIMIT, textLimit: BODY_LIMIT }))
    application.use(this._faultMiddleware())
    this.router.post('/standin/faults', context => {
      this._faults = faultsSchema.parse(context.request.body)
      context.body = this._faults
    })
    application.use(this.router.routes())
    this._server = http.createServer(application.callback())
    await new Promise<void>(resolve => { this._server?.listen(port, LOOPBACK, resolve) })
    return `http://${LOOPBACK}:${(this._server.address() as AddressInfo).port}`
  }

  /** Stops at once, cutting what is open. */
  async stop (): Promise<void> {
    const server = this._server
    if (server === undefined) return
    server.closeAllConnections()
    await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  }

  /** Cuts all open connections without an answer. */
  protected cutConnections (): void {
    this._server?.closeAllConnections()
  }

  private _faultMiddleware (): Koa.Middleware {
    return async (context, next) => {
      if (context.path.startsWith('/standin/')) return await next()
      const faults = this._faults
      if (faults.isSilent) return await neverAnswer()
      if (faults.isDown) return context.throw(503, 'the stand-in was told to be down')
      if (faults.delayMilliseconds > 0) await delay(faults.delayMilliseconds)
      await next()
      if (faults.droppedAnswers > 0) {
        faults.droppedAnswers -= 1
        context.respond = false
        context.req.socket.destroy()
      }
    }
  }
}

async function neverAnswer (): Promise<void> {
  await new Promise(() => {})
}

/** Resolves after a duration. */
export async function delay (milliseconds: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
