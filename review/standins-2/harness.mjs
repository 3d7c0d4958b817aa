/** Starts the gateways of a small deployment with the command of the deploy file, and records what happens. */
import { spawn } from 'node:child_process'
import fs from 'node:fs'
import net from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { MetadataStore } from './store.mjs'

const root = fileURLToPath(new URL('../../', import.meta.url))
const bounds = {
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
  retry_budget_slack: 56,
  recover_s: 12,
  transit_ms: 120,
  reuse_window_s: 20,
  fencing_enforced: false,
  lease_ms: 3000,
  thaw_slack_ms: 300,
  version_ms: 8000,
  version_all_ms: 11000,
  ttl_max_s: 5
}

export const sleep = async ms => await new Promise(resolve => { setTimeout(resolve, ms) })

export async function freePort (host) {
  const server = net.createServer()
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

export class Recorder {
  constructor (folder) {
    this.file = path.join(folder, 'record.txt')
    this.startedAt = performance.now()
    fs.writeFileSync(this.file, '')
  }

  write (text) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)
    fs.appendFileSync(this.file, `${at} ${text}\n`)
  }
}

/** The gateways, the store, and the files that they need. */
let deployments = 0
const children = new Set()

/** Ends the gateways that are still running. */
export function endAllProcesses () {
  for (const child of children) child.kill('SIGKILL')
}

export class Deployment {
  constructor (recorder) {
    deployments += 1
    this.number = deployments
    this.recorder = recorder
    this.store = new MetadataStore()
    this.gateways = []
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  }

  async start ({ count = 2, config, zones = ['zone-a', 'zone-b'], limits, storeAddress }) {
    this.storeAddress = storeAddress
    if (this.store.server === undefined) await this.store.listen('127.0.0.1', 0)
    this.store.put('op/config', config)
    for (let index = 0; index < count; index++) {
      const ip = `127.0.${20 + index}.${this.number}`
      const [front, ready, control, directory, peers, metrics] = [
        await freePort(ip), await freePort(ip), await freePort(ip), await freePort(ip), await freePort(ip), await freePort(ip)]
      this.gateways.push({
        index,
        ip,
        name: `edge-${index}`,
        zone: zones[index % zones.length],
        metrics,
        peers,
        listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, directory: `${ip}:${directory}` }
      })
    }
    this.zones = zones
    this.limits = limits ?? { cpu_share: 0.675, cores: 1, memory_mb: 200, max_fds: 4100, link_mbps: 1000, disk_mb: 0 }
    for (const gateway of this.gateways) this.spawn(gateway, true)
    for (const gateway of this.gateways) await this.whenReady(gateway)
  }

  spawn (gateway, bootstrap = false) {
    const { name, zone, ip, listen, index, peers, metrics } = gateway
    const settings = {
      node_name: name,
      role: 'gateway',
      machine_class: 'edge',
      serves: ['edge', 'control', 'directory'],
      ip,
      zone,
      region: 'region-a',
      zones: Object.fromEntries(this.zones.map(zoneName => [zoneName, 'region-a'])),
      listen,
      port_range: [peers, peers],
      seeds: this.gateways.slice(0, 3).map(({ listen: { control } }) => control),
      bootstrap,
      loss_counts: false,
      limits: this.limits,
      data_dir: null,
      discovery: 'platform',
      entry: 'directory',
      heartbeat_ms: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'kvcache', 'stream', 'engine', 'tenants', 'platform'],
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds,
      provider: {
        address: this.storeAddress ?? this.store.address,
        form: 'kv',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000
      }
    }
    const file = path.join(this.folder, `${name}.json`)
    fs.writeFileSync(file, JSON.stringify(settings))
    const child = spawn('node', ['--max-old-space-size=96', '--max-semi-space-size=4', 'target/gateway.mjs'], {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? '/',
        WASABIHEAD_NODE_FILE: file,
        WASABIHEAD_METRICS_PORT: String(metrics),
        ...(process.env.GATEWAY_LOG_LEVEL === undefined ? {} : { WASABIHEAD_LOG_LEVEL: process.env.GATEWAY_LOG_LEVEL })
      },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    const log = fs.createWriteStream(path.join(this.folder, `${name}.log`), { flags: 'a' })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    children.add(child)
    gateway.child = child
    gateway.exited = new Promise(resolve => child.once('exit', (code, signal) => {
      children.delete(child)
      this.recorder.write(`gateway ${index} ended: code ${code} signal ${signal}`)
      resolve({ code, signal })
    }))
  }

  async whenReady (gateway, timeout = 10_000) {
    const until = performance.now() + timeout
    while (performance.now() < until) {
      const status = await fetch(`http://${gateway.listen.ready}/v1/ready`).then(answer => answer.status, () => 0)
      if (status === 200) return
      await sleep(50)
    }
    throw new Error(`gateway ${gateway.index} is not ready`)
  }

  async end () {
    for (const { child } of this.gateways) if (child !== undefined && child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all(this.gateways.map(({ exited }) => exited))
    this.store.close()
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(this.folder, { recursive: true, force: true })
    else console.log(`logs in ${this.folder}`)
  }
}
