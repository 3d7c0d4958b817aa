/** Property tests of the parser: answers split and corrupted at random. */
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EventSplitter } from '../requests/eventSplitter.js'
import { AnswerParser, MalformedAnswerError } from './answerParser.js'
import { ownedCopy } from './ownedBytes.js'

/** To run more cases: WASABIHEAD_FUZZ_RUNS=200000 node packages/gateway/dist/channels/answerParser.spec.js */
const RUNS = Number(process.env.WASABIHEAD_FUZZ_RUNS ?? 500)
const SEED = 20261204

interface Read {
  heads: number
  ends: number
  body: string
  isMalformed: boolean
}

/** Parses pieces up to a malformed one. Any other error fails the property. */
function read (pieces: readonly Buffer[]): Read {
  const seen: Read = { heads: 0, ends: 0, body: '', isMalformed: false }
  const parser = new AnswerParser({
    onHead: () => { seen.heads++ },
    onBody: chunk => { seen.body += chunk.toString('latin1') },
    onEnd: () => { seen.ends++ }
  })
  try {
    for (const piece of pieces) parser.write(ownedCopy(piece))
  } catch (error) {
    if (!(error instanceof MalformedAnswerError)) throw error
    seen.isMalformed = true
  }
  return seen
}

function splitAt (bytes: Buffer, places: readonly number[]): Buffer[] {
  const ends = [...new Set(places.map(place => place % (bytes.length + 1)))].sort((left, right) => left - right)
  return [...ends, bytes.length].map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end))
}

const chunks = fc.array(fc.string({ minLength: 1, maxLength: 40, unit: 'grapheme-ascii' }), { maxLength: 5 })
interface Answer {
  status: number
  chunks: string[]
  isChunked: boolean
  /** Number of interim answers before the final one. */
  interim: number
}

const answer: fc.Arbitrary<Answer> = fc.record({
  status: fc.constantFrom(200, 201, 404, 500), chunks, isChunked: fc.boolean(), interim: fc.integer({ min: 0, max: 2 })
})
const places = fc.array(fc.nat(), { maxLength: 8 })

function bytesOf ({ status, chunks: parts, isChunked, interim }: Answer): Buffer {
  const before = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(interim)
  const framed = isChunked
    ? `Transfer-Encoding: chunked\r\n\r\n${parts.map(part => `${part.length.toString(16)};a=b\r\n${part}\r\n`).join('')}0\r\nX: y\r\n\r\n`
    : `Content-Length: ${parts.join('').length}\r\n\r\n${parts.join('')}`
  return Buffer.from(`${before}HTTP/1.1 ${status} Status\r\n${framed}`, 'latin1')
}

test('should parse an answer to the same result wherever it is split', () => {
  fc.assert(fc.property(answer, places, (whole, cuts) => {
    assert.equal(read(splitAt(bytesOf(whole), cuts)), { heads: 1, ends: 1, body: whole.chunks.join(''), isMalformed: false })
  }), { seed: SEED, numRuns: RUNS })
})

test('should never complete a truncated chunked answer, and throw no other error than MalformedAnswerError', () => {
  const corruption = fc.record({ place: fc.nat(), byte: fc.integer({ min: 0, max: 255 }), length: fc.nat({ max: 3 }) })
  fc.assert(fc.property(answer, places, fc.array(corruption, { maxLength: 3 }), (whole, cuts, changes) => {
    const bytes = Buffer.from(bytesOf(whole))
    for (const { place, byte, length } of changes) {
      const begin = place % bytes.length
      bytes.fill(byte, begin, Math.min(bytes.length, begin + length))
    }
    const { heads, ends } = read(splitAt(bytes, cuts))
    assert.ok(ends <= heads)
  }), { seed: SEED, numRuns: RUNS })
  fc.assert(fc.property(answer, fc.nat(), (whole, place) => {
    const bytes = bytesOf({ ...whole, isChunked: true })
    assert.is(read([bytes.subarray(0, place % bytes.length)]).ends, 0)
  }), { seed: SEED, numRuns: RUNS })
})

const WHOLE = 'HTTP/1.1 200 OK\r\nX-Seal: a\r\nContent-Length: 2\r\n\r\nok'
const spoilt: { title: string, bytes: string }[] = [
  { title: 'a control character in the reason phrase', bytes: WHOLE.replace('OK', '\x01K') },
  { title: 'NUL in the reason phrase', bytes: WHOLE.replace('OK', 'O\0') },
  { title: 'a control character in the reason phrase of an interim answer', bytes: `HTTP/1.1 103 \x01\r\n\r\n${WHOLE}` },
  { title: 'a control character in a value', bytes: WHOLE.replace('a\r', 'a\x01\r') },
  { title: 'NUL in a value', bytes: WHOLE.replace('a\r', '\0\r') },
  { title: 'DEL in a value', bytes: WHOLE.replace('a\r', '\x7f\r') },
  { title: 'CR in a value', bytes: WHOLE.replace('a\r', 'a\rb\r') },
  { title: 'a space before the colon', bytes: WHOLE.replace('X-Seal', 'X-Seal ') },
  { title: 'a space in a name', bytes: WHOLE.replace('X-Seal', 'X Seal') },
  { title: 'a byte beyond ASCII in a name', bytes: WHOLE.replace('X-Seal', 'X-S\xe9al') },
  { title: 'no name', bytes: WHOLE.replace('X-Seal', '') },
  { title: 'a second status line', bytes: WHOLE.replace('X-Seal: a', 'HTTP/1.1 503 Busy') },
  // Taken for interim answers, so that the bytes of their body were read as the replica's answer.
  { title: 'status 000', bytes: WHOLE.replace('200', '000') },
  { title: 'status 000 before it', bytes: `HTTP/1.1 000 OK\r\n\r\n${WHOLE}` },
  { title: 'status 099 before it', bytes: `HTTP/1.1 099 OK\r\n\r\n${WHOLE}` },
  { title: 'status 600', bytes: WHOLE.replace('200', '600') },
  { title: 'status 999', bytes: WHOLE.replace('200', '999') },
  { title: 'a status of two digits', bytes: WHOLE.replace('200', '20') },
  { title: 'a status of four digits', bytes: WHOLE.replace('200', '2000') },
  { title: 'an interim answer with a length before it', bytes: `HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n${WHOLE}` },
  { title: 'an interim answer in chunks before it', bytes: `HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n${WHOLE}` },
  { title: 'a continuation of no header', bytes: WHOLE.replace('X-Seal', ' X-Seal') },
  { title: 'a trailer without a name', bytes: WHOLE.replace('Content-Length: 2\r\n\r\nok', 'Transfer-Encoding: chunked\r\n\r\n0\r\nodd\r\n\r\n') }
]
for (const { title, bytes } of spoilt) {
  test(`should reject an answer with ${title}`, () => {
    const { ends, isMalformed } = read([Buffer.from(bytes, 'latin1')])
    assert.equal([ends, isMalformed], [0, true])
  })
}

test('should report header values beyond ASCII byte by byte', () => {
  const values: string[] = []
  const parser = new AnswerParser({ onHead: head => { values.push(String(head.headers['x-seal'])) }, onBody: () => {}, onEnd: () => {} })
  parser.write(ownedCopy(Buffer.from(WHOLE.replace('a\r', 'caf\u00e9 \u2013\r'))))
  assert.is(Buffer.from(values[0] ?? '', 'latin1').toString(), 'caf\u00e9 \u2013')
})

// Guards against a buffer for each chunk of an answer, and against reads of 64 KB of which a few bytes are kept.
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
const READ_BYTES = 65_536
for (const { title, chunk } of [
  { title: 'chunks of one byte', chunk: '1\r\na\r\n' },
  { title: 'chunks with short extensions', chunk: '1;x=y\r\na\r\n' },
  { title: 'chunks with long extensions', chunk: `1;${'x=y;'.repeat(2_000)}\r\na\r\n` },
  { title: 'large chunks', chunk: `2000\r\n${'a'.repeat(8_192)}\r\n` },
  { title: 'one chunk', chunk: `f000\r\n${'a'.repeat(0xf000)}\r\n` }
]) {
  test(`should report ${title} that came in one read as few pieces that retain little else`, () => {
    const pieces: Buffer[] = []
    const parser = new AnswerParser({ onHead: () => {}, onBody: piece => { pieces.push(piece) }, onEnd: () => {} })
    parser.write(ownedCopy(Buffer.from(CHUNKED_HEAD)))
    const count = Math.floor(READ_BYTES / chunk.length)
    parser.write(ownedCopy(Buffer.from(chunk.repeat(count))))
    assert.ok(pieces.length <= 17, `${pieces.length} pieces`)
    assert.is(Buffer.concat(pieces).toString(), 'a'.repeat(count * (chunk.split('a').length - 1)))
    for (const { buffer, length } of pieces) assert.ok(buffer.byteLength <= Math.max(2 * length, Buffer.poolSize), `${buffer.byteLength} bytes`)
  })
}

test('should report each of a few chunks that came in one read as a piece', () => {
  const pieces: string[] = []
  const parser = new AnswerParser({ onHead: () => {}, onBody: piece => { pieces.push(piece.toString()) }, onEnd: () => {} })
  parser.write(ownedCopy(Buffer.from(`${CHUNKED_HEAD}8\r\nabcdefgh\r\n7\r\nijklmno\r\n0\r\n\r\n`)))
  assert.equal(pieces, ['abcdefgh', 'ijklmno'])
})

test('should forward the bytes of complete events only, in order, wherever they are split', () => {
  const line = fc.string({ maxLength: 20, unit: 'grapheme-ascii' }).map(text => text.replaceAll(/[\r\n]/g, ''))
  const lines = fc.array(line.map(text => `data: ${text}`), { minLength: 1, maxLength: 4 })
  const events = fc.array(fc.record({ lines, ending: fc.constantFrom('\n', '\r\n') }))
  fc.assert(fc.property(events, line, places, (list, rest, cuts) => {
    const whole = list.map(({ lines: texts, ending }) => `${texts.join(ending)}${ending}${ending}`)
    const splitter = new EventSplitter()
    const passed: string[] = []
    for (const piece of splitAt(Buffer.from(whole.join('') + rest, 'latin1'), cuts)) {
      const taken = splitter.push(ownedCopy(piece))?.bytes.toString('latin1')
      if (taken !== undefined) passed.push(taken)
    }
    assert.is(passed.join(''), whole.join(''))
    assert.ok(passed.every(text => /\n\r?\n$/.test(text)))
    assert.is(splitter.takeRest().toString('latin1'), rest)
  }), { seed: SEED, numRuns: RUNS })
})

test.run()
