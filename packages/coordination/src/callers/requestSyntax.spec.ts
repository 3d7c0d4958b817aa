import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { RequestSyntax } from './index.js'

const HOST = 'Host: a\r\n'
const GET = `GET / HTTP/1.1\r\n${HOST}\r\n`
const POST = `POST /x HTTP/1.1\r\n${HOST}`

interface Accepted {
  accepted: string[]
  isInvalid: boolean
  /** What a parser is given. */
  passed: string
}

/** Accepts text in pieces of a size; returns the parts that were accepted, each up to the end of a request at the latest. */
function accept (text: string, size = text.length): Accepted {
  const syntax = new RequestSyntax()
  const accepted = ['']
  let passed = ''
  const bytes = Buffer.from(text, 'latin1')
  for (let start = 0; start < bytes.length && !syntax.isInvalid; start += size) {
    const piece = bytes.subarray(start, start + size)
    for (let offset = 0; offset < piece.length && !syntax.isInvalid;) {
      const { end, pieces } = syntax.accept(piece, offset)
      passed += Buffer.concat(pieces).toString('latin1')
      accepted[accepted.length - 1] += piece.toString('latin1', offset, end)
      if (end < piece.length) accepted.push('')
      offset = end
    }
  }
  return { accepted: accepted.filter(part => part !== ''), isInvalid: syntax.isInvalid, passed }
}

const valid: { title: string, requests: string[] }[] = [
  { title: 'a request', requests: [GET] },
  { title: 'requests one after another', requests: [GET, `${POST}Content-Length: 3\r\n\r\nabc`, GET] },
  { title: 'a body with bytes that look like a request', requests: [`${POST}Content-Length: ${GET.length}\r\n\r\n${GET}`, GET] },
  { title: 'a length of zero', requests: [`${POST}Content-Length: 0\r\n\r\n`, GET] },
  { title: 'chunks with extensions and trailers', requests: [`${POST}Transfer-Encoding: chunked\r\n\r\n3;a="b"\r\na\rb\r\n00\r\nX-Sum: 1\r\n\r\n`, GET] },
  { title: 'an empty line before a request', requests: [`\r\n${GET}`] },
  { title: 'a header without a value, and one in UTF-8', requests: [`GET /\xc3\xa9 HTTP/1.1\r\n${HOST}X-A:\r\nX-B: \xc3\xa9\tb\r\n\r\n`] },
  { title: 'HTTP/1.0 without a host', requests: ['GET / HTTP/1.0\r\n\r\n'] }
]
for (const { title, requests } of valid) {
  test(`should accept ${title}, also byte by byte`, () => {
    const whole = accept(requests.join(''))
    assert.equal([whole.accepted, whole.isInvalid], [requests, false])
    const bytes = accept(requests.join(''), 1)
    assert.equal([bytes.accepted.join(''), bytes.isInvalid], [requests.join(''), false])
  })
}

const extensions = [';a=b', ';a', ';a="d e"', ' ;a=b', '; a=b', ';a =b', ';a= b', ';a=b;c=d', ';a="b\\"c"', ';a;b=";"']
for (const extension of extensions) {
  // Guards against proper requests that are refused, since the parser of Node.js does not read all extensions.
  test(`should pass on the size of a chunk without its extension ${extension}, in pieces of any size`, () => {
    const head = `${POST}Transfer-Encoding: chunked\r\n\r\n`
    const sent = `${GET}${head}3${extension}\r\na;b\r\n1\r\n;\r\n0${extension}\r\nX-Sum: 1;2\r\n\r\n${GET}`
    for (let size = 1; size <= sent.length; size++) {
      assert.is(accept(sent, size).passed, `${GET}${head}3\r\na;b\r\n1\r\n;\r\n0\r\nX-Sum: 1;2\r\n\r\n${GET}`, `pieces of ${size}`)
    }
  })
}

// Guards against proper requests that are refused on x86-64, where the parser of Node.js reads no bytes beyond ASCII in a target.
test('should pass on a placeholder for each byte beyond ASCII in a target, and keep the target, in pieces of any size', () => {
  const sent = `GET /\xc3\xa9?\xff HTTP/1.1\r\n${HOST}X-A: \xc3\r\n\r\n`
  for (let size = 1; size <= sent.length; size++) {
    assert.is(accept(sent, size).passed, `GET /__?_ HTTP/1.1\r\n${HOST}X-A: \xc3\r\n\r\n`, `pieces of ${size}`)
  }
  const syntax = new RequestSyntax()
  syntax.accept(Buffer.from(sent, 'latin1'), 0)
  assert.is(syntax.target, '/\xc3\xa9?\xff')
})

test('should pass on nothing of a line with a size that turns out to be invalid', () => {
  const head = `${POST}Transfer-Encoding: chunked\r\n\r\n`
  for (const size of [1, 200]) assert.is(accept(`${head}3;a=\0b\r\nabc\r\n0\r\n\r\n`, size).passed, head)
})

const invalid: { title: string, bytes: string }[] = [
  { title: 'a space before the colon', bytes: `GET / HTTP/1.1\r\n${HOST}X-A : b\r\n\r\n` },
  { title: 'a tab before the colon', bytes: `GET / HTTP/1.1\r\n${HOST}X-A\t: b\r\n\r\n` },
  { title: 'a space in a name', bytes: `GET / HTTP/1.1\r\n${HOST}X A: b\r\n\r\n` },
  { title: 'an empty name', bytes: `GET / HTTP/1.1\r\n${HOST}: b\r\n\r\n` },
  { title: 'a folded line', bytes: `GET / HTTP/1.1\r\n${HOST}X-A: b\r\n c\r\n\r\n` },
  { title: 'a head that ends with two carriage returns and another byte', bytes: `GET / HTTP/1.1\r\n${HOST}\r\r\n` },
  { title: 'a carriage return instead of the last line', bytes: `GET / HTTP/1.1\r\n${HOST}\rX` },
  { title: 'a line feed alone', bytes: `GET / HTTP/1.1\n${HOST}\r\n` },
  { title: 'a head that ends with a line feed alone', bytes: `GET / HTTP/1.1\r\n${HOST}\n` },
  { title: 'a carriage return in a value', bytes: `GET / HTTP/1.1\r\n${HOST}X-A: b\rc\r\n\r\n` },
  { title: 'NUL in a value', bytes: `GET / HTTP/1.1\r\n${HOST}X-A: b\0\r\n\r\n` },
  { title: 'NUL in the target', bytes: `GET /\0 HTTP/1.1\r\n${HOST}\r\n` },
  { title: 'a space in the target', bytes: `GET /a b HTTP/1.1\r\n${HOST}\r\n` },
  { title: 'another version', bytes: `GET / HTTP/2.0\r\n${HOST}\r\n` },
  { title: 'no host', bytes: 'GET / HTTP/1.1\r\n\r\n' },
  { title: 'two hosts', bytes: `GET / HTTP/1.1\r\n${HOST}${HOST}\r\n` },
  { title: 'two lengths', bytes: `${POST}Content-Length: 1\r\nContent-Length: 1\r\n\r\na` },
  { title: 'a list of lengths', bytes: `${POST}Content-Length: 1, 1\r\n\r\na` },
  { title: 'a negative length', bytes: `${POST}Content-Length: -1\r\n\r\n` },
  { title: 'an empty length', bytes: `${POST}Content-Length:\r\n\r\n` },
  { title: 'a length beyond what numbers hold', bytes: `${POST}Content-Length: 99999999999999999999\r\n\r\n` },
  { title: 'a length beside chunks', bytes: `${POST}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n` },
  { title: 'another encoding', bytes: `${POST}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n` },
  { title: 'chunks in HTTP/1.0', bytes: `POST / HTTP/1.0\r\n${HOST}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n` },
  { title: 'a chunk size that is no number', bytes: `${POST}Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n` },
  { title: 'a chunk size with a space', bytes: `${POST}Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n` },
  { title: 'a chunk size that ends with a line feed', bytes: `${POST}Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n` },
  { title: 'a chunk that is longer than its size', bytes: `${POST}Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n` },
  { title: 'a trailer without a colon', bytes: `${POST}Transfer-Encoding: chunked\r\n\r\n0\r\nx\r\n\r\n` },
  { title: 'two empty lines before a request', bytes: `\r\n\r\n${GET}` },
  { title: 'a line without an end', bytes: `GET /${'a'.repeat(270_000)}` }
]
for (const { title, bytes } of invalid) {
  test(`should reject ${title}, after a request before it, also byte by byte`, () => {
    for (const size of [bytes.length + GET.length, 1]) {
      const { accepted, isInvalid } = accept(`${GET}${bytes}${GET}`, size)
      const text = accepted.join('')
      assert.ok(isInvalid)
      assert.is(text.slice(0, GET.length), GET)
      assert.ok(text.length < GET.length + bytes.length, 'all bytes of the invalid request were accepted')
    }
  })
}

test.run()
