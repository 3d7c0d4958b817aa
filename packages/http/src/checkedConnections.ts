/**
 * Passes on to the parser of an HTTP server only what the grammar allows. Parsers of Node.js accept more than that, each version
 * something else: before 20.19.2, for example, spaces in names, and any byte for the last one of a head.
 */
import type http from 'node:http'
import net, { type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { RequestSyntax } from '@wasabihead/coordination'
import { breakOff } from './brokenAnswers.js'
import { CallerAccounts } from './callerAccounts.js'
import type { CallerGuard } from './callerGuard.js'

/** How long a refused connection stays open, so that bytes still on their way do not reset it before the caller has read why. */
const LINGER_MILLISECONDS = 1_000

/** The bytes of a connection are no HTTP/1.1 request. */
export class MalformedRequestError extends Error {
  readonly code = 'HPE_INVALID_SYNTAX'
}

/** A head is longer than the limit, or another part of a request that is read as a whole. */
class OversizedHeadError extends Error {
  readonly code = 'HPE_HEADER_OVERFLOW'
}

interface Connection {
  syntax: RequestSyntax
  hasCarriedRequest: boolean
  /** Whether no request may follow, since an answer that closes the connection has begun or certainly will. */
  isClosing: boolean
  /** Responses that are not written out, in the order of their requests. */
  unanswered: Set<http.ServerResponse>
}

/** The connections of one server. It emits `clientError` with a `MalformedRequestError` where the bytes of one are invalid. */
export class CheckedConnections {
  private readonly _open = new Map<Duplex, Connection>()
  private readonly _refused = new WeakSet<Duplex>()
  private _isClosingAfterAnswers = false
  private _stallTimeout: number | undefined
  private readonly _accounts: CallerAccounts | undefined

  /**
   * @param _guard bounds what the connections hold; none if absent
   * @param countsBodies whether bodies count as they arrive; otherwise `hold` says what is held of them
   */
  constructor (private readonly _server: http.Server, private readonly _guard?: CallerGuard, countsBodies = false) {
    this._accounts = _guard === undefined ? undefined : new CallerAccounts(_guard, countsBodies)
    _server.on('connection', (socket: Socket) => { this._check(socket) })
    _server.prependListener('request', (request: http.IncomingMessage, response: http.ServerResponse) => {
      const connection = this._open.get(request.socket)
      if (connection !== undefined) this._onRequest(connection, request, response)
    })
  }

  /** Number of requests whose head was read and whose answer is not written out. */
  get unanswered (): number {
    return [...this._open.values()].reduce((sum, { unanswered }) => sum + unanswered.size, 0)
  }

  /** Records how much of a request's body is held until its answer is written out. */
  hold (request: http.IncomingMessage, bytes: number): void {
    this._accounts?.hold(request, bytes)
  }

  /** From now on, the answer to the last request of each connection closes it. */
  closeAfterAnswers (): void {
    this._isClosingAfterAnswers = true
    for (const { unanswered } of this._open.values()) {
      const last = [...unanswered].at(-1)
      if (last !== undefined) closeWithAnswer(last)
    }
  }

  /** Stops listening and, unlike `close` of an HTTP server, leaves all connections open. Calls back once all have ended. */
  stopListening (onClosed?: () => void): void {
    net.Server.prototype.close.call(this._server, onClosed)
  }

  /**
   * Closes connections that have carried requests, have none now, and whose answers are written out. For `closeIdleConnections`
   * of an HTTP server a connection is idle as soon as its answer was ended, so that it cuts answers that a caller reads slowly.
   */
  closeIdle (): void {
    for (const [socket, { syntax, hasCarriedRequest, unanswered }] of this._open) {
      if (hasCarriedRequest && syntax.isBetweenRequests && unanswered.size === 0) socket.destroy()
    }
  }

  /** From now on, breaks off answers of which callers take nothing for a time in milliseconds, although some of them waits. */
  closeStalled (timeout: number): void {
    this._stallTimeout = timeout
    for (const { unanswered } of this._open.values()) for (const response of unanswered) watchStall(response, timeout)
  }

  /**
   * Handles a `clientError`: writes a refusal and closes the connection once the requests before the invalid bytes are answered;
   * otherwise it would be taken for the answer to the first of them. Closes the connection at once if it was reset, or where an
   * answer has begun before its request was complete. Does nothing if the connection is refused already.
   * @param refusal the bytes of an answer that closes its connection
   */
  refuse (error: NodeJS.ErrnoException, socket: Duplex, refusal: string): void {
    if (this._refused.has(socket)) return
    this._refused.add(socket)
    const unanswered = [...this._open.get(socket)?.unanswered ?? []]
    const hasBegunEarly = unanswered.some(({ req, headersSent }) => !req.complete && headersSent)
    const lastComplete = unanswered.filter(({ req }) => req.complete).at(-1)
    if (!socket.writable || error.code === 'ECONNRESET') socket.destroy()
    else if (hasBegunEarly) breakOff(unanswered[0] as http.ServerResponse)
    else if (lastComplete === undefined) endWith(socket, refusal)
    else lastComplete.once('close', () => { endWith(socket, refusal) })
  }

  private _onRequest (connection: Connection, request: http.IncomingMessage, response: http.ServerResponse): void {
    const { unanswered, syntax } = connection
    connection.hasCarriedRequest = true
    // The parser was given placeholders for bytes beyond ASCII.
    request.url = syntax.target
    if (this._isClosingAfterAnswers) {
      // Otherwise an earlier answer would close the connection before this one.
      for (const earlier of unanswered) if (!earlier.headersSent) earlier.removeHeader('connection')
      closeWithAnswer(response)
    }
    // Callers of HTTP/1.0 read an answer without a length up to the end of the connection, so that none can follow it.
    if (request.httpVersion === '1.0') {
      connection.isClosing = true
      closeWithAnswer(response)
    }
    if (this._stallTimeout !== undefined) watchStall(response, this._stallTimeout)
    unanswered.add(response)
    response.once('close', () => {
      // The connection closes a while after its last answer.
      connection.isClosing ||= isLast(response)
      unanswered.delete(response)
    })
    this._accounts?.onRequest(request, response, connection.syntax.headBytes)
  }

  private _check (socket: Socket): void {
    const syntax = new RequestSyntax()
    const connection: Connection = { syntax, hasCarriedRequest: false, isClosing: false, unanswered: new Set() }
    this._open.set(socket, connection)
    this._accounts?.open(socket, syntax, connection.unanswered)
    socket.once('close', () => {
      this._open.delete(socket)
      // After the listeners of Node.js, which reports the close only for the request that is next to be answered.
      setImmediate(() => { for (const response of connection.unanswered) response.destroy().emit('close') })
    })
    const parsers = socket.listeners('data') as ((bytes: Buffer) => void)[]
    for (const parse of parsers) socket.off('data', parse)
    socket.on('data', (bytes: Buffer) => {
      let offset = 0
      while (offset < bytes.length && !syntax.isInvalid) {
        // RFC 9112, 9.6: a request behind the last answer of its connection is not answered, so it must not be served either.
        if (this._refused.has(socket) || socket.destroyed) return
        connection.isClosing ||= [...connection.unanswered].some(isLast)
        if (syntax.isBetweenRequests && connection.isClosing) return
        if (syntax.isBetweenRequests) this._accounts?.holdBack(socket)
        // The server reads no further request while the caller takes none of its answers.
        if (socket.isPaused()) {
          socket.unshift(bytes.subarray(offset))
          return
        }
        // Not a byte of the next request: the parser drops what it is given together with a request for an upgrade.
        const { end, pieces } = syntax.accept(bytes, offset)
        // Before the parser holds them, too.
        if (syntax.openBytes > (this._guard?.maximumOpenBytes ?? Infinity)) {
          this._server.emit('clientError', new OversizedHeadError(), socket)
          return
        }
        // At once: while a request is parsed, the server may begin to pause.
        if (pieces.length > 0) for (const parse of parsers) parse.call(socket, joined(pieces))
        offset = end
      }
      this._accounts?.onBytes(socket, bytes.length)
      if (syntax.isInvalid && !this._refused.has(socket)) this._server.emit('clientError', new MalformedRequestError(), socket)
    })
  }
}

function joined (pieces: readonly Buffer[]): Buffer {
  return pieces.length === 1 ? pieces[0] as Buffer : Buffer.concat(pieces)
}

/** If the head was sent already, the connection stays open until the next answer on it closes it. */
function closeWithAnswer (response: http.ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close')
}

function watchStall (response: http.ServerResponse, timeout: number): void {
  const { socket } = response.req
  socket.setTimeout(timeout)
  response.on('timeout', () => {
    // Where nothing waits, the answer is still being made.
    if (socket.writableLength > 0) breakOff(response)
    else socket.setTimeout(timeout)
  })
}

/** Whether the response has begun and closes its connection. */
function isLast (response: http.ServerResponse): boolean {
  return response.headersSent && response.getHeader('connection') === 'close'
}

function endWith (socket: Duplex, refusal: string): void {
  // The answer before closed the connection.
  if (!socket.writable) return
  socket.end(refusal)
  setTimeout(() => { socket.destroy() }, LINGER_MILLISECONDS).unref()
}
