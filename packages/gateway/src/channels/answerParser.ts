/** Parses the consecutive HTTP/1.1 answers of one connection. */
import { HTTPParser, type HTTPParserJS } from 'http-parser-js'
import type { HeaderFields } from '../protocol/index.js'
import { BodyPiece } from './bodyPiece.js'
import { ownedSlice, type OwnedBytes } from './ownedBytes.js'

/** Status line and headers of an answer. */
export interface AnswerHead {
  status: number
  statusText: string
  /** Names and values alternate, as received. */
  rawHeaders: string[]
  /** By lower-case name; the values of a repeated header are joined by commas. */
  headers: HeaderFields
  /** Whether the connection may be used for another request after this answer. */
  isKeptAlive: boolean
  /** Whether the body has neither a length nor chunks, so that the close of the connection ends it. */
  endsWithConnection: boolean
}

/** Receives the parsed answers. Interim answers are not reported. */
export interface AnswerListener {
  onHead (head: AnswerHead): void
  onBody (chunk: OwnedBytes): void
  /** @param isFollowed whether bytes that belong to no request came with the end of the answer */
  onEnd (isFollowed: boolean): void
}

/** The bytes are not a valid HTTP/1.1 answer, or one that cannot be passed on whole. */
export class MalformedAnswerError extends Error {}

const FIRST_FINAL_STATUS = 200
const SWITCHING_PROTOCOLS = 101
/** Limit on consecutive bytes without a complete head or body data: a head, chunk extensions, trailers, interim answers. */
const MAXIMUM_FRAMING_BYTES = 32_768
/** Memory that a byte of short header lines takes once it is parsed. */
const MEMORY_FACTOR_OF_FRAMING = 8
/** Chunks are joined to pieces of at least this share of the bytes read, so that there are not many pieces. */
const MINIMUM_SHARE_OF_READ = 1 / 16
const NO_CONTENT = 204
const NOT_MODIFIED = 304
const SKIP_BODY = 1

// Bytes beyond ASCII are valid in header values and are passed on as they are; the default would cut off their highest bit.
HTTPParser.encoding = 'latin1'

/** Parses the bytes of one connection and reports answers to its listener. */
export class AnswerParser {
  private readonly _parser: HTTPParserJS
  private _isInsideAnswer = false
  private _isInterim = false
  private _framingBytes = 0
  /** Whether bytes of the current write are parsed later. */
  private _hasMore = false
  /** Body data of the answer that is being parsed, from the bytes of the current write. */
  private _body: BodyPiece | undefined
  /** Whether the next answer is to a HEAD request, and so has no body. */
  hasNoBody = false

  constructor (private readonly _listener: AnswerListener) {
    this._parser = new HTTPParser(HTTPParser.RESPONSE)
    checkChunkSizes(this._parser)
    passChunksUnsliced(this._parser)
    checkStatusLines(this._parser)
    checkHeaderLines(this._parser)
    const handlers = this._parser as unknown as Record<number, unknown>
    handlers[HTTPParser.kOnHeadersComplete] = (info: ParsedHead) => this._onHeadersComplete(info)
    handlers[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number) => {
      this._framingBytes = 0
      // The bytes passed to `write`, or a slice of them; they are owned.
      this._body ??= new BodyPiece(chunk as OwnedBytes)
      this._body.append(offset, length)
      if (this._body.length >= chunk.length * MINIMUM_SHARE_OF_READ) this._reportBody()
    }
    handlers[HTTPParser.kOnMessageComplete] = () => {
      if (this._isInterim) {
        this._isInterim = false
        return
      }
      this._reportBody()
      this._isInsideAnswer = false
      this._framingBytes = 0
      const { offset, end } = this._parser as unknown as ReadPosition
      this._listener.onEnd(offset < end || this._hasMore)
    }
  }

  /** Whether the head of an answer has been parsed, but not yet its end. */
  get isInsideAnswer (): boolean {
    return this._isInsideAnswer
  }

  /** Memory that is held until a head, a line or an interim answer is complete, in bytes. */
  get heldBytes (): number {
    return this._framingBytes * MEMORY_FACTOR_OF_FRAMING
  }

  /** Parses bytes. Throws `MalformedAnswerError` if they are invalid, or if too many arrive without a head or body data. */
  write (chunk: OwnedBytes): void {
    const isInBody = this._isInsideAnswer && this._framingBytes === 0
    // The lines of a head take several times its bytes, so that no more of them is parsed than is allowed.
    const parsed = isInBody ? chunk.length : Math.min(chunk.length, MAXIMUM_FRAMING_BYTES + 1 - this._framingBytes)
    this._hasMore = parsed < chunk.length
    this._parse(ownedSlice(chunk, 0, parsed))
    if (!this._hasMore) return
    this._hasMore = false
    this._parse(ownedSlice(chunk, parsed, chunk.length))
  }

  private _parse (chunk: OwnedBytes): void {
    this._framingBytes += chunk.length
    const result: unknown = this._parser.execute(chunk)
    this._reportBody()
    if (result instanceof Error) throw new MalformedAnswerError(result.message)
    if (this._framingBytes > MAXIMUM_FRAMING_BYTES) {
      throw new MalformedAnswerError(`${this._framingBytes} bytes without a complete head or body data`)
    }
  }

  /** Handles an orderly close by the replica: it ends an answer without a length; throws `MalformedAnswerError` within others. */
  finish (): void {
    const result: unknown = this._parser.finish()
    if (result instanceof Error) throw new MalformedAnswerError(result.message)
  }

  /** Reports body data of the current write as one piece, however many chunks it came in. */
  private _reportBody (): void {
    const body = this._body
    this._body = undefined
    if (body !== undefined) this._listener.onBody(body.take())
  }

  private _onHeadersComplete (info: ParsedHead): number {
    if (!HEADER_TEXT.test(info.statusMessage)) throw new MalformedAnswerError('the reason phrase has an invalid character')
    if (info.statusCode === SWITCHING_PROTOCOLS) throw new MalformedAnswerError('switching protocols is not supported')
    if (info.statusCode < FIRST_FINAL_STATUS) {
      checkInterim(info.headers)
      this._isInterim = true
      return SKIP_BODY
    }
    const headers = combineHeaders(info.headers)
    checkFraming(headers, info.versionMinor)
    this._isInsideAnswer = true
    this._framingBytes = 0
    const isWithoutBody = this.hasNoBody || info.statusCode === NO_CONTENT || info.statusCode === NOT_MODIFIED
    const isFramed = isWithoutBody || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
    this._listener.onHead({
      status: info.statusCode,
      statusText: info.statusMessage,
      rawHeaders: info.headers,
      headers,
      isKeptAlive: info.shouldKeepAlive && isFramed,
      endsWithConnection: !isFramed
    })
    return isWithoutBody ? SKIP_BODY : 0
  }
}

/** The internals of http-parser-js that say how far the bytes of a write are parsed. */
interface ReadPosition {
  offset: number
  end: number
}

/** The internals of http-parser-js that parse the first line of a chunk. */
interface ChunkHeadParser {
  BODY_CHUNKHEAD: () => void
  consumeLine: () => string | undefined
  body_bytes: number
  state: string
}

/** A size in hexadecimal digits, then optional extensions. */
const CHUNK_SIZE = /^([0-9a-f]{1,8})[ \t]*(;|$)/i

/**
 * Rejects chunk sizes that are not hexadecimal numbers. The parser takes such a size for that of the last chunk, so that a
 * corrupted answer would look complete.
 */
function checkChunkSizes (parser: HTTPParserJS): void {
  const reader = parser as unknown as ChunkHeadParser
  reader.BODY_CHUNKHEAD = () => {
    const line = reader.consumeLine()
    if (line === undefined) return
    const size = CHUNK_SIZE.exec(line)?.[1]
    if (size === undefined) throw new MalformedAnswerError('a chunk size is invalid')
    reader.body_bytes = parseInt(size, 16)
    reader.state = reader.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
  }
}

/** The internals of http-parser-js that parse the data of a chunk. */
interface ChunkDataParser {
  BODY_CHUNK: () => void
  /** Lets errors of a handler pass; what it returns is called with the handler's result. */
  userCall: () => (result: unknown) => unknown
  chunk: Buffer
  offset: number
  end: number
  body_bytes: number
  state: string
}

/** Has the data of a chunk reported as a range of the bytes that were read. The parser makes a slice for each chunk. */
function passChunksUnsliced (parser: HTTPParserJS): void {
  const reader = parser as unknown as ChunkDataParser
  const handlers = parser as unknown as Record<number, (chunk: Buffer, offset: number, length: number) => void>
  reader.BODY_CHUNK = () => {
    const { chunk, offset, end } = reader
    const length = Math.min(end - offset, reader.body_bytes)
    reader.userCall()(handlers[HTTPParser.kOnBody]?.(chunk, offset, length))
    reader.offset += length
    reader.body_bytes -= length
    if (reader.body_bytes === 0) reader.state = 'BODY_CHUNKEMPTYLINE'
  }
}

/** The internals of http-parser-js that read a line and parse it as far as the state says. */
interface LineReader {
  consumeLine: () => string | undefined
  state: string
}

/** RFC 9110, 15: no status is below 100 or above 599. */
const STATUS_LINE = /^HTTP\/1\.\d [1-5]\d{2}(?: .*)?$/
/** The beginning of a status line, wherever it is in a line. */
const STATUS_LINE_START = /HTTP\/\d\.\d \d{3}(?!\S)/
// A head that was cut within a line would otherwise take in the head and the body of the answer that follows.
const CUT_HEAD = 'a status line within a head: the answer before it was cut'

/** Rejects status lines of other versions, with no valid code or no space after it, or that hold another one. */
function checkStatusLines (parser: HTTPParserJS): void {
  const reader = parser as unknown as LineReader
  const consumeLine = reader.consumeLine.bind(parser)
  reader.consumeLine = () => {
    const isStatusLine = reader.state === 'RESPONSE_LINE'
    const line = consumeLine()
    if (!isStatusLine || line === undefined || line === '') return line
    if (!STATUS_LINE.test(line)) throw new MalformedAnswerError('the status line is invalid')
    if (STATUS_LINE_START.test(line.slice(1))) throw new MalformedAnswerError(CUT_HEAD)
    return line
  }
}

/** The internals of http-parser-js that parse a line of the headers or trailers; fields are names and values in turn. */
interface HeaderLineParser {
  parseHeader: (line: string, fields: string[]) => void
}

/** The name of a header and its colon. */
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~0-9a-z]+:/i
const CONTINUATION = /^[ \t]/
/** Tabs, and visible characters and spaces of ASCII or beyond. */
const HEADER_TEXT = /^[\t\x20-\x7e\x80-\xff]*$/

/** Rejects header lines that the parser would skip, or that no answer to a caller may have. */
function checkHeaderLines (parser: HTTPParserJS): void {
  const reader = parser as unknown as HeaderLineParser
  const parseHeader = reader.parseHeader.bind(parser)
  reader.parseHeader = (line, fields) => {
    const isContinuation = fields.length > 0 && CONTINUATION.test(line)
    if (!isContinuation && !HEADER_NAME.test(line)) throw new MalformedAnswerError('a header line has no valid name')
    if (!HEADER_TEXT.test(line)) throw new MalformedAnswerError('a header has an invalid character')
    if (STATUS_LINE_START.test(line)) throw new MalformedAnswerError(CUT_HEAD)
    parseHeader(line, fields)
  }
}

interface ParsedHead {
  versionMinor: number
  statusCode: number
  statusMessage: string
  headers: string[]
  shouldKeepAlive: boolean
}

function combineHeaders (rawHeaders: readonly string[]): Record<string, string> {
  const fields: Record<string, string> = {}
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase()
    const value = rawHeaders[index + 1] as string
    fields[name] = fields[name] === undefined ? value : `${fields[name]}, ${value}`
  }
  return fields
}

/** Rejects interim answers that state a body, whose bytes would be read as the final answer (RFC 9110, 8.6). */
function checkInterim (rawHeaders: readonly string[]): void {
  const { 'content-length': length = '0', 'transfer-encoding': encoding } = combineHeaders(rawHeaders)
  if (encoding !== undefined || !/^0+$/.test(length)) throw new MalformedAnswerError('an interim answer states a body')
}

/** Rejects ambiguous framing, which the parser accepts and another HTTP implementation might read differently. */
function checkFraming (headers: HeaderFields, minorVersion: number): void {
  const length = headers['content-length']
  const encoding = headers['transfer-encoding']
  if (length !== undefined && (encoding !== undefined || !/^\d+$/.test(String(length)))) {
    throw new MalformedAnswerError('Content-Length is invalid or conflicts with Transfer-Encoding')
  }
  // RFC 9112, 6.1: HTTP/1.0 has no transfer encodings, so that the framing of such an answer is faulty.
  if (encoding !== undefined && minorVersion === 0) throw new MalformedAnswerError('a transfer encoding in an answer of HTTP/1.0')
  if (encoding !== undefined && String(encoding).toLowerCase() !== 'chunked') {
    throw new MalformedAnswerError(`transfer encoding ${String(encoding)} is not supported`)
  }
}
