/** Passes a replica's answer on to the caller, unchanged. */
import type http from 'node:http'
import { HeldBytes, type AnswerHead, type OwnedBytes } from '../channels/index.js'
import { EventSplitter } from './eventSplitter.js'
import { passedHeaders } from './passedHeaders.js'

/** Passes one answer on. */
export abstract class AnswerRelay {
  /** @param onDrained called when the caller has read what was written */
  constructor (protected readonly _response: http.ServerResponse, onDrained: () => void) {
    _response.on('drain', onDrained)
  }

  abstract readonly kind: 'whole' | 'events'

  /** Whether the caller has got part of the answer, so that no other answer can replace it. */
  abstract readonly hasBegun: boolean

  /** The last event that the caller has got. */
  abstract readonly lastEventId: string | undefined

  /** Rises whenever the answer has come further; bytes that complete nothing are no progress. */
  abstract readonly progress: number

  /** What of the answer has grown beyond all bounds, so that it is given up; undefined while nothing has. */
  abstract readonly excess: string | undefined

  /** Takes the head of an answer that is to be passed on; a second one goes on with the first one's stream. */
  abstract onHead (head: AnswerHead): void

  /** Takes a piece of the body; false asks for a pause until the caller has read. */
  abstract onBody (chunk: OwnedBytes): boolean

  /** The answer has ended in order. */
  abstract onEnd (): void
}

/** Passes an answer on once it is whole, so that a broken one can be replaced. Beyond a bound it is passed on as it comes. */
export class WholeAnswerRelay extends AnswerRelay {
  private static readonly _maximumHeldBytes = 262_144

  override readonly kind = 'whole'
  override readonly lastEventId = undefined
  override readonly progress = 0
  override readonly excess = undefined
  private _head: AnswerHead | undefined
  private _held = new HeldBytes()
  private _isStreaming = false

  /** Writes a whole answer. */
  static pass (response: http.ServerResponse, head: AnswerHead, body: Buffer): void {
    const headers = passedHeaders(head.rawHeaders, () => true)
    const isBodyless = response.req.method === 'HEAD' || head.status === 204 || head.status === 304
    const declaredLength = head.headers['content-length']
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
    this._held = new HeldBytes()
  }

  override onBody (chunk: OwnedBytes): boolean {
    if (this._isStreaming) return this._response.write(chunk)
    this._held.add(chunk)
    if (this._held.length <= WholeAnswerRelay._maximumHeldBytes || this._head === undefined) return true
    this._isStreaming = true
    const headers = passedHeaders(this._head.rawHeaders, () => true)
    const length = this._head.headers['content-length']
    if (length !== undefined) headers.push(['Content-Length', String(length)])
    this._response.writeHead(this._head.status, this._head.statusText, headers.flat())
    return this._response.write(this._held.take())
  }

  override onEnd (): void {
    if (this._isStreaming) this._response.end()
    else if (this._head !== undefined) WholeAnswerRelay.pass(this._response, this._head, this._held.take())
  }
}

/** Passes events on as they come, whole ones only, and goes on with another replica's stream after a break. */
export class EventStreamRelay extends AnswerRelay {
  /** A generated token takes some hundred bytes, and an event holds several. */
  private static readonly _maximumEventBytes = 1_048_576

  override readonly kind = 'events'
  private _splitter = new EventSplitter()
  private _head: AnswerHead | undefined
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

  override get excess (): string | undefined {
    return this._splitter.heldBytes > EventStreamRelay._maximumEventBytes ? 'an event does not end' : undefined
  }

  override onHead (head: AnswerHead): void {
    this._splitter = new EventSplitter()
    if (this._hasBegun) return
    this._head = head
  }

  override onBody (chunk: OwnedBytes): boolean {
    const events = this._splitter.take(chunk)
    if (events === undefined) return true
    this._begin()
    // A comment or a repeated event keeps the connection open and brings the stream no further.
    if (events.lastId === undefined ? this._lastEventId === undefined : events.lastId !== this._lastEventId) this._progress += 1
    this._lastEventId = events.lastId ?? this._lastEventId
    return this._response.write(events.bytes)
  }

  override onEnd (): void {
    this._begin()
    this._response.end(this._splitter.rest())
  }

  private _begin (): void {
    if (this._hasBegun || this._head === undefined) return
    this._hasBegun = true
    this._response.writeHead(this._head.status, this._head.statusText, passedHeaders(this._head.rawHeaders, () => true).flat())
  }
}
