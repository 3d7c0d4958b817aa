/** A stream of server-sent events to one caller. */
import { PassThrough } from 'node:stream'
import type { Context } from 'koa'

/** Sends its headers with the first event, so that until then the request can still be answered with an ordinary refusal. */
export class EventStream {
  private readonly _stream = new PassThrough()
  private _hasBegun = false

  constructor (private readonly _context: Context) {}

  /** Whether an event, and so the status 200, has been sent. */
  get hasBegun (): boolean {
    return this._hasBegun
  }

  /** Sends the object as JSON in one event. */
  send (event: object): void {
    if (!this._hasBegun) this._begin()
    this._stream.write(`data: ${JSON.stringify(event)}\n\n`)
  }

  /** Ends the stream with the event `[DONE]`. */
  end (): void {
    this._stream.end('data: [DONE]\n\n')
  }

  private _begin (): void {
    this._hasBegun = true
    this._context.respond = false
    this._context.res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    this._stream.pipe(this._context.res)
  }
}

/** A signal that aborts when the caller disconnects before its answer has been sent completely. */
export function abortOnDisconnect (context: Context): AbortSignal {
  const controller = new AbortController()
  context.res.on('close', () => { if (!context.res.writableFinished) controller.abort() })
  return controller.signal
}
