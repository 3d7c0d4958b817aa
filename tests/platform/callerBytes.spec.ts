/** Requests that HTTP parsers could interpret in different ways, sent as raw bytes on a connection. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, sendBytes, type GatewayAddresses, type ReplicaStandIn } from './platformFleet.js'

let fleet: PlatformFleet
let replica: ReplicaStandIn
let front: string

test.before(async () => {
  fleet = new PlatformFleet()
  await fleet.start(1)
  fleet.store.put('op/config', configurationOf(1))
  replica = await fleet.addReplica('replica-1', 'desk')
  front = fleet.gateways[0]?.addresses.front ?? ''
  await waitUntil(async () => (await call(front, '/safe/x')).status === 200)
})
test.before.each(() => { replica.received.splice(0) })
test.after(async () => { await fleet.stop() })

const CALLER_HEADERS = 'Api-Key: key-a\r\nX-Wasabihead-Attempt-Id: bytes\r\n'
const HOST = 'Host: front.example\r\n'
const CLOSE = 'Connection: close\r\n'

/** `statuses`: of all answers on the connection; `sent`: requests that reach the replica; `absent`: a header that must not. */
const cases: { title: string, bytes: string, statuses: number[], sent: number, absent?: string }[] = [
  { title: 'two Host fields', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}Host: other.example\r\n${CALLER_HEADERS}${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'the same Host field twice', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}${HOST}${CALLER_HEADERS}${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'no Host field', bytes: `GET /safe/x HTTP/1.1\r\n${CALLER_HEADERS}${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'two lengths', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc`, statuses: [400], sent: 0 },
  { title: 'a length beside chunks', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, statuses: [400], sent: 0 },
  { title: 'an unknown transfer encoding', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Transfer-Encoding: gzip\r\n\r\nabc`, statuses: [400], sent: 0 },
  { title: 'a chunk whose size is no number', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n`, statuses: [400], sent: 0 },
  { title: 'a folded header', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}X-Long: a\r\n b\r\n${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'a space before the colon', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}X-Long : a\r\n${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'a tab before the colon', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}X-Long\t: a\r\n${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'a space in a name', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}X Long: a\r\n${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'a length with a space before the colon, whose body looks like a request', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Content-Length : 90\r\n\r\nGET /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}\r\n`, statuses: [400], sent: 0 },
  { title: 'two carriage returns and a line feed for the end of the head', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}\r\r\nGET /safe/y HTTP/1.1\r\n${HOST}${CALLER_HEADERS}\r\n`, statuses: [400], sent: 0 },
  { title: 'a carriage return and another byte for the end of the head', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}\rXGET /safe/y HTTP/1.1\r\n${HOST}${CALLER_HEADERS}\r\n`, statuses: [400], sent: 0 },
  { title: 'a line feed alone', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}X-Long: a\n${CALLER_HEADERS}${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'a carriage return in a value', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}X-Long: a\rb\r\n${CALLER_HEADERS}${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'NUL in a value', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}X-Long: a\0b\r\n${CALLER_HEADERS}${CLOSE}\r\n`, statuses: [400], sent: 0 },
  { title: 'a chunk size that ends with a line feed', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Transfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n`, statuses: [400], sent: 0 },
  { title: 'a request and one that is malformed at once', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Content-Length: 2\r\n\r\nabGET /safe/x HTTP/1.1\r\n${HOST}X Long: a\r\n${CALLER_HEADERS}\r\n`, statuses: [200, 400], sent: 1 },
  { title: 'a request and bytes that are none at once', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Content-Length: 2\r\n\r\nabcd\0\r\n\r\n`, statuses: [200, 400], sent: 1 },
  { title: 'the last request of a connection and bytes after it', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}${CLOSE}Content-Length: 2\r\n\r\nabcd`, statuses: [200], sent: 1 },
  { title: 'an upgrade and a request at once', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Connection: upgrade\r\nUpgrade: websocket\r\n\r\nGET /safe/y HTTP/1.1\r\n${HOST}${CALLER_HEADERS}${CLOSE}\r\n`, statuses: [200, 200], sent: 2 },
  { title: 'two requests at once', bytes: `GET /safe/1 HTTP/1.1\r\n${HOST}${CALLER_HEADERS}\r\nGET /safe/2 HTTP/1.1\r\n${HOST}${CALLER_HEADERS}${CLOSE}\r\n`, statuses: [200, 200], sent: 2 },
  { title: 'HEAD', bytes: `HEAD /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}${CLOSE}\r\n`, statuses: [200], sent: 1 },
  { title: 'an expectation', bytes: `POST /unsafe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}${CLOSE}Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab`, statuses: [100, 200], sent: 1, absent: 'expect' },
  { title: 'an upgrade', bytes: `GET /safe/x HTTP/1.1\r\n${HOST}${CALLER_HEADERS}Connection: upgrade, close\r\nUpgrade: websocket\r\n\r\n`, statuses: [200], sent: 1, absent: 'upgrade' }
]
for (const { title, bytes, statuses, sent, absent } of cases) {
  test(`should answer ${statuses.join(' and ')} to ${title}`, async () => {
    const text = await sendBytes(front, bytes)
    const seen = [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match => Number(match[1]))
    assert.equal([seen, replica.received.length], [statuses, sent], text)
    if (absent !== undefined) assert.is(replica.received[0]?.headers[absent], undefined)
  })
}

const boundaries: { address: keyof GatewayAddresses, path: string }[] = [
  { address: 'ready', path: '/v1/ready' },
  { address: 'directory', path: '/v1/resolve' },
  { address: 'control', path: '/v1/listing' },
  { address: 'heartbeats', path: '/safe/x' }
]
for (const { address, path } of boundaries) {
  for (const [title, line] of [['a space before a colon', 'X-Long : a\r\n'], ['an end of the head that is none', '\rX']] as const) {
    test(`should answer 400 to ${title}, at the address for ${address}`, async () => {
      const bytes = `GET ${path} HTTP/1.1\r\n${HOST}${line}\r\nGET ${path} HTTP/1.1\r\n${HOST}${CLOSE}\r\n`
      const text = await sendBytes(fleet.gateways[0]?.addresses[address] ?? '', bytes)
      assert.equal([...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match => Number(match[1])), [400], text)
    })
  }
}

test.run()
