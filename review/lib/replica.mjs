/** Stand-in of a replica: runs requests, answers with its seal, reports, takes orders, and registers itself in the store. */
import http from 'node:http'
import { LOOPBACK, listen, readBody } from './network.mjs'

const HEARTBEAT_MILLISECONDS = 1_200

export class Replica {
  /** @param options `service`, and `models` as the registration lists them */
  constructor (fleet, id, { service, models = [], zone = 'zone-0', version = 'v1' }) {
    Object.assign(this, { fleet, id, service, models, zone, version })
    this.born = Date.now()
    this.state = 'ready'
    this.count = 0
    this.orders = 0
    /** Requests that were run and orders that were received; times are on the clock of `performance.now()`. */
    this.ran = []
    this.ordered = []
    this.isSilent = false
    this.server = http.createServer((request, response) => {
      this.receive(request, response).catch(() => { response.destroy() })
    })
    this.server.keepAliveTimeout = 5_000
  }

  async start () {
    this.address = `${LOOPBACK}:${await listen(this.server)}`
    this.fleet.record(`replica ${this.id} of ${this.service} starts`)
    this.register()
    this.timer = setInterval(() => { this.register() }, HEARTBEAT_MILLISECONDS)
  }

  stop () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Writes the registration, as a replica does about every heartbeat. */
  register () {
    if (this.isGone) return undefined
    this.count += 1
    const { service, address, zone, version, state, models, born, count } = this
    return this.fleet.store.put(`servers/${this.id}`, {
      service, address, zone, version, slots: 6, state, cold_left_ms: 0, seq: count, born, ...models.length > 0 ? { stage: 'colocated', models } : {}
    })
  }

  async receive (request, response) {
    const body = await readBody(request)
    const { url, method, headers } = request
    const expected = headers['x-wasabihead-expect-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Wasabihead-Not-Executed': '1', 'Content-Length': 0 }).end()
      return
    }
    if (url === '/v1/report') {
      const content = { stage: 'colocated', models: this.models, busy: false, seq: this.orders, queued: 0, active: 0, kv_used: 0, kv_total: 47_292, handles: 0 }
      response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(content))
      return
    }
    if (url === '/v1/order') {
      this.takeOrder(JSON.parse(body), request, response)
      return
    }
    if (url === '/health') {
      response.writeHead(200, { 'X-Wasabihead-Instance-Id': this.id, 'Content-Length': 0 }).end()
      return
    }
    const attempt = headers['x-wasabihead-attempt-id']
    this.ran.push({ at: performance.now(), attempt, url, method, headers, body })
    this.fleet.record(`replica ${this.id} runs ${method} ${url} attempt ${attempt}`)
    this.respond(request, response, attempt)
  }

  /** The answer's own headers. */
  sealed (attempt) {
    return { 'X-Wasabihead-Attempt-Id': attempt, 'X-Wasabihead-Server-Seal': `seal.${this.id}.${this.ran.length}` }
  }

  respond (_request, response, attempt) {
    response.writeHead(200, { ...this.sealed(attempt), 'Content-Length': 4 }).end('done')
  }

  takeOrder (order, request, response) {
    this.ordered.push({ at: performance.now(), ...order })
    this.fleet.record(`replica ${this.id} receives order ${JSON.stringify(order)}`)
    if (order.expected !== undefined && order.expected !== this.orders) {
      response.writeHead(409, { 'Content-Length': 0 }).end()
      return
    }
    const model = this.models.find(({ name }) => name === order.model)
    const status = model === undefined || model.version >= order.version ? 200 : 202
    if (status === 202) {
      this.orders += 1
      model.version = order.version
    }
    response.writeHead(status, { 'Content-Length': 0 }).end()
  }
}

/** A configuration as the operator writes it, with one route of each kind to the service `desk`. */
export function configuration (version, change = {}) {
  const route = { host: 'front.example', timeout_ms: 3_000, target_latency_ms: 386, priority: 0, service: 'desk', max_attempts: 2, public: false, sticky: false, resumable: false }
  return {
    version,
    routes: [
      { ...route, name: 'read', path_prefix: '/read/', kind: 'safe' },
      { ...route, name: 'action', path_prefix: '/action/', kind: 'unsafe', max_attempts: 1 },
      { ...route, name: 'digest', path_prefix: '/digest/', kind: 'streaming', resumable: true, gap_target_ms: 400, target_latency_ms: 800, timeout_ms: 6_000 }
    ],
    services: [{ name: 'desk', health_path: '/health', max_conns: 110, protocol: 'h1', tls: false }],
    tenants: [{ name: 'tenant-a', api_keys: ['key-a'], isolated: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 10_000, idle_timeout_ms: 15_000 },
    ...change
  }
}
