/** Answers without a length that replicas send while they still receive the request, through gateway processes. */
import net, { type AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, failureLines, PlatformFleet, type GatewayProcess } from './platformFleet.js'

const KILOBYTE = 1_024
/** More than the kernel buffers of a connection whose receiver does not read. */
const LONG = 12_000 * KILOBYTE
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
const REPEATS = 6

let fleet: PlatformFleet
let servers: net.Server[]
let sockets: Set<net.Socket>
/** Called with the connection and the id of each request whose head has arrived. */
let respond: (socket: net.Socket, id: string) => void

test.before.each(async () => {
  fleet = new PlatformFleet()
  servers = []
  sockets = new Set()
  respond = (socket, id) => { socket.end(`${headOf(id)}whole`) }
  await fleet.start(2, { hasLinkFault: true })
  const limits = { max_header_bytes: 8_192, max_body_bytes: 2 * LONG, header_timeout_ms: 5_000, idle_timeout_ms: 5_000 }
  fleet.store.put('op/config', configurationOf(1, { limits }))
  for (const id of ['replica-1', 'replica-2']) await startReplica(id)
  await waitUntil(async () => fleet.gateways.every(({ output }) => output.split('"event":"replica-added"').length > 2))
})
test.after.each(async () => {
  for (const socket of sockets) socket.destroy()
  for (const server of servers) server.close()
  await fleet.stop()
})

const gateway = (index: number): GatewayProcess => fleet.gateways[index] as GatewayProcess

async function startReplica (id: string): Promise<void> {
  // What it does not read stays in the buffers of the connection.
  const server = net.createServer({ pauseOnConnect: true, allowHalfOpen: true }, socket => {
    sockets.add(socket)
    socket.on('error', () => { socket.destroy() })
    socket.once('data', data => {
      socket.pause()
      const requestId = /X-Wasabihead-Attempt-Id: (\S+)/i.exec(data.toString('latin1'))?.[1]
      if (requestId === undefined) socket.end('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n')
      else respond(socket, requestId)
    })
    socket.resume()
  })
  servers.push(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  fleet.store.put(`servers/${id}`, {
    service: 'desk', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'zone-a', version: 'v1', slots: 48, state: 'ready', cold_left_ms: 0, seq: 1, born: 1_700_000_000_000
  })
}

function headOf (id: string, contentType = 'text/plain'): string {
  return `HTTP/1.1 200 OK\r\nX-Wasabihead-Attempt-Id: ${id}\r\nX-Wasabihead-Server-Seal: seal\r\nContent-Type: ${contentType}\r\n\r\n`
}

/** Resolves with the status and the body of a complete answer, undefined for one that is broken off. */
async function upload (to: GatewayProcess, path: string, id: string, length: number): Promise<[number, string] | undefined> {
  const headers = { 'X-Wasabihead-Attempt-Id': id, 'Content-Length': length }
  return await call(to.addresses.front, path, { method: 'POST', headers, body: 'x'.repeat(length) })
    .then(({ status, body }) => [status, body], () => undefined)
}

interface Ending { title: string, end: (socket: net.Socket) => void }

const endings: Ending[] = [
  { title: 'is reset', end: socket => { socket.resetAndDestroy() } },
  { title: 'is reset later', end: socket => { setTimeout(() => { socket.resetAndDestroy() }, 20) } },
  {
    title: 'ends and is then reset',
    end: socket => {
      socket.end()
      socket.once('finish', () => { socket.resetAndDestroy() })
    }
  },
  {
    title: 'ends and is reset later',
    end: socket => {
      socket.end()
      setTimeout(() => { socket.resetAndDestroy() }, 20)
    }
  }
]

// Guards against a part of an answer that a caller takes for the whole: the answer has no length, and its connection is reset
// while the request is still being written.
for (const { title, end } of endings) {
  for (const isRelayed of [false, true]) {
    test(`should complete no answer whose connection ${title} during a long upload${isRelayed ? ', at a peer' : ''}`, async () => {
      respond = (socket, id) => {
        const isStream = id.startsWith('/events') || id.startsWith('/once')
        socket.write(isStream ? `${headOf(id, 'text/event-stream')}${EVENTS}` : `${headOf(id)}part`, () => { end(socket) })
      }
      if (isRelayed) await cutOff(gateway(0))
      for (let repeat = 0; repeat < REPEATS; repeat++) {
        const paths = ['/safe/x', '/unsafe/x', '/events/x', '/once/x']
        const answers = await Promise.all(paths.map(async path => await upload(gateway(0), path, `${path}-${repeat}`, LONG)))
        const complete = answers.filter(answer => answer !== undefined && answer[0] === 200)
        assert.equal(complete, [], failureLines(gateway(0)))
      }
    })
  }
}

test('should pass on an answer that ends while its replica goes on to read a long upload', async () => {
  respond = (socket, id) => {
    socket.end(`${headOf(id)}whole`)
    socket.resume()
  }
  assert.equal(await upload(gateway(0), '/unsafe/x', 'early', LONG), [200, 'whole'])
})

async function cutOff (broken: GatewayProcess): Promise<void> {
  const answer = respond
  respond = (socket, id) => { socket.end(`${headOf(id)}whole`) }
  broken.setLinkFault('refused', servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`))
  await waitUntil(async () => {
    const [status] = await upload(broken, '/safe/x', 'cut-off', 1) ?? []
    return status === 200 && broken.output.includes('"event":"service-cut-off"')
  })
  respond = answer
}

test.run()
