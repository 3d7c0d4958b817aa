/** One connection to a replica. It serves one request at a time and is reused only after a whole, expected answer. */
import net from 'node:net'
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '@wasabihead/coordination'
import { splitAddress } from './addresses.js'
import { AnswerParser, type AnswerHead } from './answerParser.js'
import { readInto, type OwnedBytes } from './ownedBytes.js'

/** Why an exchange ended without a whole answer. */
export type ExchangeFault =
  /** No connection could be opened; nothing was sent. */
  | 'not-connected'
  /** The connection ended or broke. */
  | 'connection-ended'
  /** What came is no answer in the protocol. */
  | 'malformed'

/** Takes the answer to one request. */
export interface ExchangeListener {
  /** Whether the head belongs to this request; an answer that does not is skipped. */
  isExpected (head: AnswerHead): boolean
  onHead (head: AnswerHead): void
  onBody (chunk: OwnedBytes): void
  onEnd (): void
  /** `detail` says for the log what was wrong. */
  onFault (fault: ExchangeFault, detail: string): void
}

/** A request as it is written to the connection. */
export interface ExchangeRequest {
  method: string
  /** Path with query. */
  target: string
  headers: readonly (readonly [string, string])[]
  body: Buffer | undefined
}

/** The replica announces whole seconds; a request that arrives just as they end would be reset. */
const KEEP_ALIVE_MARGIN: Milliseconds = 500
const DEFAULT_KEEP_ALIVE: Milliseconds = 4_000
/** Bytes of answers to other requests that are read to get at the own one. */
const MAXIMUM_SKIPPED_BYTES = 262_144

/** One connection. */
export class ReplicaChannel {
  private readonly _socket: net.Socket
  private readonly _parser: AnswerParser
  private _listener: ExchangeListener | undefined
  private _isSkipping = false
  private _skippedBytes = 0
  private _isPaused = false
  private _endsWithConnection = false
  private _mayBeReused = true
  private _isConnected = false
  private _isClosed = false
  private _endReason = 'closed'
  private _keepAlive = DEFAULT_KEEP_ALIVE
  private _usedAt: Milliseconds = 0
  /** Exchanges that ended with a whole answer. */
  completed = 0

  /**
   * @param address IP address and port
   * @param _onIdle called when the channel may serve another request
   * @param _onClosed called once when the connection is gone
   */
  constructor (
    address: string,
    connectTimeout: Milliseconds,
    private readonly _now: () => Milliseconds,
    private readonly _onIdle: (channel: ReplicaChannel) => void,
    private readonly _onClosed: (channel: ReplicaChannel) => void
  ) {
    const [host, port] = splitAddress(address)
    this._parser = new AnswerParser({
      onHead: head => { this._takeHead(head) },
      onBody: chunk => { this._takeBody(chunk) },
      onEnd: () => { this._takeEnd() }
    })
    this._socket = net.connect({
      host,
      port,
      noDelay: true,
      onread: readInto(bytes => this._takeBytes(bytes))
    })
    const timer = setTimeout(() => { this.close() }, connectTimeout)
    this._socket.once('connect', () => {
      clearTimeout(timer)
      this._isConnected = true
    })
    this._socket.once('end', () => { this._takeFinish() })
    // The close event follows and carries the consequence.
    this._socket.on('error', error => { this._endReason = error.message })
    this._socket.once('close', () => {
      clearTimeout(timer)
      this._takeClose()
    })
  }

  /** Whether the connection is gone, or was closed here and only its end is not reported yet. */
  get isClosed (): boolean {
    return this._isClosed || this._socket.destroyed
  }

  /** Until when an idle connection may be used; then the replica may close it. */
  get usableUntil (): Milliseconds {
    return this._usedAt + this._keepAlive - KEEP_ALIVE_MARGIN
  }

  /** When the last exchange ended. */
  get usedAt (): Milliseconds {
    return this._usedAt
  }

  /** Writes a request. The channel must be idle or new. */
  send (request: ExchangeRequest, listener: ExchangeListener): void {
    this._listener = listener
    this._isSkipping = false
    this._skippedBytes = 0
    this._parser.hasNoBody = request.method === 'HEAD'
    const lines = [`${request.method} ${request.target} HTTP/1.1`]
    for (const [name, value] of request.headers) lines.push(`${name}: ${value}`)
    const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1')
    this._socket.write(request.body === undefined ? head : Buffer.concat([head, request.body]))
  }

  /** Stops reading, so that a slow caller slows the replica. */
  pause (): void {
    this._isPaused = true
    this._socket.pause()
  }

  /** Reads again. */
  resume (): void {
    this._isPaused = false
    this._socket.resume()
  }

  /** Gives up the request that is under way, and the connection with it. */
  abandon (): void {
    this._listener = undefined
    this.close()
  }

  /** Ends the connection. */
  close (): void {
    this._mayBeReused = false
    this._socket.destroy()
  }

  /** Whether to go on reading at once. */
  private _takeBytes (chunk: OwnedBytes): boolean {
    // Bytes that nobody asked for belong to no request.
    if (this._listener === undefined) {
      this.close()
      return true
    }
    try {
      this._parser.write(chunk)
    } catch (error) {
      this._fail('malformed', String(error))
    }
    if (!this._endsWithConnection || this._isClosed || this._isPaused) return !this._isPaused
    // A reset that comes together with bytes is reported as an ordinary end unless reading begins anew after them, and an
    // answer without a length would then look whole.
    setImmediate(() => { if (!this._isPaused) this._socket.resume() })
    return false
  }

  private _takeFinish (): void {
    if (this._listener === undefined || !this._parser.isInsideAnswer) return
    try {
      this._parser.finish()
    } catch (error) {
      this._fail('connection-ended', String(error))
    }
  }

  private _takeHead (head: AnswerHead): void {
    const listener = this._listener
    // A second answer in the same bytes: the exchange it follows has ended.
    if (listener === undefined) {
      this.close()
      return
    }
    this._isSkipping = !listener.isExpected(head)
    this._endsWithConnection = head.endsWithConnection
    if (!head.isKeptAlive || this._isSkipping) this._mayBeReused = false
    const timeout = /timeout=(\d+)/.exec(String(head.headers['keep-alive'] ?? ''))
    if (timeout !== null) this._keepAlive = Number(timeout[1]) * MILLISECONDS_PER_SECOND
    if (!this._isSkipping) listener.onHead(head)
  }

  private _takeBody (chunk: OwnedBytes): void {
    if (!this._isSkipping) {
      this._listener?.onBody(chunk)
      return
    }
    this._skippedBytes += chunk.length
    if (this._skippedBytes > MAXIMUM_SKIPPED_BYTES) this._fail('malformed', 'an answer to another request does not end')
  }

  private _takeEnd (): void {
    const listener = this._listener
    if (this._isSkipping || listener === undefined) return
    this._listener = undefined
    this._usedAt = this._now()
    this.completed += 1
    if (this._mayBeReused && !this._isClosed) this._onIdle(this)
    else this.close()
    listener.onEnd()
  }

  private _fail (fault: ExchangeFault, detail: string): void {
    const listener = this._listener
    this._listener = undefined
    this.close()
    listener?.onFault(fault, detail)
  }

  private _takeClose (): void {
    this._isClosed = true
    this._onClosed(this)
    this._fail(this._isConnected ? 'connection-ended' : 'not-connected', this._endReason)
  }
}
