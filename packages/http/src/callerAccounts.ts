/** Measures what the connections of one server hold, and closes those that the memory has no room for. */
import type http from 'node:http'
import type { Socket } from 'node:net'
import type { CallerHolding, RequestSyntax } from '@wasabihead/coordination'
import type { CallerGuard } from './callerGuard.js'

/** A connection takes this beside what is read from it and written to it: its socket, its parser and their buffers. */
const CONNECTION_COST = 8_192
/** A request and its response take this beside their bytes. */
const REQUEST_COST = 8_192
/** An incomplete head is held as a line, in the parser and as the strings of its headers. */
const OPEN_BYTE_COST = 4
/** The head of a request that was read is held as it was sent and by name. */
const HEAD_BYTE_COST = 2
/** Bodies whose readers do not tell what they hold are held as they were sent and as text. */
const BODY_BYTE_COST = 2
/** Callers take what waits for them without an event for each part. */
const MEASURING_INTERVAL_MILLISECONDS = 100

interface Held {
  head: number
  body: number
}

interface Measured {
  syntax: RequestSyntax
  unanswered: ReadonlySet<http.ServerResponse>
  requests: Map<http.IncomingMessage, Held>
  isHeldBack: boolean
}

/** The accounts of one server's connections. */
export class CallerAccounts {
  private readonly _open = new Map<Socket, Measured>()

  /** @param _countsBodies whether bodies count as they arrive, until their answers are written out; otherwise `hold` says so */
  constructor (private readonly _guard: CallerGuard, private readonly _countsBodies: boolean) {
    setInterval(() => {
      for (const [socket, { unanswered }] of this._open) if (unanswered.size > 0) this._measure(socket)
    }, MEASURING_INTERVAL_MILLISECONDS).unref()
  }

  open (socket: Socket, syntax: RequestSyntax, unanswered: ReadonlySet<http.ServerResponse>): void {
    const { memory, now } = this._guard
    this._open.set(socket, { syntax, unanswered, requests: new Map(), isHeldBack: false })
    memory.open(socket, socket.remoteAddress ?? '', CONNECTION_COST, now())
    socket.once('close', () => {
      this._open.delete(socket)
      memory.close(socket)
    })
    this._measure(socket)
  }

  /** @param bytes of the current request that were passed to the parser */
  onBytes (socket: Socket, bytes: number): void {
    const latest = this._countsBodies ? [...this._open.get(socket)?.requests ?? []].at(-1) : undefined
    if (latest !== undefined && !latest[0].complete) latest[1].body += BODY_BYTE_COST * bytes
    this._measure(socket)
  }

  onRequest (request: http.IncomingMessage, response: http.ServerResponse, headBytes: number): void {
    const { socket } = request
    this._open.get(socket)?.requests.set(request, { head: headBytes, body: 0 })
    response.on('buffered', () => { this._measure(socket) })
    response.once('close', () => {
      this._open.get(socket)?.requests.delete(request)
      this._readOn(socket)
      this._measure(socket)
    })
    this._measure(socket)
  }

  hold (request: http.IncomingMessage, bytes: number): void {
    const held = this._open.get(request.socket)?.requests.get(request)
    if (held === undefined) return
    held.body = bytes
    this._measure(request.socket)
  }

  /** Stops reading a connection with as many requests ahead as it may have. */
  holdBack (socket: Socket): void {
    const measured = this._open.get(socket)
    if (measured === undefined || measured.unanswered.size < this._guard.requestsAhead) return
    measured.isHeldBack = true
    socket.pause()
  }

  private _readOn (socket: Socket): void {
    const measured = this._open.get(socket)
    if (measured?.isHeldBack !== true || measured.unanswered.size >= this._guard.requestsAhead) return
    // Node.js pauses a connection whose answers wait, and reads on by itself; bytes that it gets before fail an assertion.
    if (isPausedByServer(socket)) {
      measured.isHeldBack = false
      return
    }
    if (socket.writableNeedDrain) {
      socket.once('drain', () => { this._readOn(socket) })
      return
    }
    measured.isHeldBack = false
    socket.resume()
  }

  private _measure (socket: Socket): void {
    const measured = this._open.get(socket)
    if (measured === undefined) return
    const { memory, now, onDropped } = this._guard
    for (const dropped of memory.update(socket, holdingOf(socket, measured), now())) {
      onDropped(dropped)
      dropped.caller.destroy()
    }
  }
}

/** Whether the HTTP server has paused the connection; Node.js tells it by this property of its own only. */
function isPausedByServer (socket: Socket & { _paused?: boolean }): boolean {
  return socket._paused === true
}

function holdingOf (socket: Socket, { syntax, unanswered, requests }: Measured): CallerHolding {
  let serving = 0
  let waiting = OPEN_BYTE_COST * syntax.openBytes + socket.readableLength + socket.writableLength
  let isFirst = true
  for (const response of unanswered) {
    const { head, body } = requests.get(response.req) ?? { head: 0, body: 0 }
    const cost = REQUEST_COST + HEAD_BYTE_COST * head + body
    if (isFirst && response.req.complete) serving += cost
    else waiting += cost
    // An answer behind another one waits in its response.
    if (response.socket === null) waiting += response.writableLength
    isFirst = false
  }
  if (unanswered.size === 0) waiting += CONNECTION_COST
  else serving += CONNECTION_COST
  return { waiting, serving, moved: socket.bytesRead + socket.bytesWritten - socket.writableLength }
}
