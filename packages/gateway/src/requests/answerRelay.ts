/** Forwards a replica's answer to the caller without changing its body. */
import type http from 'node:http'
import { continuationFaultOf, isPlainBody, StreamPosition, type BodyKind } from '@wasabihead/coordination'
import { BufferedBytes, heldAnswers, type AnswerHead, type OwnedBytes } from '../channels/index.js'
import { CandidateAnswer, describeGap, isCutOff } from './candidateAnswer.js'
import { EventSplitter, MAXIMUM_EVENT_BYTES, type CompleteEvents } from './eventSplitter.js'
import { forwardedHeaders } from './forwardedHeaders.js'

const NO_CONTENT = 204
const NOT_MODIFIED = 304

/** Forwards the answer to one request, which may come from several replicas one after another. */
export abstract class AnswerRelay {
  /** @param onDrained called when the response's write buffer is empty again */
  constructor (protected readonly _response: http.ServerResponse, onDrained: () => void) {
    _response.on('drain', onDrained)
  }

  abstract readonly kind: 'whole' | 'events'

  /** Whether the current answer is forwarded as a whole, so that each of its bytes is progress. */
  abstract readonly isPlain: boolean

  /** Whether part of the answer was written to the caller, so that another answer can no longer replace it. */
  abstract readonly hasBegun: boolean

  /** Id of the last event that was written to the caller, or that the caller asked to resume after. */
  abstract readonly lastEventId: string | undefined

  /** Increases with each write that advances the answer; bytes that complete no event are no progress. */
  abstract readonly progress: number

  /** Says for the log which size limit the answer exceeds, so that it is abandoned; undefined while it exceeds none. */
  abstract readonly exceededLimit: string | undefined

  /** Bytes that are held until more of the answer has arrived. */
  abstract readonly heldBytes: number

  /** Whether the answer is incomplete where it ends now, however it is framed. */
  abstract readonly isCutOff: boolean

  /** Whether another replica's answer can follow what was written. */
  abstract readonly isContinuable: boolean

  /** Says for the log why the answer does not continue what was written; nothing of it is written from then on. */
  abstract readonly continuationFault: string | undefined

  /** Whether the answer ends now without anything that continues what was written. */
  abstract readonly isContinuationMissing: boolean

  /** Why an answer with this head cannot continue what the caller has; undefined if it may. */
  abstract continuationFaultOf (head: AnswerHead): string | undefined

  /** A second answer with this head whose events decide whether it continues what the caller has; undefined if its head does. */
  abstract candidateOf (head: AnswerHead): CandidateAnswer | undefined

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
  /** While the answers of all requests hold much, so that sound ones are not ended for it. */
  private static readonly _maximumWhileCrowded = 16_384

  override readonly kind = 'whole'
  override readonly isPlain = true
  override readonly lastEventId = undefined
  override readonly progress = 0
  override readonly exceededLimit = undefined
  override readonly isCutOff = false
  override readonly continuationFault = undefined
  override readonly isContinuationMissing = false
  private _head: AnswerHead | undefined
  private _buffer = new BufferedBytes()
  private _isStreaming = false

  /** @param _isCrowded whether callers leave so much unread that answers are to wait at their replicas */
  constructor (response: http.ServerResponse, onDrained: () => void, private readonly _isCrowded = (): boolean => false) {
    super(response, onDrained)
  }

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

  override get isContinuable (): boolean {
    return !this._isStreaming
  }

  override get heldBytes (): number {
    return this._buffer.length
  }

  override continuationFaultOf (): undefined {}

  override candidateOf (): undefined {}

  override onHead (head: AnswerHead): void {
    this._head = head
    this._buffer = new BufferedBytes()
  }

  override onBody (chunk: OwnedBytes): boolean {
    if (this._isStreaming) return this._response.write(chunk)
    this._buffer.add(chunk)
    const { _maximumBufferedBytes, _maximumWhileCrowded } = BufferedAnswerRelay
    const maximum = heldAnswers.isCrowded || this._isCrowded() ? _maximumWhileCrowded : _maximumBufferedBytes
    if (this._buffer.length <= maximum || this._head === undefined) return true
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

/**
 * Forwards events as they arrive, complete ones only, and continues with another replica's stream after a broken one. An answer
 * that is no stream is forwarded as a whole.
 */
export class EventStreamRelay extends AnswerRelay {
  override readonly kind = 'events'
  private readonly _position: StreamPosition
  private _splitter = new EventSplitter()
  /** Head that the caller gets. */
  private _head: AnswerHead | undefined
  /** Head of the current replica's answer. */
  private _currentHead: AnswerHead | undefined
  /** Forwards an answer that is no stream. */
  private _plainRelay: BufferedAnswerRelay | undefined
  /** Comments of a continuation that has brought no event yet. */
  private _comments = new BufferedBytes()
  /** Whether the current replica's answer goes on with what the caller has. */
  private _isContinuation = false
  /** Whether the current replica's answer has brought an event. */
  private _hasEvent = false
  private _hasBegun = false
  private _continuationFault: string | undefined
  private _progress = 0

  constructor (
    response: http.ServerResponse, onDrained: () => void, resumedAfter: string | undefined,
    private readonly _isCrowded?: () => boolean
  ) {
    super(response, onDrained)
    this._position = new StreamPosition(resumedAfter)
  }

  override get isPlain (): boolean {
    return this._plainRelay !== undefined
  }

  override get hasBegun (): boolean {
    return this._plainRelay?.hasBegun ?? this._hasBegun
  }

  override get lastEventId (): string | undefined {
    return this._position.lastId
  }

  override get progress (): number {
    return this._progress
  }

  override get heldBytes (): number {
    return this._plainRelay?.heldBytes ?? this._splitter.bufferedBytes + this._comments.length
  }

  override get exceededLimit (): string | undefined {
    const bufferedBytes = this._splitter.bufferedBytes + this._comments.length
    return bufferedBytes > MAXIMUM_EVENT_BYTES ? 'an event exceeds the maximum size' : undefined
  }

  override get isCutOff (): boolean {
    const head = this._currentHead
    if (head === undefined || this._plainRelay !== undefined) return false
    const isContinuation = this._isContinuation || this._hasBegun
    return isCutOff({ head, bufferedBytes: this._splitter.bufferedBytes, hasEvent: this._hasEvent, isContinuation })
  }

  override get isContinuable (): boolean {
    return this._plainRelay?.isContinuable ?? this._position.isResumable
  }

  override get continuationFault (): string | undefined {
    return this._continuationFault
  }

  /** Nothing in a stream marks its last event, so that only a replica whose events continue it can say that it has ended. */
  override get isContinuationMissing (): boolean {
    return this._hasBegun && this._isContinuation && !this._hasEvent
  }

  override continuationFaultOf (head: AnswerHead): string | undefined {
    if (this._plainRelay?.hasBegun === true) return 'an answer that is no stream has begun'
    if (!this._isContinuationNow) return undefined
    const begun = this._hasBegun && this._head !== undefined ? kindOf(this._head) : undefined
    return continuationFaultOf(kindOf(head), begun)
  }

  override candidateOf (head: AnswerHead): CandidateAnswer | undefined {
    const isContinuation = this._isContinuationNow
    if (!isContinuation && isPlainBody(kindOf(head))) return undefined
    return new CandidateAnswer(head, this._position, isContinuation, this._hasBegun)
  }

  override onHead (head: AnswerHead): void {
    this._continuationFault = this.continuationFaultOf(head)
    if (this._plainRelay?.hasBegun === true) return
    this._splitter = new EventSplitter()
    this._comments = new BufferedBytes()
    this._hasEvent = false
    this._currentHead = head
    this._plainRelay = undefined
    this._isContinuation = this._isContinuationNow
    if (this._hasBegun) return
    this._head = head
    if (!isPlainBody(kindOf(head))) return
    this._plainRelay = new BufferedAnswerRelay(this._response, () => {}, this._isCrowded)
    this._plainRelay.onHead(head)
  }

  override onBody (chunk: OwnedBytes): boolean {
    if (this._plainRelay !== undefined) return this._plainRelay.onBody(chunk)
    const events = this._splitter.push(chunk)
    if (events === undefined) return true
    if (this._isContinuation && !this._continues(events)) return true
    this._hasEvent ||= events.ids.length > 0
    this._writeHead()
    // A comment or a repeated event keeps the connection open but does not advance the stream.
    const { lastId } = this._position
    this._position.advance(events.ids)
    if (lastId === undefined || this._position.lastId !== lastId) this._progress += 1
    return this._write(events.bytes)
  }

  override onEnd (): void {
    if (this._plainRelay !== undefined) return this._plainRelay.onEnd()
    this._writeHead()
    if (this._comments.length > 0) this._response.write(this._comments.takeAll())
    this._response.end(this._splitter.takeRest())
  }

  /** Whether an answer that starts now has to go on with what the caller has. */
  private get _isContinuationNow (): boolean {
    return this._hasBegun || this._position.lastId !== undefined
  }

  /** Whether the events continue what the caller has; comments before the first one are retained until that is known. */
  private _continues ({ bytes, ids }: CompleteEvents): boolean {
    const gap = this._position.findGap(ids, this._hasEvent)
    if (gap !== undefined) {
      this._continuationFault = describeGap(gap)
      return false
    }
    if (ids.length > 0 || this._hasEvent) return true
    this._comments.add(bytes)
    return false
  }

  private _writeHead (): void {
    if (this._hasBegun || this._head === undefined) return
    this._response.writeHead(this._head.status, this._head.statusText, forwardedHeaders(this._head.rawHeaders, () => true).flat())
    this._hasBegun = true
  }

  private _write (bytes: OwnedBytes): boolean {
    if (this._comments.length > 0) this._response.write(this._comments.takeAll())
    return this._response.write(bytes)
  }
}

function kindOf ({ status, headers }: AnswerHead): BodyKind {
  const contentType = headers['content-type']
  return { status, contentType: contentType === undefined ? undefined : String(contentType) }
}
