/** What all stand-ins share: an HTTP server on the loopback interface, with faults that tests set over HTTP. */
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { bodyParser } from '@koa/bodyparser'
import Router from '@koa/router'
import Koa from 'koa'
import { z } from 'zod'

const LOOPBACK = '127.0.0.1'
const BODY_LIMIT = '16mb'

const faultsSchema = z.strictObject({
  /** While true, calls are accepted and never answered. */
  isSilent: z.boolean().default(false),
  /** While true, calls are refused with status 503 before they take effect. */
  isDown: z.boolean().default(false),
  /** Delay before each call takes effect. */
  delayMilliseconds: z.number().int().nonnegative().default(0),
  /** Number of following calls that take effect, but whose connection is closed without an answer. */
  droppedAnswers: z.number().int().nonnegative().default(0)
})
/** Faults that a test injects with `POST /standin/faults`. */
export type StandInFaults = z.infer<typeof faultsSchema>

/**
 * Base class of the stand-ins. Subclasses add their routes to `router` in the constructor. Routes below `/standin/` control the
 * stand-in itself, and faults do not apply to them.
 */
export abstract class StandInServer {
  protected readonly router = new Router()
  private _faults: StandInFaults = faultsSchema.parse({})
  private _server: http.Server | undefined

  /**
   * Starts listening on the loopback interface.
   * @param port 0 for any free port
   * @returns the base URL
   */
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

  /** Closes all connections, without waiting for calls in flight, and stops listening. */
  async stop (): Promise<void> {
    const server = this._server
    if (server === undefined) return
    server.closeAllConnections()
    await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  }

  /** Refuses calls before they take effect, or serves them again. The same fault can be set over HTTP. */
  setDown (isDown: boolean): void {
    this._faults = { ...this._faults, isDown }
  }

  /** Closes all connections, without answering the calls in flight. */
  protected closeConnections (): void {
    this._server?.closeAllConnections()
  }

  private _faultMiddleware (): Koa.Middleware {
    return async (context, next) => {
      if (context.path.startsWith('/standin/')) return await next()
      const faults = this._faults
      if (faults.isSilent) return await neverAnswer()
      if (faults.isDown) return context.throw(503, 'a test set this stand-in to be down')
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
