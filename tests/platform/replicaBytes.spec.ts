/** Raw answers of replicas through a gateway process: callers get only their own bytes, endless answers use bounded memory. */
import net, { type AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, failureLines, PlatformFleet, sendBytes, type GatewayProcess } from './platformFleet.js'

const SERVICE = 'desk'
const PIECE_GAP_MS = 100
const MEGABYTE = 1_048_576
/** Target for the peak memory that one endless answer may add to that of the process at rest. */
const MEMORY_FOR_ONE = 10 * MEGABYTE
const MEMORY_FOR_FORTY = 40 * MEGABYTE
/** Routes time out after 2 s, so an earlier answer shows that the gateway abandoned the endless sender before that. */
const ROUTE_TIMEOUT_MS = 2_000

/** One request that a replica received, with the connection to answer on. */
interface RawRequest {
  socket: net.Socket
  id: string
  path: string
  /** How often any replica has received this request, including this time. */
  arrivals: number
}

let fleet: PlatformFleet
let servers: net.Server[]
let sockets: Set<net.Socket>
let respond: (request: RawRequest) => void

test.before.each(async () => {
  fleet = new PlatformFleet()
  servers = []
  sockets = new Set()
  respond = ({ socket, id }) => { socket.write(wholeAnswer(id, 'ready')) }
  await fleet.start(1)
  fleet.store.put('op/config', configurationOf(1))
  const arrivals = new Map<string, number>()
  for (const id of ['replica-1', 'replica-2']) fleet.store.put(`servers/${id}`, await startReplica(arrivals))
  await waitUntil(async () => (await call(gateway().addresses.front, '/safe/x')).status === 200)
  await waitUntil(async () => gateway().output.split('"event":"replica-added"').length > 2)
})
test.after.each(async () => {
  for (const socket of sockets) socket.destroy()
  for (const server of servers) server.close()
  await fleet.stop()
})

function gateway (): GatewayProcess {
  return fleet.gateways[0] as GatewayProcess
}

async function startReplica (arrivals: Map<string, number>): Promise<object> {
  const server = net.createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => { socket.destroy() })
    socket.on('data', data => {
      const head = data.toString('latin1')
      const requestId = /X-Wasabihead-Attempt-Id: (\S+)/i.exec(head)?.[1] ?? ''
      arrivals.set(requestId, (arrivals.get(requestId) ?? 0) + 1)
      respond({ socket, id: requestId, path: head.split(' ')[1] ?? '', arrivals: arrivals.get(requestId) as number })
    })
  })
  servers.push(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    service: SERVICE, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'zone-a', version: 'v1', slots: 48, state: 'ready', cold_left_ms: 0, seq: 1, born: 1_700_000_000_000
  }
}

function headOf (id: string, framing: string, status = 200): string {
  return `HTTP/1.1 ${status} Status\r\nX-Wasabihead-Attempt-Id: ${id}\r\nX-Wasabihead-Server-Seal: seal\r\n${framing}\r\n\r\n`
}

function wholeAnswer (id: string, body: string, status = 200): string {
  return headOf(id, `Content-Length: ${body.length}`, status) + body
}

/** A body that repeats the request's id, so that bytes of another request show. */
function bodyOf (id: string, length: number): string {
  return `${id};`.repeat(Math.ceil(length / (id.length + 1))).slice(0, length)
}

/** Writes the text repeatedly, as fast as the reader accepts it, until the connection closes. */
function writeWithoutEnd (socket: net.Socket, text: string): void {
  const piece = Buffer.from(text.repeat(Math.ceil(65_536 / text.length)))
  const writeUntilFull = (): void => {
    while (!socket.destroyed && socket.write(piece)) { /* Until the send buffer is full. */ }
  }
  socket.on('drain', writeUntilFull)
  writeUntilFull()
}

// Guards against bytes of other callers' answers in a failure's body: all connections read into one shared buffer, and the
// pieces of the body were retained as references into it, which later reads overwrote (issue 23).
test('should pass on a failure whose body comes in pieces without bytes of other callers\' answers', async () => {
  respond = ({ socket, id, path }) => {
    if (!path.startsWith('/unsafe/')) {
      socket.write(wholeAnswer(id, bodyOf(id, 3_000)))
      return
    }
    const body = bodyOf(id, 2_000)
    socket.write(headOf(id, `Content-Length: ${body.length}`, 500) + body.slice(0, 900))
    setTimeout(() => { socket.write(body.slice(900)) }, PIECE_GAP_MS)
  }
  const ask = async (path: string, id: string) => await call(gateway().addresses.front, path, { headers: { 'X-Wasabihead-Attempt-Id': id } })
  const failures = Array.from({ length: 8 }, async (_, index) => await ask('/unsafe/x', `failure-${index}`))
  const others: Promise<{ body: string }>[] = []
  for (let index = 0; index < 60; index++) {
    others.push(ask('/safe/x', `other-${index}`))
    await new Promise(resolve => { setTimeout(resolve, 3) })
  }
  for (const [index, failure] of failures.entries()) {
    const { status, body } = await failure
    assert.equal([status, body], [500, bodyOf(`failure-${index}`, 2_000)])
  }
  for (const [index, other] of others.entries()) assert.is((await other).body, bodyOf(`other-${index}`, 3_000))
})

// Guards against an answer with an invalid status that is taken for an interim one: the caller waited for its deadline, or got
// bytes of its body as the replica's answer (issue 59).
const statuses: { title: string, bytes: (id: string) => string }[] = [
  { title: 'with a body', bytes: id => wholeAnswer(id, 'hello', 0).replace(' 0 ', ' 000 ') },
  { title: 'whose body holds an answer', bytes: id => wholeAnswer(id, wholeAnswer(id, 'inner'), 0).replace(' 0 ', ' 000 ') },
  { title: 'before another answer', bytes: id => `HTTP/1.1 000 Trouble\r\n\r\n${wholeAnswer(id, 'inner')}` }
]
for (const { title, bytes } of statuses) {
  for (const { path, expected } of [{ path: '/safe/x', expected: [200, 'sound'] }, { path: '/unsafe/x', expected: [502, ''] }]) {
    test(`should give up an answer of status 000 ${title} at once: ${path}`, async () => {
      respond = ({ socket, id, arrivals }) => { socket.write(arrivals === 1 ? bytes(id) : wholeAnswer(id, 'sound')) }
      const { status, body } = await call(gateway().addresses.front, path, { headers: { 'X-Wasabihead-Attempt-Id': 'odd' } })
      assert.equal([status, body], expected)
    })
  }
}

// Guards against large answers that stall: beyond the size up to which answers are buffered, the connection was paused and
// never read again (issue 23).
for (const length of [200_000, 300_000, 1_000_000, 6_000_000]) {
  test(`should deliver a plain answer of ${length} bytes, to slow callers too`, async () => {
    respond = ({ socket, id }) => { socket.write(wholeAnswer(id, bodyOf(id, length))) }
    const readers = [false, true].map(async isSlow => await readAnswer(`reader-${String(isSlow)}`, isSlow))
    for (const [index, body] of (await Promise.all(readers)).entries()) {
      const expected = bodyOf(`reader-${String(index === 1)}`, length)
      assert.is(body.length, length, failureLines(gateway()))
      assert.ok(body === expected, 'each byte is the caller\'s own')
    }
    assert.ok(!gateway().output.includes('broken-off'))
  })
}

/** Reads a body on a new connection; a slow reader pauses for 20 ms after each piece of the first 400,000 characters. */
async function readAnswer (id: string, isSlow: boolean): Promise<string> {
  const [host, port] = gateway().addresses.front.split(':')
  return await new Promise(resolve => {
    const socket = net.connect({ host, port: Number(port) })
    let text = ''
    socket.on('data', data => {
      text += data.toString('latin1')
      if (!isSlow || text.length > 400_000) return
      socket.pause()
      setTimeout(() => { socket.resume() }, 20)
    })
    socket.on('error', () => { socket.destroy() })
    socket.once('close', () => { resolve(text.slice(text.indexOf('\r\n\r\n') + 4)) })
    socket.write(`GET /safe/x HTTP/1.1\r\nHost: front.example\r\nApi-Key: key-a\r\nX-Wasabihead-Attempt-Id: ${id}\r\nConnection: close\r\n\r\n`)
  })
}

const SEAL = /\r\nx-wasabihead-server-seal: (.*)\r\n/i

/** Sends a request on a new connection; returns all bytes of the answer as latin1. */
async function rawAnswer (path: string): Promise<string> {
  return await sendBytes(gateway().addresses.front, [
    `POST ${path} HTTP/1.1`, 'Host: front.example', 'Api-Key: key-a', 'X-Wasabihead-Attempt-Id: raw', 'X-Wasabihead-Deadline-Ms: 5000',
    'Content-Length: 0', 'Connection: close', '', ''
  ].join('\r\n'))
}

const spoiltHeaders: { title: string, spoil: (head: string) => string }[] = [
  { title: 'a control character in a header', spoil: head => head.replace('Content-Type: text', 'Content-Type: \x01text') },
  { title: 'a control character in the seal', spoil: head => head.replace('seal\r', 'seal\x01\r') },
  { title: 'a header without a name', spoil: head => head.replace('Content-Type', '') }
]
for (const { title, spoil } of spoiltHeaders) {
  // Guards against streams with a default head instead of the head of the replica, whose header had a wrong byte.
  test(`should answer a stream with the seal of another replica where the first sends ${title}`, async () => {
    respond = ({ socket, id, arrivals }) => {
      const events = 'id: 1\ndata: whole\n\n'
      const head = headOf(id, `Content-Type: text/event-stream\r\nContent-Length: ${events.length}`)
      socket.write(Buffer.from((arrivals > 1 ? head : spoil(head)) + events, 'latin1'))
    }
    const answer = await rawAnswer('/events/x')
    assert.match(answer, /^HTTP\/1.1 200 /)
    assert.is(SEAL.exec(answer)?.[1], 'seal')
  })
}

// Guards against callers that were never answered: a wrong byte in the status line passed the parser, and broke the answer's end.
for (const { path, expected } of [{ path: '/unsafe/x', expected: 502 }, { path: '/safe/x', expected: 200 }, { path: '/events/x', expected: 200 }]) {
  test(`should answer ${expected} to ${path} where the replica sends a wrong byte in its status line`, async () => {
    const events = 'id: 1\ndata: whole\n\n'
    respond = ({ socket, id, arrivals }) => {
      const answer = path === '/events/x' ? headOf(id, `Content-Length: ${events.length}`) + events : wholeAnswer(id, 'whole')
      socket.write(arrivals > 1 ? answer : answer.replace('Status', '\x01tatus'))
    }
    const timeout = new Promise<string>(resolve => { setTimeout(() => { resolve('no answer') }, 2 * ROUTE_TIMEOUT_MS).unref() })
    assert.match(await Promise.race([rawAnswer(path), timeout]), new RegExp(`^HTTP/1.1 ${expected} `))
    assert.not(gateway().output.includes('unexpected'))
  })
}

// Guards against requests that ran at two replicas, or whose callers were told that they had not run: a refusal of an earlier
// request was written once more on their connection.
test('should not take a refusal without an id for that of a request that runs on a kept connection', async () => {
  const runs = new Map<string, number>()
  respond = ({ socket, id, arrivals }) => {
    runs.set(id, arrivals)
    socket.write('HTTP/1.1 503 Busy\r\nX-Wasabihead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.repeat(kept.has(socket) ? 1 : 0))
    kept.add(socket)
    setTimeout(() => { socket.write(wholeAnswer(id, 'whole')) }, PIECE_GAP_MS)
  }
  const kept = new Set<net.Socket>()
  const statuses: number[] = []
  for (let index = 0; index < 20; index++) {
    const answer = await call(gateway().addresses.front, '/unsafe/x', { method: 'POST', headers: { 'X-Wasabihead-Attempt-Id': `once-${index}` } })
    statuses.push(answer.status)
  }
  assert.equal([[...new Set(statuses)], [...new Set(runs.values())]], [[200], [1]])
})

const kinds = [
  { path: '/events/x', headers: 'Content-Type: text/event-stream\r\n', body: 'id: 1\ndata: whole\n\n' },
  { path: '/unsafe/x', headers: '', body: 'whole' },
  { path: '/safe/x', headers: '', body: 'whole' }
]
for (const { path, headers, body } of kinds) {
  // Guards against broken answers where a header of a sound replica is in UTF-8, whose bytes were read as control characters.
  test(`should pass on a header in UTF-8 unchanged, for ${path}`, async () => {
    respond = ({ socket, id }) => { socket.write(headOf(id, `${headers}X-Note: caf\u00e9 \u2013\r\nContent-Length: ${body.length}`) + body) }
    const answer = Buffer.from(await rawAnswer(path), 'latin1').toString()
    assert.match(answer, /^HTTP\/1.1 200 /)
    assert.match(answer, /\r\nX-Note: caf\u00e9 \u2013\r\n/)
    assert.ok(answer.includes(body))
  })
}

// Guards against an answer without content whose length has a caller wait for a body, or take the next answer for it.
for (const { status, isLengthKept } of [{ status: 204, isLengthKept: false }, { status: 304, isLengthKept: true }]) {
  test(`should pass on an answer with status ${status} and a length without a body, and the next answer after it`, async () => {
    respond = ({ socket, id, path }) => {
      socket.write(path === '/safe/x' ? headOf(id, 'Content-Length: 5', status) : wholeAnswer(id, 'next'))
    }
    const request = (path: string, id: string, rest = ''): string =>
      `GET ${path} HTTP/1.1\r\nHost: front.example\r\nApi-Key: key-a\r\nX-Wasabihead-Attempt-Id: ${id}\r\n${rest}\r\n`
    const text = await sendBytes(gateway().addresses.front, request('/safe/x', 'empty') + request('/safe/y', 'next', 'Connection: close\r\n'))
    const [empty = '', next = ''] = text.split(/(?<=\r\n\r\n)(?=HTTP)/)
    assert.match(empty, new RegExp(`^HTTP/1.1 ${status} `))
    assert.is(/content-length: 5/i.test(empty), isLengthKept, empty)
    assert.match(next, /^HTTP\/1.1 200 [^]*\r\n\r\nnext$/)
  })
}

const CHUNKED = 'Transfer-Encoding: chunked'
const endless: { title: string, path: string, begin: (id: string) => string, text: string }[] = [
  { title: 'a head', path: '/safe/x', begin: () => 'HTTP/1.1 200 OK\r\n', text: 'X-More: and more\r\n' },
  { title: 'a line of a head', path: '/safe/x', begin: () => 'HTTP/1.1 200 OK\r\nX-More: ', text: 'and more ' },
  { title: 'a status line', path: '/safe/x', begin: () => 'HTTP/1.1 200 ', text: 'OK ' },
  { title: 'interim answers', path: '/safe/x', begin: () => '', text: 'HTTP/1.1 102 Processing\r\n\r\n' },
  { title: 'a chunk extension', path: '/safe/x', begin: id => `${headOf(id, CHUNKED)}5;`, text: 'and=more;' },
  { title: 'trailers', path: '/safe/x', begin: id => `${headOf(id, CHUNKED)}2\r\nok\r\n0\r\n`, text: 'X-More: and more\r\n' },
  { title: 'a trailer line', path: '/safe/x', begin: id => `${headOf(id, CHUNKED)}2\r\nok\r\n0\r\nX-More: `, text: 'and more ' },
  { title: 'an event', path: '/events/x', begin: id => `${headOf(id, 'Content-Type: text/event-stream')}id: 1\ndata: `, text: 'and more ' },
  { title: 'a comment between events', path: '/events/x', begin: id => `${headOf(id, 'Content-Type: text/event-stream')}: `, text: 'and more ' },
  { title: 'lines of comments', path: '/events/x', begin: id => headOf(id, 'Content-Type: text/event-stream'), text: ': and more\n' },
  { title: 'the body of a failure', path: '/safe/x', begin: id => headOf(id, 'Connection: close', 500), text: 'and more ' },
  { title: 'an answer to another request', path: '/safe/x', begin: () => headOf('another', 'Connection: close'), text: 'and more ' },
  { title: 'bytes that are no answer', path: '/safe/x', begin: () => 'nothing of HTTP', text: 'and more ' }
]
for (const { title, path, begin, text } of endless) {
  test(`should give up ${title} without an end in bounded memory, and answer from another replica`, async () => {
    respond = ({ socket, id, arrivals }) => {
      if (arrivals > 1) {
        socket.write(path.startsWith('/events/') ? `${headOf(id, 'Connection: close')}id: 1\ndata: whole\n\n` : wholeAnswer(id, 'whole'))
        if (path.startsWith('/events/')) socket.end()
        return
      }
      socket.write(begin(id))
      writeWithoutEnd(socket, text)
    }
    const atRest = gateway().peakMemory
    const begun = performance.now()
    const answer = await call(gateway().addresses.front, path, { headers: { 'X-Wasabihead-Attempt-Id': 'endless' } })
    const took = performance.now() - begun
    assert.is(answer.status, 200)
    assert.match(answer.body, /whole/)
    assert.ok(took < ROUTE_TIMEOUT_MS, `${took} ms`)
    const held = gateway().peakMemory - atRest
    assert.ok(held <= MEMORY_FOR_ONE, `${held} bytes above ${atRest}`)
  })
}

test('should hold bounded memory for forty answers without an end at once', async () => {
  respond = ({ socket, id, arrivals }) => {
    if (arrivals > 1) {
      socket.write(wholeAnswer(id, 'whole'))
      return
    }
    const { begin, text } = endless[Number(id.slice(1)) % 7] as typeof endless[number]
    socket.write(begin(id))
    writeWithoutEnd(socket, text)
  }
  const atRest = gateway().peakMemory
  await Promise.all(Array.from({ length: 40 }, async (_, index) => {
    return await call(gateway().addresses.front, '/safe/x', { headers: { 'X-Wasabihead-Attempt-Id': `e${index}` } })
  }))
  const held = gateway().peakMemory - atRest
  assert.ok(held <= MEMORY_FOR_FORTY, `${held} bytes above ${atRest}`)
})

const CHUNK = `4000\r\n${'and more '.repeat(1_821).slice(0, 16_384)}\r\n`
const endlessWithContent: { title: string, path: string, begin: (id: string) => string, text: string }[] = [
  { title: 'a plain answer', path: '/safe/x', begin: id => headOf(id, 'Connection: close'), text: 'and more ' },
  { title: 'a plain answer in chunks', path: '/safe/x', begin: id => headOf(id, CHUNKED), text: CHUNK },
  { title: 'a stream of events', path: '/events/x', begin: id => headOf(id, 'Content-Type: text/event-stream'), text: 'data: and more\n\n' }
]
for (const { title, path, begin, text } of endlessWithContent) {
  for (const pace of ['fast', 'slow', 'not at all'] as const) {
    // Guards against copies of an answer's pieces that fill the memory before they are reclaimed.
    test(`should pass on ${title} without an end in bounded memory, to a caller that reads ${pace}`, async () => {
      respond = ({ socket, id }) => {
        socket.write(begin(id))
        writeWithoutEnd(socket, text)
      }
      const atRest = gateway().peakMemory
      const received = await countAnswer(path, pace)
      const held = gateway().peakMemory - atRest
      assert.is(received > 0, pace !== 'not at all')
      assert.ok(held <= MEMORY_FOR_ONE, `${held} bytes above ${atRest}`)
    })
  }
}

/** Reads an answer until its connection closes, or until twice the route's timeout has passed; returns the number of bytes. */
async function countAnswer (path: string, pace: 'fast' | 'slow' | 'not at all'): Promise<number> {
  const [host, port] = gateway().addresses.front.split(':')
  return await new Promise(resolve => {
    const socket = net.connect({ host, port: Number(port) })
    let length = 0
    const timer = setTimeout(() => { socket.destroy() }, 2 * ROUTE_TIMEOUT_MS)
    if (pace !== 'not at all') {
      socket.on('data', data => {
        length += data.length
        if (pace === 'fast') return
        socket.pause()
        setTimeout(() => { socket.resume() }, 10)
      })
    }
    socket.on('error', () => { socket.destroy() })
    socket.once('close', () => {
      clearTimeout(timer)
      resolve(length)
    })
    socket.write(`GET ${path} HTTP/1.1\r\nHost: front.example\r\nApi-Key: key-a\r\nX-Wasabihead-Attempt-Id: counted\r\n\r\n`)
  })
}

// Guards against limits on bytes that also end slow, large but valid streams.
test('should pass a slow stream with many large events whole', async () => {
  const events = Array.from({ length: 40 }, (_, index) => `id: ${index + 1}\ndata: ${bodyOf('long', 20_000)}\n\n`)
  respond = ({ socket, id }) => {
    socket.write(headOf(id, 'Connection: close\r\nContent-Type: text/event-stream'))
    let next = 0
    const timer = setInterval(() => {
      const event = events[next++]
      if (event !== undefined && !socket.destroyed) {
        socket.write(event.slice(0, 7_000))
        socket.write(event.slice(7_000))
        return
      }
      clearInterval(timer)
      socket.end()
    }, 40)
  }
  const answer = await call(gateway().addresses.front, '/long/x')
  assert.is(answer.status, 200)
  assert.ok(answer.body === events.join(''), `${answer.body.length} bytes`)
})

test.run()
