/** Failures reported by operators of similar systems, reproduced on a gateway in its own process. */
import { randomBytes } from 'node:crypto'
import dgram from 'node:dgram'
import { deflateRawSync } from 'node:zlib'
import http from 'node:http'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '@wasabihead/coordination'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type GatewayProcess, type ReplicaStandIn } from './platformFleet.js'

const CALLERS = 20
const REQUESTS_BEFORE_STOP = 60
const WORK_MILLISECONDS = 120
const LATE_COPY_MILLISECONDS = 20
const SEED = 20261204

let fleet: PlatformFleet
let first: ReplicaStandIn
let second: ReplicaStandIn

test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(1)
  fleet.store.put('op/config', configurationOf(1))
  first = await fleet.addReplica('replica-1', 'desk')
  second = await fleet.addReplica('replica-2', 'desk')
  await waitUntil(async () => (await call(gateway().addresses.front, '/safe/x')).status === 200)
  for (const replica of fleet.replicas) replica.received.splice(0)
})
test.after.each(async () => { await fleet.stop() })

function gateway (): GatewayProcess {
  return fleet.gateways[0] as GatewayProcess
}

function received () {
  return [...first.received, ...second.received]
}

test('should answer each caller with its own answer where replicas send a second copy late on the same connection', async () => {
  for (const replica of fleet.replicas) {
    replica.respond = (request, response) => {
      const id = String(request.headers['x-wasabihead-attempt-id'])
      const { socket } = response
      response.writeHead(200, replica.answerHeaders(request)).end(`for ${id}`)
      const copy = ['HTTP/1.1 200 OK', `X-Wasabihead-Attempt-Id: ${id}`, `X-Wasabihead-Server-Seal: seal-${replica.id}`,
        `Content-Length: ${id.length + 4}`, '', `for ${id}`].join('\r\n')
      setTimeout(() => { socket?.write(copy) }, LATE_COPY_MILLISECONDS)
    }
  }
  const ids = Array.from({ length: 60 }, (_, index) => `attempt-${index}`)
  const answers: [string, number, string][] = []
  const caller = async (own: string[]): Promise<void> => {
    for (const id of own) {
      const { status, body } = await call(gateway().addresses.front, '/safe/x', { headers: { 'X-Wasabihead-Attempt-Id': id } })
      answers.push([id, status, body])
    }
  }
  await Promise.all([0, 1, 2].map(async start => { await caller(ids.filter((_, index) => index % 3 === start)) }))
  assert.equal(answers.filter(([id, , body]) => body !== `for ${id}`), [], gateway().output)
  assert.is(answers.length, ids.length)
})

test('should answer every request that it passed on before and after SIGTERM under load', async () => {
  for (const replica of fleet.replicas) {
    replica.respond = (request, response) => {
      setTimeout(() => { response.writeHead(200, replica.answerHeaders(request)).end('done') }, WORK_MILLISECONDS)
    }
  }
  const answered = new Set<string>()
  let [count, isStopping] = [0, false]
  const caller = async (): Promise<void> => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    for (;;) {
      const id = `attempt-${count++}`
      const isAnswered = await sendOverAgent(gateway().addresses.front, id, agent)
      if (isAnswered) answered.add(id)
      else if (isStopping) break
    }
    agent.destroy()
  }
  const callers = Array.from({ length: CALLERS }, caller)
  await waitUntil(async () => received().length >= REQUESTS_BEFORE_STOP)
  isStopping = true
  gateway().signal('SIGTERM')
  await Promise.all(callers)
  assert.is(await gateway().exited, 0)
  const unanswered = received().map(({ headers }) => String(headers['x-wasabihead-attempt-id'])).filter(id => !answered.has(id))
  assert.equal(unanswered, [])
  assert.ok(answered.size >= REQUESTS_BEFORE_STOP)
})

test('should survive datagrams of peers that are garbled, cut, inflated without end, or of wrong types', async () => {
  const random = new SeededRandom(SEED)
  const heartbeat = JSON.stringify({
    from: { name: 'gateway-9', incarnation: 1, isLeaving: false },
    isReady: true,
    named: [],
    loads: {},
    sent: [],
    stores: [],
    fetched: [],
    loading: [],
    loaded: [],
    crashes: []
  })
  const wrongTypes = ['null', '[]', '7', heartbeat.replace('[]', 'null'), heartbeat.replace('{}', '{"__proto__":[1,2,3]}'),
    heartbeat.replace('"isReady":true', '"isReady":true,"catalog":{"changedAt":99,"age":-5,"told":{"after":0,"changes":[["op/config",99,"{"]]}}')]
  const [host = '', port = ''] = gateway().addresses.heartbeats.split(':')
  const socket = dgram.createSocket('udp4')
  const datagrams = [
    ...wrongTypes.map(text => deflateRawSync(text)),
    deflateRawSync(Buffer.alloc(20_000_000)),
    ...Array.from({ length: 150 }, () => {
      const bytes = deflateRawSync(heartbeat)
      bytes[Math.floor(random.next() * bytes.length)] = Math.floor(random.next() * 256)
      return bytes.subarray(0, Math.ceil(random.next() * bytes.length))
    }),
    randomBytes(500)
  ]
  for (const datagram of datagrams) await new Promise(resolve => { socket.send(datagram, Number(port), host, resolve) })
  socket.close()
  await waitUntil(async () => gateway().output.includes('heartbeat-unreadable'))
  for (let index = 0; index < 5; index++) assert.is((await call(gateway().addresses.front, '/safe/x')).status, 200)
  assert.not.match(gateway().output, /unhandled-failure/)
})

/** Sends one request over the agent's connection; true after a complete answer with status 200. */
async function sendOverAgent (address: string, id: string, agent: http.Agent): Promise<boolean> {
  return await new Promise(resolve => {
    const headers = { Host: 'front.example', 'Api-Key': 'key-a', 'X-Wasabihead-Attempt-Id': id, 'X-Wasabihead-Deadline-Ms': '3000' }
    const request = http.request(`http://${address}/safe/x`, { agent, headers }, response => {
      response.resume()
      response.once('end', () => { resolve(response.statusCode === 200) })
      response.once('error', () => { resolve(false) })
    })
    request.once('error', () => { resolve(false) })
    request.end()
  })
}

test.run()
