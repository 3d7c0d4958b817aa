/** Starts gateways with the command of the deploy file, beside stand-ins of the store, the replicas and the consumers. */
import { spawn, fork } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Store } from './store.mjs'

export const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const HEARTBEAT_MS = 1_200
const HERE = fileURLToPath(new URL('./', import.meta.url))

export const pause = duration => new Promise(resolve => { setTimeout(resolve, duration) })

async function freePorts (host, count) {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise((resolve, reject) => {
    const server = net.createServer().once('error', reject)
    server.listen(0, host, () => { resolve(server) })
  })))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
  return ports
}

export class Deployment {
  store = new Store()
  gateways = []
  replicas = new Map()
  children = new Set()
  lines = []
  startedAt = performance.now()
  folder = mkdtempSync(join(tmpdir(), 'review-'))
  nextReplica = 1
  /** Called when a gateway has ended, for whatever reason. */
  onGatewayEnd = () => {}

  constructor (recordFile) {
    this.recordFile = recordFile
  }

  record (text) {
    this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${text}`)
  }

  get now () {
    return performance.now() - this.startedAt
  }

  /** Each gateway has a loopback address of its own, as a machine has. */
  async startGateways (count, bounds = {}) {
    const control = []
    const plans = []
    for (let index = 0; index < count; index++) {
      const ip = `127.0.0.${21 + index}`
      const [front, ready, controlPort, directory, first, metrics] = await freePorts(ip, 6)
      control.push(`${ip}:${controlPort}`)
      plans.push({ ip, front, ready, controlPort, directory, first, metrics, name: `edge-ni-a-${index + 1}` })
    }
    for (const plan of plans) {
      const settings = settingsOf(plan, control.slice(0, 3), this.store.address, bounds)
      const file = join(this.folder, `${plan.name}.json`)
      writeFileSync(file, JSON.stringify(settings))
      this.gateways.push({ ...plan, file, front: `${plan.ip}:${plan.front}`, ready: `${plan.ip}:${plan.ready}` })
    }
    for (const gateway of this.gateways) this.startGateway(gateway)
    for (const gateway of this.gateways) await this.untilReady(gateway)
  }

  startGateway (gateway) {
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1]
    const [command, ...parameters] = run.split(' ')
    const child = spawn(command, parameters, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        WASABIHEAD_NODE_FILE: gateway.file,
        WASABIHEAD_METRICS_PORT: String(gateway.metrics)
      }
    })
    gateway.child = child
    gateway.log = ''
    const keep = chunk => { gateway.log = (gateway.log + chunk).slice(-4_000_000) }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    this.children.add(child)
    child.once('exit', (code, signal) => {
      this.children.delete(child)
      this.record(`gateway ${gateway.name} ended: ${code ?? signal}`)
      this.onGatewayEnd(gateway)
    })
    this.record(`gateway ${gateway.name} started`)
  }

  async untilReady (gateway, within = 15_000) {
    const until = performance.now() + within
    while (performance.now() < until) {
      const status = await new Promise(resolve => {
        const request = http.get(`http://${gateway.ready}/v1/ready`, { agent: false, timeout: 1_000 }, response => {
          response.resume()
          resolve(response.statusCode)
        })
        request.on('error', () => { resolve(0) })
        request.on('timeout', () => { request.destroy() })
      })
      if (status === 200) return
      await pause(50)
    }
    throw new Error(`${gateway.name} is not ready`)
  }

  /** Starts a replica process and registers it; the registration is renewed while the process lives. */
  async startReplica ({
    service, slots = 6, work = 60, crashes = false, crashAfter = 0, onEvent = () => {}, onEnd = () => {}, port = 0, zone = 'ni-a',
    file = 'replica.mjs', listed = {}
  }) {
    const id = `i-${(0x7f3a0000 + this.nextReplica++).toString(16)}`
    const child = fork(join(HERE, file), ['127.0.0.1', String(port), id, service, String(work), crashes ? '1' : '0', String(crashAfter)], { execArgv: [] })
    this.children.add(child)
    const key = `servers/${id}`
    const replica = { id, child, service, isAlive: true }
    let timer
    child.on('message', event => {
      if (event.kind === 'ready') {
        replica.port = event.port
        let seq = 0
        const beat = () => {
          this.store.put(key, { service, address: `127.0.0.1:${event.port}`, zone, version: 'v1', slots, state: 'ready', cold_left_ms: 0, seq: ++seq, born: event.born, ...listed })
        }
        beat()
        timer = setInterval(beat, HEARTBEAT_MS)
        replica.ready = true
      }
      onEvent(event, replica)
    })
    child.once('exit', () => {
      this.children.delete(child)
      replica.isAlive = false
      clearInterval(timer)
      this.replicas.delete(id)
      // The entry lapses after three intervals of silence.
      setTimeout(() => { this.store.remove(key) }, 3 * HEARTBEAT_MS).unref()
      onEnd(replica)
    })
    this.replicas.set(id, replica)
    while (!replica.ready && replica.isAlive) await pause(5)
    return replica
  }

  async stop () {
    for (const child of this.children) child.kill('SIGKILL')
    await pause(100)
    this.store.close()
    rmSync(this.folder, { recursive: true, force: true })
    writeFileSync(this.recordFile, `${this.lines.join('\n')}\n`)
  }
}

/** The settings of a machine of a small deployment, with addresses of this machine. */
function settingsOf (plan, seeds, store, bounds) {
  const { ip, name } = plan
  return {
    node_name: name,
    role: 'gateway',
    machine_class: 'edge',
    serves: ['edge', 'control', 'directory'],
    ip,
    zone: 'ni-a',
    region: 'north-isles',
    zones: { 'ni-a': 'north-isles', 'ni-b': 'north-isles', 'ni-c': 'north-isles' },
    listen: { front: `${ip}:${plan.front}`, ready: `${ip}:${plan.ready}`, control: `${ip}:${plan.controlPort}`, directory: `${ip}:${plan.directory}` },
    port_range: [plan.first, plan.first + 15],
    seeds,
    bootstrap: true,
    loss_counts: false,
    limits: { cpu_share: 0.513, cores: 2, memory_mb: 480, max_fds: 6150, link_mbps: 1500, disk_mb: 0 },
    data_dir: null,
    discovery: 'platform',
    entry: 'directory',
    heartbeat_ms: HEARTBEAT_MS,
    contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'kvcache', 'stream', 'engine', 'tenants', 'platform'],
    fault_tolerance: { machines: 2, zones: 0, regions: 0 },
    bounds: {
      seed_lag_s: 3,
      reuse_after_s: 2,
      contact_ms: 3000,
      ack_ms: 4000,
      catch_up_s: 4,
      drain_ms: 2000,
      grace_s: 8,
      loss_slack_ms: 200,
      config_apply_ms: 2000,
      rollback_slack_ms: 250,
      outer_ms: 5000,
      revoke_fail_closed: false,
      revoke_ms: 5000,
      retry_budget_ratio: 0.2,
      budget_window_s: 10,
      retry_budget_slack: 58,
      recover_s: 12,
      transit_ms: 120,
      reuse_window_s: 20,
      fencing_enforced: false,
      lease_ms: 3000,
      thaw_slack_ms: 300,
      version_ms: 8000,
      version_all_ms: 11000,
      ttl_max_s: 5,
      ...bounds
    },
    provider: { address: store, form: 'kv', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000 }
  }
}

/** One request of a consumer over an agent; resolves with status, headers and body, or with status 0 where the channel closes. */
export function send (gateway, { method = 'GET', path, host = 'pule25.example', attempt, deadline = 3_000, key, agent, body, more = {} }) {
  return new Promise(resolve => {
    const [address, port] = gateway.front.split(':')
    const headers = { Host: host, 'X-Wasabihead-Attempt-Id': attempt, 'X-Wasabihead-Deadline-Ms': String(deadline), 'Api-Key': key, ...more }
    if (body !== undefined) headers['Content-Length'] = Buffer.byteLength(body)
    const request = http.request({ host: address, port, method, path, agent, headers }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => { resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() }) })
      response.on('error', () => { resolve({ status: 0, headers: {}, body: '' }) })
    })
    request.on('error', () => { resolve({ status: 0, headers: {}, body: '' }) })
    request.setTimeout(deadline + 1_000, () => { request.destroy() })
    request.end(body)
  })
}
