/**
 * The grammar of HTTP/1.1 requests (RFC 9112), checked on the bytes of one connection before a parser reads them. A parser that
 * accepts more than the grammar may see the end of a request elsewhere than the sender, or another recipient, does.
 */

/** What the next bytes of the connection belong to. */
type Position = 'request-line' | 'header' | 'body' | 'chunk-size' | 'chunk-data' | 'chunk-end' | 'trailer'

/** How far bytes are valid, and what a parser is to be given of them. */
export interface AcceptedBytes {
  /** Where the valid bytes end, at the latest where the current request ends. */
  end: number
  /**
   * The valid bytes without extensions of chunks, which a recipient ignores (RFC 9112, 7.1.1) and not every parser reads, and
   * with a placeholder for each byte beyond ASCII in a target, which the parser of Node.js reads on some processors only. A line
   * with a chunk's size is passed on once it is complete.
   */
  pieces: Buffer[]
}

interface FramingHeaders {
  hosts: string[]
  lengths: string[]
  encodings: string[]
}

const LINE_FEED = 0x0a
const SEMICOLON = 0x3b
/** Longer lines are invalid; HTTP parsers have a similar limit on all headers of a request. */
const MAXIMUM_LINE_LENGTH = 262_144
/** Empty lines before a request that RFC 9112, 2.2 has servers ignore. */
const MAXIMUM_EMPTY_LINES = 1
/** Visible characters beyond ASCII are accepted in a target, since callers send them and replicas get them unchanged. */
const REQUEST_LINE = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+ ([\x21-\x7e\x80-\xff]+) HTTP\/1\.([01])$/
const FIRST_BYTE_BEYOND_ASCII = 0x80
/** Stands for a byte beyond ASCII in the target that a parser is given. */
const PLACEHOLDER = 0x5f
const HEADER_LINE = /^([!#$%&'*+\-.^_`|~0-9a-z]+):[\t ]*([\t\x20-\x7e\x80-\xff]*?)[\t ]*$/i
const LENGTH = /^\d{1,15}$/
const CHUNK_SIZE = /^([0-9a-f]{1,12})(?:[\t ]*;[\t\x20-\x7e\x80-\xff]*)?$/i
const HEXADECIMAL = 16

/** Follows the requests on one connection. */
export class RequestSyntax {
  private _position: Position = 'request-line'
  /** The part of a line that has arrived. */
  private _line = ''
  private _emptyLines = 0
  private _target = ''
  private _isOldVersion = false
  private _framing = newFraming()
  /** Bytes that are left of a body or chunk. */
  private _left = 0
  /** The size in the last complete line with one. */
  private _chunkSize = ''
  private _hasEnded = false
  private _isInvalid = false
  private _headBytes = 0
  private _openBytes = 0

  /** Whether a byte was invalid; the rest of the connection is then invalid, too. */
  get isInvalid (): boolean {
    return this._isInvalid
  }

  /** The target of the current request, or of the last one, as it was sent; each character stands for a byte. */
  get target (): string {
    return this._target
  }

  /** Whether all bytes so far belong to complete requests. */
  get isBetweenRequests (): boolean {
    return this._position === 'request-line' && this._line === ''
  }

  /** Size of the head of the current request, or of the last one. */
  get headBytes (): number {
    return this._headBytes
  }

  /** Size of what has arrived of a head, of a line with a chunk's size, or of trailers that are incomplete. */
  get openBytes (): number {
    return this._openBytes
  }

  /** Checks bytes from an offset on. */
  accept (bytes: Buffer, offset: number): AcceptedBytes {
    this._hasEnded = false
    const pieces: Buffer[] = []
    let passedUntil = offset
    let end = offset
    const passUntil = (place: number): void => {
      if (place > passedUntil) pieces.push(bytes.subarray(passedUntil, place))
    }
    while (end < bytes.length && !this._hasEnded) {
      const isInChunkSize = this._position === 'chunk-size'
      const isInRequestLine = this._position === 'request-line'
      const isContinued = this._line !== ''
      const next = this._left > 0 ? this._skip(bytes, end) : this._readLine(bytes, end)
      if (this._isInvalid) break
      const isComplete = this._line === ''
      if (isInChunkSize && (isContinued || !isComplete || bytes.subarray(end, next).includes(SEMICOLON))) {
        passUntil(end)
        if (isComplete) pieces.push(Buffer.from(`${this._chunkSize}\r\n`))
        passedUntil = next
      } else if (isInRequestLine && bytes.subarray(end, next).some(byte => byte >= FIRST_BYTE_BEYOND_ASCII)) {
        passUntil(end)
        pieces.push(Buffer.from(bytes.subarray(end, next).map(byte => byte < FIRST_BYTE_BEYOND_ASCII ? byte : PLACEHOLDER)))
        passedUntil = next
      }
      end = next
    }
    passUntil(end)
    return { end, pieces }
  }

  private _skip (bytes: Buffer, offset: number): number {
    const skipped = Math.min(this._left, bytes.length - offset)
    this._left -= skipped
    if (this._left === 0) {
      if (this._position === 'chunk-data') this._position = 'chunk-end'
      else this._endRequest()
    }
    return offset + skipped
  }

  private _readLine (bytes: Buffer, offset: number): number {
    const end = bytes.indexOf(LINE_FEED, offset)
    const next = end < 0 ? bytes.length : end + 1
    this._openBytes += next - offset
    this._line += bytes.toString('latin1', offset, next)
    const line = this._line
    const carriageReturn = line.indexOf('\r')
    const isComplete = end >= 0
    const isInvalid = isComplete
      ? carriageReturn < 0 || carriageReturn !== line.length - 2
      : carriageReturn >= 0 && carriageReturn !== line.length - 1
    if (isInvalid || line.length > MAXIMUM_LINE_LENGTH) this._isInvalid = true
    else if (isComplete) {
      this._line = ''
      if (!this._acceptLine(line.slice(0, -2))) this._isInvalid = true
    }
    return next
  }

  private _acceptLine (line: string): boolean {
    switch (this._position) {
      case 'request-line': return this._acceptRequestLine(line)
      case 'header': return line === '' ? this._endHead() : this._acceptHeader(line)
      case 'chunk-size': return this._acceptChunkSize(line)
      case 'chunk-end':
        this._position = 'chunk-size'
        return line === ''
      case 'trailer':
        if (line === '') this._endRequest()
        return line === '' || HEADER_LINE.test(line)
      case 'body':
      case 'chunk-data':
        throw new Error(`A ${this._position} has no lines.`)
    }
  }

  private _acceptRequestLine (line: string): boolean {
    if (line === '') {
      this._emptyLines += 1
      return this._emptyLines <= MAXIMUM_EMPTY_LINES
    }
    const match = REQUEST_LINE.exec(line)
    this._target = match?.[1] ?? ''
    this._isOldVersion = match?.[2] === '0'
    this._framing = newFraming()
    this._position = 'header'
    return match !== null
  }

  private _acceptHeader (line: string): boolean {
    const match = HEADER_LINE.exec(line)
    if (match === null) return false
    const [, name = '', value = ''] = match
    this._valuesOf(name.toLowerCase())?.push(value)
    return true
  }

  private _valuesOf (name: string): string[] | undefined {
    switch (name) {
      case 'host': return this._framing.hosts
      case 'content-length': return this._framing.lengths
      case 'transfer-encoding': return this._framing.encodings
      default: return undefined
    }
  }

  private _endHead (): boolean {
    const { hosts, lengths, encodings } = this._framing
    if (hosts.length > 1 || (hosts.length === 0 && !this._isOldVersion)) return false
    if (lengths.length + encodings.length > 1) return false
    const [length] = lengths
    const [encoding] = encodings
    if (length !== undefined && !LENGTH.test(length)) return false
    if (encoding !== undefined && (encoding.toLowerCase() !== 'chunked' || this._isOldVersion)) return false
    this._headBytes = this._openBytes
    this._openBytes = 0
    this._left = Number(length ?? 0)
    if (encoding !== undefined) this._position = 'chunk-size'
    else if (this._left > 0) this._position = 'body'
    else this._endRequest()
    return true
  }

  private _acceptChunkSize (line: string): boolean {
    const size = CHUNK_SIZE.exec(line)?.[1]
    if (size === undefined) return false
    this._chunkSize = size
    this._openBytes = 0
    this._left = parseInt(size, HEXADECIMAL)
    this._position = this._left > 0 ? 'chunk-data' : 'trailer'
    return true
  }

  private _endRequest (): void {
    this._hasEnded = true
    this._openBytes = 0
    this._position = 'request-line'
    this._emptyLines = 0
  }
}

function newFraming (): FramingHeaders {
  return { hosts: [], lengths: [], encodings: [] }
}
