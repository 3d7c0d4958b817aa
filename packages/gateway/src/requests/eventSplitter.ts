/** Cuts the bytes of an event stream into whole events. */
import { HeldBytes, partOf, type OwnedBytes } from '../channels/index.js'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = 'id:'

/** Whole events, and the id of the last of them that has one. */
export interface WholeEvents {
  bytes: OwnedBytes
  lastId: string | undefined
}

/** Holds back the beginning of an event until its end has come. Looks at each byte once. */
export class EventSplitter {
  private readonly _held = new HeldBytes()
  /** Bytes of the line that has begun; a carriage return alone is none. */
  private _lineBytes = 0
  private _hasCarriageReturn = false

  /** Bytes that wait for the end of their event. */
  get heldBytes (): number {
    return this._held.length
  }

  /** Takes bytes; gives the whole events among them, or undefined where none ended. */
  take (chunk: OwnedBytes): WholeEvents | undefined {
    const end = this._endOfLastEvent(chunk)
    if (end === 0) {
      this._held.add(chunk)
      return undefined
    }
    this._held.add(partOf(chunk, 0, end))
    const whole = this._held.take()
    if (end < chunk.length) this._held.add(partOf(chunk, end, chunk.length))
    return { bytes: whole, lastId: lastIdIn(whole) }
  }

  /** What is left when the stream has ended in order. */
  rest (): OwnedBytes {
    return this._held.take()
  }

  /** An event ends with an empty line. */
  private _endOfLastEvent (chunk: OwnedBytes): number {
    let end = 0
    let lineStart = 0
    for (let feed = chunk.indexOf(LINE_FEED); feed >= 0; feed = chunk.indexOf(LINE_FEED, lineStart)) {
      this._noteLine(chunk, lineStart, feed)
      if (this._lineBytes === 0) end = feed + 1
      this._lineBytes = 0
      this._hasCarriageReturn = false
      lineStart = feed + 1
    }
    this._noteLine(chunk, lineStart, chunk.length)
    return end
  }

  private _noteLine (chunk: OwnedBytes, begin: number, end: number): void {
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
