/** Crowds that complete no request or read no answer, at a gateway process as it is deployed on the smallest machine. */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type GatewayProcess, type ReplicaStandIn } from './platformFleet.js'

const MEGABYTE = 1_048_576
/** Memory of the smallest machine, less 2 MB for its other processes. */
const MACHINE_MEMORY = 200 * MEGABYTE
/** Below the usual limit of 1,024 descriptors for a process. */
const MAXIMUM_DESCRIPTORS = 1_000
const FLOOD_MS = 3_000
const MAXIMUM_BODY_BYTES = 4_194_304
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: MAXIMUM_BODY_BYTES, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
/** Lower than the defaults, so that a small crowd reaches them. */
const ENVIRONMENT = {
  WASABIHEAD_CALLER_MEMORY_BYTES: String(16 * MEGABYTE), WASABIHEAD_CALLER_ADDRESS_BYTES: String(12 * MEGABYTE)
}
const ANSWER = 'a'.repeat(200_000)
const METRICS_PORT_BASE = 20_000
const METRICS_PORTS = 9_000
const ROOT = fileURLToPath(new URL('../../..', import.meta.url))

const folder = mkdtempSync(join(tmpdir(), 'wasabihead-bundle-'))
const entry = join(folder, 'gateway.mjs')
let fleet: PlatformFleet
let replica: ReplicaStandIn

test.before(() => { execFileSync(process.execPath, ['utils/bundleGateway.mjs', entry], { cwd: ROOT }) })
test.after(() => { rmSync(folder, { recursive: true, force: true }) })
test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(1, { entry, environment: ENVIRONMENT })
  const { routes, ...rest } = configurationOf(1) as { routes: object[] }
  const sound = { ...routes[0], name: 'sound', path_prefix: '/sound/', service: 'sound' }
  fleet.store.put('op/config', {
    ...rest,
    limits: LIMITS,
    routes: [...routes.map(route => ({ ...route, timeout_ms: 12_000 })), sound],
    services: [{ name: 'desk', max_conns: 1_000 }, { name: 'sound', max_conns: 100 }]
  })
  replica = await fleet.addReplica('desk-1', 'desk')
  fleet.register(replica, 'desk', { slots: 5_000 })
  await fleet.addReplica('sound-1', 'sound')
  await waitUntil(isServing)
})
test.after.each(async () => { await fleet.stop() })

function gateway (): GatewayProcess {
  return fleet.gateways[0] as GatewayProcess
}

async function isServing (): Promise<boolean> {
  return await call(gateway().addresses.front, '/sound/x').then(({ status }) => status === 200, () => false)
}

/** What each caller of a crowd sends; it reads nothing and keeps its connection open. */
interface Crowd {
  connections: number
  begin: string
  /** Repeated after `begin`. */
  text?: string
  /** Bytes that are sent after `begin`; 0 by default. */
  bytes?: number
}

/** Opens the connections of a crowd. */
function openCrowd (address: string, { connections, begin, text = '', bytes = 0 }: Crowd): net.Socket[] {
  const [host, port] = address.split(':')
  const piece = Buffer.from(text.repeat(text === '' ? 0 : Math.ceil(65_536 / text.length)), 'latin1')
  return Array.from({ length: connections }, () => {
    const socket = net.connect({ host, port: Number(port) })
    let left = bytes
    const writeUntilFull = (): void => {
      while (left > 0 && !socket.destroyed) {
        const part = piece.subarray(0, Math.min(left, piece.length))
        left -= part.length
        if (!socket.write(part)) return
      }
    }
    socket.pause()
    socket.on('error', () => { socket.destroy() })
    socket.on('drain', writeUntilFull)
    socket.write(begin, 'latin1')
    writeUntilFull()
    return socket
  })
}

async function assertServing (): Promise<void> {
  await waitUntil(async () => !gateway().isRunning || await isServing())
  assert.ok(gateway().isRunning, gateway().output.slice(-1_000))
}

/** Checks that the process lives within the machine's memory and answers an ordinary request, during the flood and after it. */
async function assertWithstands (address: string, ...crowds: readonly Crowd[]): Promise<void> {
  const sockets = crowds.flatMap(crowd => openCrowd(address, crowd))
  let descriptors = 0
  try {
    const until = performance.now() + FLOOD_MS
    while (performance.now() < until && gateway().isRunning) {
      await new Promise(resolve => { setTimeout(resolve, 100) })
      if (gateway().isRunning) descriptors = Math.max(descriptors, gateway().descriptors)
    }
    await assertServing()
  } finally {
    for (const socket of sockets) socket.destroy()
  }
  await assertServing()
  assert.ok(gateway().peakMemory <= MACHINE_MEMORY, `${Math.round(gateway().peakMemory / MEGABYTE)} MB`)
  assert.ok(descriptors <= MAXIMUM_DESCRIPTORS, `${descriptors} descriptors`)
}

const HEADERS = 'Host: front.example\r\nApi-Key: key-a\r\nX-Wasabihead-Attempt-Id: flood\r\nX-Wasabihead-Deadline-Ms: 12000\r\n'
const POST = `POST /unsafe/x HTTP/1.1\r\n${HEADERS}`
const CHUNKED = `${POST}Transfer-Encoding: chunked\r\n\r\n`
const LARGE_CHUNK = `8000\r\n${'x'.repeat(32_768)}\r\n`
const GET = `GET /unsafe/x HTTP/1.1\r\n${HEADERS}\r\n`
const BARE = 'GET /unsafe/x HTTP/1.1\r\nHost: front.example\r\n\r\n'

const callers: ({ title: string } & Crowd)[] = [
  { title: '300 heads of one header without an end', connections: 300, begin: `${POST}X-More: `, text: 'more', bytes: MAXIMUM_BODY_BYTES },
  { title: '300 heads of many headers without an end', connections: 300, begin: POST, text: 'X-A: a\r\n', bytes: MAXIMUM_BODY_BYTES },
  { title: '300 heads just within a parser\'s limit', connections: 300, begin: POST, text: 'X-A: a\r\n', bytes: 250_000 },
  { title: '100 connections with empty lines without an end', connections: 100, begin: '', text: '\r\n', bytes: MAXIMUM_BODY_BYTES },
  { title: '400 connections that send nothing', connections: 400, begin: '' },
  { title: '60 bodies one byte short', connections: 60, begin: `${POST}Content-Length: ${MAXIMUM_BODY_BYTES}\r\n\r\n`, text: 'x', bytes: MAXIMUM_BODY_BYTES - 1 },
  { title: '60 bodies of large chunks just short of their end', connections: 60, begin: CHUNKED, text: LARGE_CHUNK, bytes: 4_150_000 },
  { title: '60 bodies of chunks of a byte just short of their end', connections: 60, begin: CHUNKED, text: '1\r\nx\r\n', bytes: 1_200_000 },
  { title: '100 trailers without an end', connections: 100, begin: `${CHUNKED}0\r\n`, text: 'X-A: a\r\n', bytes: MAXIMUM_BODY_BYTES },
  { title: '100 chunk extensions without an end', connections: 100, begin: `${CHUNKED}1;a=`, text: 'b', bytes: MAXIMUM_BODY_BYTES },
  { title: '3,000 requests ahead on each of 2 connections', connections: 2, begin: '', text: GET, bytes: 3_000 * GET.length },
  { title: '300 requests ahead on each of 30 connections', connections: 30, begin: '', text: GET, bytes: 300 * GET.length },
  { title: '10,000 requests ahead without the usual headers on each of 30 connections', connections: 30, begin: '', text: BARE, bytes: 10_000 * BARE.length },
  { title: '300 answers unread', connections: 300, begin: GET }
]
for (const { title, ...crowd } of callers) {
  // Guards against a process that keeps what callers send or leave unread until its memory is used up.
  test(`should serve others within the machine's memory beside ${title}`, async () => {
    replica.respond = (request, response) => {
      response.writeHead(200, replica.answerHeaders(request))
      response.end(ANSWER)
    }
    await assertWithstands(gateway().addresses.front, crowd)
  })
}

// Guards against streams that are read from their replicas faster than their callers take them.
test('should serve others within the machine\'s memory beside 200 streams whose callers read nothing', async () => {
  replica.respond = (request, response) => {
    response.writeHead(200, { ...replica.answerHeaders(request), 'Content-Type': 'text/event-stream' })
    let id = 0
    const writeUntilFull = (): void => {
      while (!response.destroyed && response.write(`id: ${id++}\ndata: ${'more'.repeat(4_000)}\n\n`)) { /* Until the buffer is full. */ }
    }
    response.on('drain', writeUntilFull)
    writeUntilFull()
  }
  await assertWithstands(gateway().addresses.front, { connections: 200, begin: GET.replace('/unsafe/', '/long/') })
})

// Guards against complete bodies that are not counted, since their requests wait or run for long.
test('should serve others within the machine\'s memory beside 60 bodies whose requests run', async () => {
  replica.respond = () => {}
  const begin = `${POST}Content-Length: ${MAXIMUM_BODY_BYTES}\r\n\r\n`
  await assertWithstands(gateway().addresses.front, { connections: 60, begin, text: 'x', bytes: MAXIMUM_BODY_BYTES })
})

// Guards against a stop that waits for callers who read nothing, or is brought down by what they leave unread.
test('should stop as planned beside 300 answers unread', async () => {
  replica.respond = (request, response) => {
    response.writeHead(200, replica.answerHeaders(request))
    response.end(ANSWER)
  }
  const sockets = openCrowd(gateway().addresses.front, { connections: 300, begin: '', text: GET, bytes: 20 * GET.length })
  await waitUntil(async () => replica.received.length >= 300)
  await assertServing()
  const peak = gateway().peakMemory
  gateway().signal('SIGTERM')
  assert.is(await gateway().exited, 0)
  for (const socket of sockets) socket.destroy()
  assert.ok(peak <= MACHINE_MEMORY, `${Math.round(peak / MEGABYTE)} MB`)
})

const endpoints: { name: 'directory' | 'ready' | 'control' | 'metrics', path: string }[] = [
  { name: 'directory', path: '/v1/resolve' },
  { name: 'ready', path: '/v1/ready' },
  { name: 'control', path: '/v1/listing' },
  { name: 'metrics', path: '/metrics' }
]
for (const { name, path } of endpoints) {
  // Guards against limits that hold only where callers' requests are served.
  test(`should serve others within the machine's memory beside crowds at the address for ${name}`, async () => {
    const get = `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`
    const post = `POST ${path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n`
    await assertWithstands(name === 'metrics' ? await startWithMetrics() : gateway().addresses[name],
      { connections: 100, begin: `GET ${path} HTTP/1.1\r\nHost: a\r\nX-A: `, text: 'a', bytes: 1_000_000 },
      { connections: 100, begin: post, text: '1\r\nx\r\n', bytes: 1_200_000 },
      { connections: 300, begin: `${post}1;a=`, text: 'b', bytes: 250_000 },
      { connections: 30, begin: '', text: get, bytes: 10_000 * get.length })
  })
}

/** Starts the process again with a port for its metrics that is known. */
async function startWithMetrics (): Promise<string> {
  gateway().signal('SIGKILL')
  await gateway().exited
  gateway().metricsPort = METRICS_PORT_BASE + process.pid % METRICS_PORTS
  gateway().startProcess()
  await gateway().untilStarted()
  await waitUntil(isServing)
  const address = `127.0.0.1:${gateway().metricsPort}`
  await new Promise<void>((resolve, reject) => { http.get(`http://${address}/metrics`, answer => { answer.resume().once('end', resolve) }).once('error', reject) })
  return address
}

test.run()
