/** Reads answers from the bytes of one connection, one after the other. */
import { HTTPParser, type HTTPParserJS } from 'http-parser-js'
import type { HeaderFields } from '../protocol/index.js'
import { partOf, type OwnedBytes } from './ownedBytes.js'

/** The head of an answer. */
export interface AnswerHead {
  status: number
  statusText: string
  /** Names and values in turn, as they came. */
  rawHeaders: string[]
  /** Lower-case names; a repeated header's values are joined by commas. */
  headers: HeaderFields
  /** Whether the connection may serve another request after this answer. */
  isKeptAlive: boolean
  /** Whether the answer ends with its connection. */
  endsWithConnection: boolean
}

/** Takes what the parser finds. */
export interface AnswerListener {
  onHead (head: AnswerHead): void
  onBody (chunk: OwnedBytes): void
  onEnd (): void
}

/** The bytes are no answer in the protocol. */
export class MalformedAnswerError extends Error {}

const INFORMATION_END = 200
const SWITCHING_PROTOCOLS = 101
/** Bytes in which neither a head ends nor a body goes on: a head, chunk extensions, trailers, interim answers. */
const MAXIMUM_FRAMING_BYTES = 131_072
const NO_CONTENT = 204
const NOT_MODIFIED = 304
const SKIP_BODY = 1

/** Parses a connection's bytes. `hasNoBody` tells that the next answer is to a HEAD request. */
export class AnswerParser {
  private readonly _parser: HTTPParserJS
  private _isInsideAnswer = false
  private _isInterim = false
  private _framingBytes = 0
  hasNoBody = false

  constructor (private readonly _listener: AnswerListener) {
    this._parser = new HTTPParser(HTTPParser.RESPONSE)
    checkChunkSizes(this._parser)
    const handlers = this._parser as unknown as Record<number, unknown>
    handlers[HTTPParser.kOnHeadersComplete] = (info: ParsedHead) => this._takeHead(info)
    handlers[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number) => {
      this._framingBytes = 0
      // The parser gives parts of the bytes that were written to it, which are owned.
      this._listener.onBody(partOf(chunk as OwnedBytes, offset, offset + length))
    }
    handlers[HTTPParser.kOnMessageComplete] = () => {
      if (this._isInterim) {
        this._isInterim = false
        return
      }
      this._isInsideAnswer = false
      this._framingBytes = 0
      this._listener.onEnd()
    }
  }

  /** Whether the head of an answer was read and its end was not. */
  get isInsideAnswer (): boolean {
    return this._isInsideAnswer
  }

  /** Takes bytes; throws `MalformedAnswerError` where they are no answer, or bring none further for long. */
  write (chunk: OwnedBytes): void {
    this._framingBytes += chunk.length
    const result: unknown = this._parser.execute(chunk)
    if (result instanceof Error) throw new MalformedAnswerError(result.message)
    if (this._framingBytes > MAXIMUM_FRAMING_BYTES) {
      throw new MalformedAnswerError(`${this._framingBytes} bytes without a head or a piece of a body`)
    }
  }

  /** The other end closed in order: ends an answer that has no length. */
  finish (): void {
    const result: unknown = this._parser.finish()
    if (result instanceof Error) throw new MalformedAnswerError(result.message)
  }

  private _takeHead (info: ParsedHead): number {
    if (info.statusCode === SWITCHING_PROTOCOLS) throw new MalformedAnswerError('the protocol cannot be switched')
    if (info.statusCode < INFORMATION_END) {
      this._isInterim = true
      return SKIP_BODY
    }
    const headers = fieldsOf(info.headers)
    checkFraming(headers)
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

/** The steps of the parser that read a chunk's first line. */
interface ChunkReader {
  BODY_CHUNKHEAD: () => void
  consumeLine: () => string | undefined
  body_bytes: number
  state: string
}

/** A size in hexadecimal digits, extensions after it. */
const CHUNK_SIZE = /^([0-9a-f]{1,8})[ \t]*(;|$)/i

/** The parser takes a size that is no number for the last chunk's, so that a spoilt answer would look whole. */
function checkChunkSizes (parser: HTTPParserJS): void {
  const reader = parser as unknown as ChunkReader
  reader.BODY_CHUNKHEAD = () => {
    const line = reader.consumeLine()
    if (line === undefined) return
    const size = CHUNK_SIZE.exec(line)?.[1]
    if (size === undefined) throw new MalformedAnswerError('the size of a chunk is no number')
    reader.body_bytes = parseInt(size, 16)
    reader.state = reader.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
  }
}

interface ParsedHead {
  statusCode: number
  statusMessage: string
  headers: string[]
  shouldKeepAlive: boolean
}

function fieldsOf (rawHeaders: readonly string[]): Record<string, string> {
  const fields: Record<string, string> = {}
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase()
    const value = rawHeaders[index + 1] as string
    fields[name] = fields[name] === undefined ? value : `${fields[name]}, ${value}`
  }
  return fields
}

/** The parser accepts framing that two readers could understand differently; such an answer is refused here. */
function checkFraming (headers: HeaderFields): void {
  const length = headers['content-length']
  const encoding = headers['transfer-encoding']
  if (length !== undefined && (encoding !== undefined || !/^\d+$/.test(String(length)))) {
    throw new MalformedAnswerError('the length of the answer is ambiguous')
  }
  if (encoding !== undefined && String(encoding).toLowerCase() !== 'chunked') {
    throw new MalformedAnswerError(`transfer encoding ${String(encoding)} is not known`)
  }
}
