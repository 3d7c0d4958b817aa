/** The events of a second answer, which are retained until it is known whether they continue what the caller has. */
import type { StreamGap, StreamPosition } from '@wasabihead/coordination'
import { BufferedBytes, type AnswerHead, type OwnedBytes } from '../channels/index.js'
import { EventSplitter, MAXIMUM_EVENT_BYTES } from './eventSplitter.js'

/** A longer id is cut in the log. */
const MAXIMUM_LOGGED_ID_LENGTH = 100

/** What the end of a stream says about whether it is complete. */
export interface StreamEnding {
  head: AnswerHead
  /** Bytes after the last event. */
  bufferedBytes: number
  hasEvent: boolean
  isContinuation: boolean
}

/** Whether a stream that ends now was cut off, however its end is framed. */
export function isCutOff ({ head, bufferedBytes, hasEvent, isContinuation }: StreamEnding): boolean {
  // Without a length, a replica that crashes before its first event looks as if it had nothing to send.
  if (bufferedBytes === 0) return head.endsWithConnection && !hasEvent
  // Without a type, bytes without a single event may be an answer that is no stream.
  return head.headers['content-type'] !== undefined || isContinuation
}

/** Why an event does not follow the one before, for the log. */
export function describeGap ({ id, last }: StreamGap): string {
  return `event ${shorten(id ?? 'without an id')} does not follow ${shorten(last)}`
}

function shorten (id: string): string {
  return id.length > MAXIMUM_LOGGED_ID_LENGTH ? `${id.slice(0, MAXIMUM_LOGGED_ID_LENGTH)}...` : id
}

/** An answer of events, up to its first event. */
export class CandidateAnswer {
  private readonly _splitter = new EventSplitter()
  private readonly _body = new BufferedBytes()
  private _hasEvent = false
  private _fault: string | undefined

  /**
   * @param _position how much the caller has
   * @param _isContinuation whether the answer has to go on with something
   * @param _hasBegun whether the caller has received some of the stream from another replica
   */
  constructor (
    readonly head: AnswerHead, private readonly _position: StreamPosition, private readonly _isContinuation: boolean,
    private readonly _hasBegun: boolean
  ) {}

  /** Whether an event was received that the caller can be sent next. */
  get isJoinable (): boolean {
    return this._hasEvent && this._fault === undefined
  }

  /** Why the answer does not continue what the caller has, for the log; undefined if it may. */
  get fault (): string | undefined {
    return this._fault
  }

  /** Bytes that are retained. */
  get heldBytes (): number {
    return this._body.length + this._splitter.bufferedBytes
  }

  /** Whether more bytes are retained than a proper answer has before its first event. */
  get isOversized (): boolean {
    return !this._hasEvent && this._body.length > MAXIMUM_EVENT_BYTES
  }

  /** Whether the answer was cut off if it ends now. */
  get isCutOff (): boolean {
    return isCutOff({
      head: this.head, bufferedBytes: this._splitter.bufferedBytes, hasEvent: this._hasEvent, isContinuation: this._isContinuation
    })
  }

  /** Whether the answer, if it ends now, has brought nothing that continues what the caller has. */
  get isContinuationMissing (): boolean {
    return this._hasBegun && !this._hasEvent
  }

  /** Retains a chunk of the body. */
  add (chunk: OwnedBytes): void {
    this._body.add(chunk)
    const ids = this._splitter.push(chunk)?.ids ?? []
    const gap = this._position.findGap(ids, this._hasEvent)
    if (gap !== undefined) this._fault = describeGap(gap)
    this._hasEvent ||= ids.length > 0
  }

  /** Removes and returns what was retained of the body. */
  takeBody (): OwnedBytes {
    return this._body.takeAll()
  }
}
