/** One HTTP/1.1 connection to a replica or store, without pipelining; reused only after a complete, expected answer. */
import net from 'node:net'
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '@wasabihead/coordination'
import { splitAddress } from './addresses.js'
import { AnswerParser, type AnswerHead } from './answerParser.js'
import { heldAnswers } from './heldAnswers.js'
import { onreadOption, type OwnedBytes } from './ownedBytes.js'

/** Why an exchange ended without a complete answer. */
export type ExchangeFault =
  /** The connection could not be opened, so nothing was sent. */
  | 'not-connected'
  /** The connection was closed or reset; the replica may have run the request. */
  | 'connection-ended'
  /** The bytes are not a valid HTTP/1.1 answer, or an answer to another request is too long to skip. */
  | 'malformed'
  /** More of the answer is held than the memory allows beside all others. */
  | 'oversized'

/** Receives the answer to one request: `onHead` and `onBody`, then either `onEnd` or `onFault`. */
export interface ExchangeListener {
  /** Whether the answer belongs to this request; any other answer is skipped. */
  isExpected (head: AnswerHead): boolean
  onHead (head: AnswerHead): void
  onBody (chunk: OwnedBytes): void
  /** Bytes of the answer that the listener holds until more of it has arrived. */
  heldBytes (): number
  onEnd (): void
  /** @param detail what went wrong, for the log */
  onFault (fault: ExchangeFault, detail: string): void
}

/** A request as it is written to the connection; the headers include Host and Content-Length. */
export interface ExchangeRequest {
  method: string
  /** Path and query. */
  target: string
  headers: readonly (readonly [string, string])[]
  body: Buffer | undefined
}

/** The replica announces its timeout in whole seconds; a request that arrives just as it passes is reset. */
const KEEP_ALIVE_MARGIN: Milliseconds = 500
const DEFAULT_KEEP_ALIVE_TIMEOUT: Milliseconds = 4_000
/** Limit on bytes of answers to other requests that are skipped before the expected answer. */
const MAXIMUM_SKIPPED_BYTES = 262_144

/** A connection that carries one exchange at a time. */
export class ReplicaChannel {
  private readonly _socket: net.Socket
  private readonly _parser: AnswerParser
  private _listener: ExchangeListener | undefined
  private _isSkipping = false
  private _skippedBytes = 0
  private _isPaused = false
  private _endsWithConnection = false
  private _isReusable = true
  private _connectedAt: Milliseconds | undefined
  private _hasConnectFailed = false
  private _isKeptOnceConnected = false
  private _isClosed = false
  private _closeReason = 'closed'
  private _wasEndedByTarget = false
  private _keepAliveTimeout = DEFAULT_KEEP_ALIVE_TIMEOUT
  private _lastUsedAt: Milliseconds = 0
  /** Number of exchanges that ended with a complete answer. */
  completedExchanges = 0

  /**
   * @param address IP address and port
   * @param _onLink called once it is known whether the connection could be opened; not if it was closed locally before
   * @param _onIdle called when the channel may be reused for another request
   * @param _onClosed called once when the socket has closed
   */
  constructor (
    address: string,
    connectTimeout: Milliseconds,
    private readonly _now: () => Milliseconds,
    private readonly _onLink: (isConnected: boolean) => void,
    private readonly _onIdle: (channel: ReplicaChannel) => void,
    private readonly _onClosed: (channel: ReplicaChannel) => void
  ) {
    const [host, port] = splitAddress(address)
    this._parser = new AnswerParser({
      onHead: head => { this._onHead(head) },
      onBody: chunk => { this._onBody(chunk) },
      onEnd: isFollowed => { this._onEnd(isFollowed) }
    })
    this._socket = connect({ host, port, noDelay: true, onread: onreadOption(bytes => this._onBytes(bytes)) })
    const timer = setTimeout(() => {
      // Timers run first after a pause of this process; a connection that was opened meanwhile is reported before the immediate.
      setImmediate(() => {
        if (this._isConnected || this.isClosed) return
        this._hasConnectFailed = true
        this._closeReason = `no connection within ${connectTimeout} ms`
        this.close()
      })
    }, connectTimeout)
    this._socket.once('connect', () => {
      clearTimeout(timer)
      this._connectedAt = this._now()
      if (this._isKeptOnceConnected) {
        this._lastUsedAt = this._now()
        this._onIdle(this)
      }
      this._onLink(true)
    })
    // Before the listener of the socket itself, which ends the writable side.
    this._socket.prependOnceListener('end', () => {
      // Some answers end with their connection.
      this._wasEndedByTarget = !this._endsWithConnection
      if (this._endsWithConnection) this._awaitWrites()
      else this._onSocketEnd()
    })
    // A close event follows, which ends the exchange.
    this._socket.on('error', error => {
      this._closeReason = error.message
      this._wasEndedByTarget = this._isConnected
      this._hasConnectFailed ||= !this._isConnected
    })
    this._socket.once('close', () => {
      clearTimeout(timer)
      this._onSocketClose()
    })
  }

  /** Whether the connection is closed, or was closed locally and the socket has not reported it yet. */
  get isClosed (): boolean {
    return this._isClosed || this._socket.destroyed
  }

  /** Whether the connection was opened, so that what was sent is on its way. */
  get isConnected (): boolean {
    return this._isConnected
  }

  /** Whether an open connection was closed from the other side, or by the network. */
  get wasEndedByTarget (): boolean {
    return this._wasEndedByTarget
  }

  /** Time until which an idle connection may be reused; after it the replica may close it. */
  get usableUntil (): Milliseconds {
    return this._lastUsedAt + this._keepAliveTimeout - KEEP_ALIVE_MARGIN
  }

  /** Time at which the last exchange ended. */
  get lastUsedAt (): Milliseconds {
    return this._lastUsedAt
  }

  /** Time at which the connection was open; undefined before. */
  get connectedAt (): Milliseconds | undefined {
    return this._connectedAt
  }

  /** Makes a new channel, on which nothing is sent, idle as soon as it is connected. */
  keepOnceConnected (): void {
    this._isKeptOnceConnected = true
  }

  /** Sends a request. The channel must be idle or new. */
  send (request: ExchangeRequest, listener: ExchangeListener): void {
    this._listener = listener
    this._isSkipping = false
    this._skippedBytes = 0
    this._parser.hasNoBody = request.method === 'HEAD'
    // A late copy of the answer has a length and no body, which the parser could not know when it reads the next answer.
    if (this._parser.hasNoBody) this._isReusable = false
    const lines = [`${request.method} ${request.target} HTTP/1.1`]
    for (const [name, value] of request.headers) lines.push(`${name}: ${value}`)
    const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1')
    this._socket.write(request.body === undefined ? head : Buffer.concat([head, request.body]))
  }

  /** Pauses reading, to apply the backpressure of a slow caller to the replica. */
  pause (): void {
    this._isPaused = true
    this._socket.pause()
  }

  /** Resumes reading after `pause`. */
  resume (): void {
    this._isPaused = false
    if (this._endsWithConnection) this._readOnLater()
    else this._socket.resume()
  }

  /**
   * Cancels the current exchange and resets the connection, so that bytes of the request that are on their way are discarded. The
   * exchange's listener is not called any more.
   */
  cancel (): void {
    this._takeListener()
    this._isReusable = false
    // In Node.js 20, a reset during a write leaves a handle that keeps the event loop busy.
    if (this._isConnected && this._socket.writableLength === 0) this._socket.resetAndDestroy()
    else this.close()
  }

  /** Closes the connection at once. A current exchange ends with a fault. */
  close (): void {
    this._isReusable = false
    this._socket.destroy()
  }

  private get _isConnected (): boolean {
    return this._connectedAt !== undefined
  }

  /** Returns whether to continue reading at once. */
  private _onBytes (chunk: OwnedBytes): boolean {
    // No exchange is active, so these bytes answer no request.
    if (this._listener === undefined) {
      this.close()
      return true
    }
    try {
      this._parser.write(chunk)
    } catch (error) {
      this._fail('malformed', String(error))
    }
    this._recordHeldBytes()
    if (!this._endsWithConnection || this._isClosed || this._isPaused) return !this._isPaused
    this._readOnLater()
    return false
  }

  private _recordHeldBytes (): void {
    if (this._listener === undefined) return
    heldAnswers.set(this, this._parser.heldBytes + this._listener.heldBytes())
    if (heldAnswers.isExcessive(this)) this._fail('oversized', `${heldAnswers.total} bytes of answers are held`)
  }

  /** Ends the exchange; its listener is not called any more. */
  private _takeListener (): ExchangeListener | undefined {
    const listener = this._listener
    this._listener = undefined
    heldAnswers.release(this)
    return listener
  }

  /**
   * A reset that arrives together with bytes is reported as an orderly close unless reading is restarted after their event; a
   * partial answer without a length would then look complete.
   */
  private _readOnLater (): void {
    setImmediate(() => { if (!this._isPaused) this._socket.resume() })
  }

  /** A replica that does not read the whole request resets the connection after its end: writes fail, and a close follows. */
  private _awaitWrites (): void {
    // Sends nothing, but the kernel refuses it on a connection that was reset.
    this._socket.write('')
    if (this._socket.errored !== null) return
    if (this._socket.writableLength > 0) this._socket.once('finish', () => { this._onSocketEnd() })
    else this._onSocketEnd()
  }

  private _onSocketEnd (): void {
    if (this._listener === undefined || !this._parser.isInsideAnswer) return
    try {
      this._parser.finish()
    } catch (error) {
      this._fail('connection-ended', String(error))
    }
  }

  private _onHead (head: AnswerHead): void {
    const listener = this._listener
    // A second answer in the same read: the exchange has already ended with the first one.
    if (listener === undefined) {
      this.close()
      return
    }
    this._isSkipping = !listener.isExpected(head)
    if (this._isSkipping && this._parser.hasNoBody) {
      this._fail('malformed', 'the end of an answer to another request is not known while the answer to HEAD is awaited')
      return
    }
    this._endsWithConnection = head.endsWithConnection
    if (!head.isKeptAlive || this._isSkipping) this._isReusable = false
    const timeout = /timeout=(\d+)/.exec(String(head.headers['keep-alive'] ?? ''))
    if (timeout !== null) this._keepAliveTimeout = Number(timeout[1]) * MILLISECONDS_PER_SECOND
    if (!this._isSkipping) listener.onHead(head)
  }

  private _onBody (chunk: OwnedBytes): void {
    if (!this._isSkipping) {
      this._listener?.onBody(chunk)
      return
    }
    this._skippedBytes += chunk.length
    if (this._skippedBytes > MAXIMUM_SKIPPED_BYTES) this._fail('malformed', 'an answer to another request is too long to skip')
  }

  private _onEnd (isFollowed: boolean): void {
    const listener = this._isSkipping ? undefined : this._takeListener()
    if (listener === undefined) return
    // The next answer on this connection could not be told from them.
    if (isFollowed) this._isReusable = false
    this._lastUsedAt = this._now()
    this.completedExchanges += 1
    if (this._isReusable && !this._isClosed) {
      // The end came with the bytes at which the caller paused; nobody would resume the channel for the next request.
      if (this._isPaused) this.resume()
      this._onIdle(this)
    } else this.close()
    listener.onEnd()
  }

  private _fail (fault: ExchangeFault, detail: string): void {
    const listener = this._takeListener()
    this.close()
    listener?.onFault(fault, detail)
  }

  private _onSocketClose (): void {
    this._isClosed = true
    this._onClosed(this)
    if (this._hasConnectFailed) this._onLink(false)
    this._fail(this._isConnected ? 'connection-ended' : 'not-connected', this._closeReason)
  }
}

/** An address that no connection can be opened to, for example with a port out of range, fails like one that refuses it. */
function connect (options: net.NetConnectOpts): net.Socket {
  try {
    return net.connect(options)
  } catch (error) {
    return new net.Socket().destroy(error as Error)
  }
}
