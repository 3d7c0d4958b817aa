/** An HTTP server that bounds what a client may cost, and answers broken requests with a typed body. */
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'

const MAXIMUM_HEADER_BYTES = 16_384
const HEADERS_TIMEOUT_MILLISECONDS = 10_000
const REQUEST_TIMEOUT_MILLISECONDS = 30_000
const TIMEOUT_CHECK_MILLISECONDS = 1_000
const IDLE_CHECK_MILLISECONDS = 100
const LEAVING_GRACE_MILLISECONDS = 2_000

/** Why a request was refused before any handler saw it whole. */
export type TransportFault = 'headers-too-large' | 'request-too-slow' | 'malformed'

/** How long a client may take; in milliseconds. */
export interface ServerTimeouts {
  headers: number
  request: number
  check: number
  /** How long a server that finishes still answers; a caller that just had its answer sends its next request meanwhile. */
  leavingGrace: number
}

const STATUS_LINES: Record<TransportFault, string> = {
  'headers-too-large': '431 Request Header Fields Too Large',
  'request-too-slow': '408 Request Timeout',
  malformed: '400 Bad Request'
}
const DEFAULT_TIMEOUTS: ServerTimeouts = {
  headers: HEADERS_TIMEOUT_MILLISECONDS,
  request: REQUEST_TIMEOUT_MILLISECONDS,
  check: TIMEOUT_CHECK_MILLISECONDS,
  leavingGrace: LEAVING_GRACE_MILLISECONDS
}

/** Listens, and stops either at once or when the last answer is out. */
export class GuardedServer {
  private readonly _server: http.Server
  private readonly _answers = new WeakMap<Duplex, http.ServerResponse>()
  private readonly _running = new Set<http.ServerResponse>()
  private readonly _leavingGrace: number
  private _isLeaving = false

  /**
   * @param handler handles each request
   * @param toBody the answer's body for a request that no handler saw whole
   */
  constructor (handler: http.RequestListener, toBody: (fault: TransportFault) => object, timeouts: Partial<ServerTimeouts> = {}) {
    const { headers, request, check, leavingGrace } = { ...DEFAULT_TIMEOUTS, ...timeouts }
    this._leavingGrace = leavingGrace
    this._server = http.createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: headers,
      requestTimeout: request,
      connectionsCheckingInterval: check
    })
    this._server.on('request', (request, response) => {
      this._answers.set(request.socket, response)
      this._running.add(response)
      response.once('close', () => { this._running.delete(response) })
      if (this._isLeaving) closeWithAnswer(response)
      handler(request, response)
    })
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this._refuse(socket, toFault(error), toBody)
    })
  }

  /** Starts listening; gives the port. */
  async start (bindAddress: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, bindAddress, resolve)
    })
    return (this._server.address() as AddressInfo).port
  }

  /** From now on each answer closes its connection, so that no caller reuses one that is about to go. */
  leave (): void {
    this._isLeaving = true
    for (const response of this._running) closeWithAnswer(response)
  }

  /**
   * Leaves, stops listening once the grace is over, and resolves when the last answer is out. A connection that is closed
   * while its caller's next request is under way cuts that request short, so requests are still answered in the grace.
   */
  async finish (): Promise<void> {
    this.leave()
    await new Promise<void>(resolve => { setTimeout(resolve, this._leavingGrace).unref() })
    const timer = setInterval(() => { this._server.closeIdleConnections() }, IDLE_CHECK_MILLISECONDS)
    await new Promise<void>(resolve => { this._server.close(() => { resolve() }) })
    clearInterval(timer)
  }

  /** Stops listening and closes what is open. */
  async close (): Promise<void> {
    this._server.closeAllConnections()
    await new Promise<void>(resolve => { this._server.close(() => { resolve() }) })
  }

  /** An answer that has begun is never mixed with a refusal: its connection is closed instead. */
  private _refuse (socket: Duplex, fault: TransportFault, toBody: (fault: TransportFault) => object): void {
    const answer = this._answers.get(socket)
    const hasBegun = answer !== undefined && answer.headersSent && !answer.writableFinished
    if (!socket.writable || hasBegun) {
      socket.destroy()
      return
    }
    const body = JSON.stringify(toBody(fault))
    socket.end(`HTTP/1.1 ${STATUS_LINES[fault]}\r\ncontent-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
  }
}

/** An answer whose headers are out keeps its connection; the next request on it is answered with the close. */
function closeWithAnswer (response: http.ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close')
}

function toFault (error: NodeJS.ErrnoException): TransportFault {
  if (error.code === 'HPE_HEADER_OVERFLOW') return 'headers-too-large'
  return error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'request-too-slow' : 'malformed'
}
