/** Cuts the bytes of an event stream into whole events. */

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = 'id:'

/** Whole events, and the id of the last of them that has one. */
export interface WholeEvents {
  bytes: Buffer
  lastId: string | undefined
}

/** Holds back the beginning of an event until its end has come. */
export class EventSplitter {
  private _held: Buffer = Buffer.alloc(0)

  /** Takes bytes; gives the whole events among them, or undefined where none ended. */
  take (chunk: Buffer): WholeEvents | undefined {
    const bytes = this._held.length === 0 ? chunk : Buffer.concat([this._held, chunk])
    const end = endOfLastEvent(bytes)
    if (end === 0) {
      this._held = bytes
      return undefined
    }
    this._held = bytes.subarray(end)
    const whole = bytes.subarray(0, end)
    return { bytes: whole, lastId: lastIdIn(whole) }
  }

  /** What is left when the stream has ended in order. */
  rest (): Buffer {
    const rest = this._held
    this._held = Buffer.alloc(0)
    return rest
  }
}

/** An event ends with an empty line. */
function endOfLastEvent (bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) continue
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1
    if (before >= 0 && bytes[before] === LINE_FEED) return index + 1
  }
  return 0
}

function lastIdIn (events: Buffer): string | undefined {
  const text = events.toString('latin1')
  const start = text.startsWith(ID_FIELD) && !text.includes(`\n${ID_FIELD}`) ? 0 : text.lastIndexOf(`\n${ID_FIELD}`) + 1
  if (!text.startsWith(ID_FIELD, start)) return undefined
  const end = text.indexOf('\n', start)
  return text.slice(start + ID_FIELD.length, end < 0 ? undefined : end).trim()
}
