/** Splits the bytes of an event stream into complete events. */
import { BufferedBytes, ownedSlice, type OwnedBytes } from '../channels/index.js'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a
const ID_FIELD = 'id:'
const RETRY_FIELD = 'retry:'
/** Limit on an event: a generated token takes some hundred bytes, and an event contains several. */
export const MAXIMUM_EVENT_BYTES = 1_048_576
/** An id that cannot be sent to the next replica in a header counts as none. */
const HEADER_TEXT = /^[\x20-\x7e\x80-\xff]{1,1024}$/

/** Complete events. */
export interface CompleteEvents {
  bytes: OwnedBytes
  /** The id of each event, undefined for one without. Comments and reconnection times are no events. */
  ids: (string | undefined)[]
}

/** Buffers the beginning of an event until its end arrives. Scans each byte for line ends only once. */
export class EventSplitter {
  private readonly _buffer = new BufferedBytes()
  /** Bytes of the current line; a single carriage return does not count. */
  private _lineBytes = 0
  private _hasCarriageReturn = false
  /** Whether the previous line was not empty. */
  private _isInBlock = false
  /** Number of blocks of lines that have ended among the buffered bytes; each is an event, a comment or a reconnection time. */
  private _blocks = 0

  /** Bytes that are buffered until their event ends. */
  get bufferedBytes (): number {
    return this._buffer.length
  }

  /** Adds bytes. Returns all events that are complete now, or undefined if none has ended. */
  push (chunk: OwnedBytes): CompleteEvents | undefined {
    const end = this._endOfLastEvent(chunk)
    if (end === 0) {
      this._buffer.add(chunk)
      return undefined
    }
    this._buffer.add(ownedSlice(chunk, 0, end))
    const whole = this._buffer.takeAll()
    if (end < chunk.length) this._buffer.add(ownedSlice(chunk, end, chunk.length))
    const blocks = this._blocks
    this._blocks = 0
    return { bytes: whole, ids: idsIn(whole, blocks) }
  }

  /** Removes and returns the buffered bytes, for a stream that has ended properly. */
  takeRest (): OwnedBytes {
    return this._buffer.takeAll()
  }

  /** Offset behind the last event that ends in the chunk, or 0 if none does. An event ends with an empty line. */
  private _endOfLastEvent (chunk: OwnedBytes): number {
    let end = 0
    let lineStart = 0
    for (let feed = chunk.indexOf(LINE_FEED); feed >= 0; feed = chunk.indexOf(LINE_FEED, lineStart)) {
      this._addToLine(chunk, lineStart, feed)
      const isEmpty = this._lineBytes === 0
      if (isEmpty) end = feed + 1
      if (isEmpty && this._isInBlock) this._blocks += 1
      this._isInBlock = !isEmpty
      this._lineBytes = 0
      this._hasCarriageReturn = false
      lineStart = feed + 1
    }
    this._addToLine(chunk, lineStart, chunk.length)
    return end
  }

  private _addToLine (chunk: OwnedBytes, begin: number, end: number): void {
    const isOneReturn = this._lineBytes === 0 && !this._hasCarriageReturn && end - begin === 1 && chunk[begin] === CARRIAGE_RETURN
    if (isOneReturn) this._hasCarriageReturn = true
    else this._lineBytes += end - begin
  }
}

/** @param maximum number of events at most */
function idsIn (events: Buffer, maximum: number): (string | undefined)[] {
  // An array that grows leaves several times its memory behind, which fills V8's young generation where events are tiny.
  const ids = new Array<string | undefined>(maximum)
  let count = 0
  let isEvent = false
  let id: string | undefined
  for (let start = 0; start < events.length;) {
    const feed = events.indexOf(LINE_FEED, start)
    const end = events[feed - 1] === CARRIAGE_RETURN ? feed - 1 : feed
    if (end <= start) {
      if (isEvent) ids[count++] = id
      isEvent = false
      id = undefined
    } else if (events[start] !== COLON && !isField(events, start, RETRY_FIELD)) {
      isEvent = true
      if (isField(events, start, ID_FIELD)) id = idOf(events.toString('latin1', start + ID_FIELD.length, end))
    }
    start = feed + 1
  }
  ids.length = count
  return ids
}

function isField (bytes: Buffer, start: number, name: string): boolean {
  for (let index = 0; index < name.length; index++) if (bytes[start + index] !== name.charCodeAt(index)) return false
  return true
}

function idOf (value: string): string | undefined {
  const id = value.trim()
  return HEADER_TEXT.test(id) ? id : undefined
}
