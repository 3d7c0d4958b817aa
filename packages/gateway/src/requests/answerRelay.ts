/** Forwards a replica's answer to the caller without changing its body. */
import type http from 'node:http'
import { BufferedBytes, type AnswerHead, type OwnedBytes } from '../channels/index.js'
import { EventSplitter } from './eventSplitter.js'
import { forwardedHeaders } from './forwardedHeaders.js'

const NO_CONTENT = 204
const FIRST_STATUS_AFTER_SUCCESS = 300
const NOT_MODIFIED = 304

/** Forwards the answer to one request, which may come from several replicas one after another. */
export abstract class AnswerRelay {
  /** @param onDrained called when the response's write buffer is empty again */
  constructor (protected readonly _response: http.ServerResponse, onDrained: () => void) {
    _response.on('drain', onDrained)
  }

  abstract readonly kind: 'whole' | 'events'

  /** Whether part of the answer was written to the caller, so that another answer can no longer replace it. */
  abstract readonly hasBegun: boolean

  /** Id of the last event that was written to the caller, or that the caller asked to resume after. */
  abstract readonly lastEventId: string | undefined

  /** Increases with each write that advances the answer; bytes that complete no event are no progress. */
  abstract readonly progress: number

  /** Says for the log which size limit the answer exceeds, so that it is abandoned; undefined while it exceeds none. */
  abstract readonly exceededLimit: string | undefined

  /** Whether the answer is incomplete where it ends now, however it is framed. */
  abstract readonly isCutOff: boolean

  /** Starts an answer. Where part of an earlier one was already written, the new one continues its stream. */
  abstract onHead (head: AnswerHead): void

  /** Forwards a chunk of the body. False means that the caller reads too slowly: pause until `onDrained`. */
  abstract onBody (chunk: OwnedBytes): boolean

  /** Completes the response after the answer has ended properly. */
  abstract onEnd (): void
}

/**
 * Buffers an answer until it is complete, so that a broken one can be replaced by another replica's. An answer larger than
 * the buffer is forwarded as it arrives.
 */
export class BufferedAnswerRelay extends AnswerRelay {
  private static readonly _maximumBufferedBytes = 262_144

  override readonly kind = 'whole'
  override readonly lastEventId = undefined
  override readonly progress = 0
  override readonly exceededLimit = undefined
  override readonly isCutOff = false
  private _head: AnswerHead | undefined
  private _buffer = new BufferedBytes()
  private _isStreaming = false

  /** Writes a complete answer. */
  static write (response: http.ServerResponse, head: AnswerHead, body: Buffer): void {
    const headers = forwardedHeaders(head.rawHeaders, () => true)
    const isBodyless = response.req.method === 'HEAD' || head.status === NO_CONTENT || head.status === NOT_MODIFIED
    // RFC 9110, 8.6: an answer without content has no length; where no body follows, it is that of the body that is left out.
    const declaredLength = head.status === NO_CONTENT ? undefined : head.headers['content-length']
    if (!isBodyless) headers.push(['Content-Length', String(body.length)])
    else if (declaredLength !== undefined) headers.push(['Content-Length', String(declaredLength)])
    response.writeHead(head.status, head.statusText, headers.flat())
    response.end(body)
  }

  override get hasBegun (): boolean {
    return this._isStreaming
  }

  override onHead (head: AnswerHead): void {
    this._head = head
    this._buffer = new BufferedBytes()
  }

  override onBody (chunk: OwnedBytes): boolean {
    if (this._isStreaming) return this._response.write(chunk)
    this._buffer.add(chunk)
    if (this._buffer.length <= BufferedAnswerRelay._maximumBufferedBytes || this._head === undefined) return true
    const headers = forwardedHeaders(this._head.rawHeaders, () => true)
    const length = this._head.headers['content-length']
    if (length !== undefined) headers.push(['Content-Length', String(length)])
    this._response.writeHead(this._head.status, this._head.statusText, headers.flat())
    this._isStreaming = true
    return this._response.write(this._buffer.takeAll())
  }

  override onEnd (): void {
    if (this._isStreaming) this._response.end()
    else if (this._head !== undefined) BufferedAnswerRelay.write(this._response, this._head, this._buffer.takeAll())
  }
}

/** Forwards events as they arrive, complete ones only, and continues with another replica's stream after a broken one. */
export class EventStreamRelay extends AnswerRelay {
  /** A generated token takes some hundred bytes, and an event contains several. */
  private static readonly _maximumEventBytes = 1_048_576

  override readonly kind = 'events'
  private _splitter = new EventSplitter()
  private _head: AnswerHead | undefined
  /** Head of the current replica's answer. */
  private _currentHead: AnswerHead | undefined
  private _hasBegun = false
  private _lastEventId: string | undefined
  private _progress = 0

  constructor (response: http.ServerResponse, onDrained: () => void, resumedAfter: string | undefined) {
    super(response, onDrained)
    this._lastEventId = resumedAfter
  }

  override get hasBegun (): boolean {
    return this._hasBegun
  }

  override get lastEventId (): string | undefined {
    return this._lastEventId
  }

  override get progress (): number {
    return this._progress
  }

  override get exceededLimit (): string | undefined {
    return this._splitter.bufferedBytes > EventStreamRelay._maximumEventBytes ? 'an event exceeds the maximum size' : undefined
  }

  override get isCutOff (): boolean {
    const head = this._currentHead
    if (head === undefined || head.status >= FIRST_STATUS_AFTER_SUCCESS || !isEventStream(head)) return false
    // Without a length, a replica that crashes before its first event looks as if it had nothing to send.
    const isEmptyByCrash = head.endsWithConnection && this._lastEventId === undefined && !this._hasBegun
    return this._splitter.bufferedBytes > 0 || isEmptyByCrash
  }

  override onHead (head: AnswerHead): void {
    this._splitter = new EventSplitter()
    this._currentHead = head
    if (this._hasBegun) return
    this._head = head
  }

  override onBody (chunk: OwnedBytes): boolean {
    const events = this._splitter.push(chunk)
    if (events === undefined) return true
    this._writeHead()
    // A comment or a repeated event keeps the connection open but does not advance the stream.
    if (events.lastId === undefined ? this._lastEventId === undefined : events.lastId !== this._lastEventId) this._progress += 1
    this._lastEventId = events.lastId ?? this._lastEventId
    return this._response.write(events.bytes)
  }

  override onEnd (): void {
    this._writeHead()
    this._response.end(this._splitter.takeRest())
  }

  private _writeHead (): void {
    if (this._hasBegun || this._head === undefined) return
    this._response.writeHead(this._head.status, this._head.statusText, forwardedHeaders(this._head.rawHeaders, () => true).flat())
    this._hasBegun = true
  }
}

function isEventStream ({ headers }: AnswerHead): boolean {
  return String(headers['content-type'] ?? '').startsWith('text/event-stream')
}
