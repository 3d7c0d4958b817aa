/** An HTTP server with limits on header size and request time, which answers malformed requests with a typed body. */
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { CheckedConnections, MeasuredResponse, type CallerGuard } from '@wasabihead/http'

const MAXIMUM_HEADER_BYTES = 16_384
const HEADERS_TIMEOUT_MILLISECONDS = 10_000
const REQUEST_TIMEOUT_MILLISECONDS = 30_000
const TIMEOUT_CHECK_MILLISECONDS = 1_000
const IDLE_CHECK_MILLISECONDS = 100
const LEAVING_GRACE_MILLISECONDS = 2_000
const STALL_TIMEOUT_MILLISECONDS = 5_000

/** Why a request was refused before it was received completely. */
export type TransportFault = 'headers-too-large' | 'request-too-slow' | 'malformed'

/** Timeouts of a server, in milliseconds. */
export interface ServerTimeouts {
  headers: number
  request: number
  check: number
  /** How long `finish` still accepts requests; a caller that has just been answered may already be sending its next one. */
  leavingGrace: number
  /** How long, after that, a caller may take nothing of an answer that waits for it. */
  stall: number
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
  leavingGrace: LEAVING_GRACE_MILLISECONDS,
  stall: STALL_TIMEOUT_MILLISECONDS
}

/** An HTTP server that can stop at once, or gracefully after its last answer. */
export class GuardedServer {
  private readonly _server: http.Server
  private readonly _connections: CheckedConnections
  private readonly _leavingGrace: number
  private readonly _stallTimeout: number

  /**
   * @param handler handles each request
   * @param toBody body of the answer to a request that was not received completely
   * @param guard bounds what the connections hold; none if absent
   */
  constructor (
    handler: http.RequestListener, toBody: (fault: TransportFault) => object, timeouts: Partial<ServerTimeouts> = {},
    guard?: CallerGuard
  ) {
    const { headers, request, check, leavingGrace, stall } = { ...DEFAULT_TIMEOUTS, ...timeouts }
    this._leavingGrace = leavingGrace
    this._stallTimeout = stall
    this._server = http.createServer({
      ServerResponse: MeasuredResponse,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: headers,
      requestTimeout: request,
      connectionsCheckingInterval: check
    })
    this._server.on('request', handler)
    const connections = this._connections = new CheckedConnections(this._server, guard, true)
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      connections.refuse(error, socket, refusalOf(toFault(error), toBody))
    })
  }

  /** Starts listening; returns the port. Rejects if the address cannot be bound. */
  async start (bindAddress: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, bindAddress, resolve)
    })
    return (this._server.address() as AddressInfo).port
  }

  /** Whether new connections are accepted. */
  get isListening (): boolean {
    return this._server.listening
  }

  /** From now on each answer closes its connection, so that no caller reuses a connection that is about to be closed. */
  leave (): void {
    this._connections.closeAfterAnswers()
  }

  /**
   * Leaves, stops listening after the grace period, and resolves when the last answer has been sent. Closing a connection
   * while its caller's next request is in flight would break that request, so requests are still answered in the grace period.
   * Answers whose callers have stopped reading are broken off after it.
   */
  async finish (): Promise<void> {
    this.leave()
    await new Promise<void>(resolve => { setTimeout(resolve, this._leavingGrace).unref() })
    this._connections.closeStalled(this._stallTimeout)
    const timer = setInterval(() => { this._connections.closeIdle() }, IDLE_CHECK_MILLISECONDS)
    await new Promise<void>(resolve => { this._connections.stopListening(() => { resolve() }) })
    clearInterval(timer)
  }

  /** Stops listening and closes all connections at once. */
  async close (): Promise<void> {
    this._server.closeAllConnections()
    await new Promise<void>(resolve => { this._server.close(() => { resolve() }) })
  }
}

function refusalOf (fault: TransportFault, toBody: (fault: TransportFault) => object): string {
  const body = JSON.stringify(toBody(fault))
  return `HTTP/1.1 ${STATUS_LINES[fault]}\r\ncontent-type: application/json\r\n` +
    `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`
}

function toFault (error: NodeJS.ErrnoException): TransportFault {
  if (error.code === 'HPE_HEADER_OVERFLOW') return 'headers-too-large'
  return error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'request-too-slow' : 'malformed'
}
