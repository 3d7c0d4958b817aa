/** Splits the bytes of an event stream into complete events. */
import { BufferedBytes, ownedSlice, type OwnedBytes } from '../channels/index.js'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = 'id:'

/** Complete events, and the id of the last one that has an id. */
export interface CompleteEvents {
  bytes: OwnedBytes
  lastId: string | undefined
}

/** Buffers the beginning of an event until its end arrives. Scans each byte for line ends only once. */
export class EventSplitter {
  private readonly _buffer = new BufferedBytes()
  /** Bytes of the current line; a single carriage return does not count. */
  private _lineBytes = 0
  private _hasCarriageReturn = false

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
    return { bytes: whole, lastId: lastIdIn(whole) }
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
      if (this._lineBytes === 0) end = feed + 1
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

function lastIdIn (events: Buffer): string | undefined {
  const text = events.toString('latin1')
  const start = text.startsWith(ID_FIELD) && !text.includes(`\n${ID_FIELD}`) ? 0 : text.lastIndexOf(`\n${ID_FIELD}`) + 1
  if (!text.startsWith(ID_FIELD, start)) return undefined
  const end = text.indexOf('\n', start)
  return text.slice(start + ID_FIELD.length, end < 0 ? undefined : end).trim()
}
