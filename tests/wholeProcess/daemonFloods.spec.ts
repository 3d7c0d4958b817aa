/** Crowds that complete no request or read no answer, at the callers' and operators' addresses of a daemon. */
import { readdirSync, readFileSync } from 'node:fs'
import net from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyDocument, Fleet, HARROWGATE_TOKEN, OPERATOR_TOKEN, waitUntil, type RunningInstance } from '@wasabihead/experiments'

const MEGABYTE = 1_048_576
/** Memory of the smallest machine, less 2 MB for its other processes. */
const MACHINE_MEMORY = 200 * MEGABYTE
/** Below the usual limit of 1,024 descriptors for a process. */
const MAXIMUM_DESCRIPTORS = 1_000
const FLOOD_MS = 3_000
/** Lower than the defaults, so that a small crowd reaches them; the flags are those of the gateway on the smallest machine. */
const ENVIRONMENT = {
  NODE_OPTIONS: '--max-old-space-size=96 --max-semi-space-size=4',
  WASABIHEAD_CALLER_MEMORY_BYTES: String(16 * MEGABYTE),
  WASABIHEAD_CALLER_ADDRESS_BYTES: String(12 * MEGABYTE)
}

let fleet: Fleet
let instance: RunningInstance

test.before.each(async () => {
  fleet = new Fleet()
  await fleet.start({ instances: 1, engines: 1, environment: ENVIRONMENT })
  await applyDocument(fleet)
  instance = fleet.instances[0] as RunningInstance
})
test.after.each(async () => { await fleet.stop() })

/** What each caller of a crowd sends; it reads nothing and keeps its connection open. */
interface Crowd {
  connections: number
  begin: string
  /** Repeated after `begin`, `bytes` in all. */
  text: string
  bytes: number
}

/** Opens the connections of a crowd. */
function openCrowd (address: string, { connections, begin, text, bytes }: Crowd): net.Socket[] {
  const { hostname, port } = new URL(address)
  const piece = Buffer.from(text.repeat(Math.ceil(65_536 / text.length)), 'latin1')
  return Array.from({ length: connections }, () => {
    const socket = net.connect({ host: hostname, port: Number(port) })
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

function isRunning (): boolean {
  const { exitCode, signalCode } = instance.program.child
  return exitCode === null && signalCode === null
}

async function isServing (): Promise<boolean> {
  return await fetch(`${instance.addresses.caller}/v1/hosts`).then(({ status }) => status === 200, () => false)
}

async function assertServing (): Promise<void> {
  await waitUntil(async () => !isRunning() || await isServing())
  assert.ok(isRunning(), instance.program.errorLines.slice(-5).join('\n'))
}

const headOf = (path: string, token: string, framing: string): string => (
  `POST ${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${token}\r\nContent-Type: application/json\r\n${framing}\r\n\r\n`)
const servers: { name: 'caller' | 'operator', path: string, token: string, maximumBody: number }[] = [
  { name: 'caller', path: '/v1/completions', token: HARROWGATE_TOKEN, maximumBody: 4_000_000 },
  { name: 'operator', path: '/v1/configuration', token: OPERATOR_TOKEN, maximumBody: 2_000_000 }
]
for (const { name, path, token, maximumBody } of servers) {
  const get = 'GET /v1/hosts HTTP/1.1\r\nHost: a\r\n\r\n'
  const crowds: ({ title: string } & Crowd)[] = [
    { title: '300 chunk extensions without an end', connections: 300, begin: `${headOf(path, token, 'Transfer-Encoding: chunked')}1;a=`, text: 'b', bytes: 250_000 },
    { title: '60 bodies just short of their end', connections: 60, begin: headOf(path, token, `Content-Length: ${maximumBody}`), text: 'x', bytes: maximumBody - 1 },
    { title: '60 bodies of chunks of a byte just short of their end', connections: 60, begin: headOf(path, token, 'Transfer-Encoding: chunked'), text: '1\r\nx\r\n', bytes: 1_200_000 },
    { title: '10,000 requests ahead on each of 30 connections', connections: 30, begin: '', text: get, bytes: 10_000 * get.length }
  ]
  for (const { title, ...crowd } of crowds) {
    // Guards against a process that keeps what callers send or leave unread until its memory is used up.
    test(`should serve others within the machine's memory beside ${title} at the address for ${name}s`, async () => {
      const sockets = openCrowd(instance.addresses[name], crowd)
      let descriptors = 0
      try {
        const until = performance.now() + FLOOD_MS
        while (performance.now() < until && isRunning()) {
          await new Promise(resolve => { setTimeout(resolve, 100) })
          if (isRunning()) descriptors = Math.max(descriptors, readdirSync(`/proc/${instance.program.child.pid}/fd`).length)
        }
        await assertServing()
      } finally {
        for (const socket of sockets) socket.destroy()
      }
      await assertServing()
      const peak = Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${instance.program.child.pid}/status`, 'utf8'))?.[1]) * 1_024
      assert.ok(peak <= MACHINE_MEMORY, `${Math.round(peak / MEGABYTE)} MB`)
      assert.ok(descriptors <= MAXIMUM_DESCRIPTORS, `${descriptors} descriptors`)
    })
  }
}

test.run()
