/** A small fleet on loopback: stand-ins for the metadata store and the replicas, and gateways in separate processes. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net, { type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { waitUntil } from '@wasabihead/experiments'
import { CheckedConnections } from '@wasabihead/http'
import { MetadataStoreStandIn } from '@wasabihead/standins'
import type { LinkFaultFile, LinkFaultMode } from './linkFault.js'
import { PortBlocks } from './portBlocks.js'

const ENTRY = fileURLToPath(import.meta.resolve('@wasabihead/platform/main'))
/** As in deploy/system.toml. */
const DEPLOYED_FLAGS = ['--max-old-space-size=96', '--max-semi-space-size=4']
/** The compiled entry of another build, which every second process runs; empty for one build only. */
const OTHER_ENTRY = process.env.WASABIHEAD_TEST_OTHER_ENTRY ?? ''
/** `on` runs any of these specs with the wait queue, which is off in deployments that do not ask for it. */
const WAIT_QUEUE = process.env.WASABIHEAD_WAIT_QUEUE ?? ''
let startedProcesses = 0
/** Paths of the compiled modules. */
const CLOCK_FAULT = fileURLToPath(new URL('../soak/clockFault.js', import.meta.url))
const LINK_FAULT = fileURLToPath(new URL('linkFault.js', import.meta.url))
const LOOPBACK = '127.0.0.1'
/** Replicas accept whatever the configuration allows callers. */
const MAXIMUM_HEADER_BYTES = 1_048_576
const REPORT_PATH = '/v1/report'
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'

/** A request as a replica received it. */
export interface ReceivedRequest {
  method: string
  url: string
  headers: http.IncomingHttpHeaders
  body: string
}

/** The header with the id of a request, which replicas echo in each answer; calls of the gateway's own have none. */
export function idHeader ({ headers: { 'x-wasabihead-attempt-id': id } }: ReceivedRequest): http.OutgoingHttpHeaders {
  return id === undefined ? {} : { 'X-Wasabihead-Attempt-Id': id }
}

/** Answers requests as a replica of the platform does. */
export class ReplicaStandIn {
  readonly received: ReceivedRequest[] = []
  readonly address: string
  /** When this run of the replica started, as its reports say and `PlatformFleet.register` writes. */
  startedAt = 1_700_000_000_000
  /** Whether reports are answered with `startedAt`; otherwise `respond` gets those requests, too. */
  isReporting = true
  /** Answers a request; tests replace it to change the default answer, 200 with the replica's id in the body. */
  respond: (request: ReceivedRequest, response: http.ServerResponse) => void = (request, response) => {
    response.writeHead(200, this.answerHeaders(request))
    response.end(`answer of ${this.id}`)
  }

  private constructor (readonly id: string, private readonly _server: http.Server) {
    this.address = `${LOOPBACK}:${(_server.address() as AddressInfo).port}`
  }

  static async start (id: string): Promise<ReplicaStandIn> {
    const server = http.createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES }, (request, response) => {
      const chunks: Buffer[] = []
      request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      request.on('end', () => {
        replica._receive({
          method: request.method ?? '', url: request.url ?? '', headers: request.headers, body: Buffer.concat(chunks).toString()
        }, response)
      })
    })
    // Its own parser reads no bytes beyond ASCII in a target on x86-64.
    const connections = new CheckedConnections(server)
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => { connections.refuse(error, socket, BAD_REQUEST) })
    await new Promise<void>(resolve => { server.listen(0, LOOPBACK, resolve) })
    const replica = new ReplicaStandIn(id, server)
    return replica
  }

  answerHeaders (request: ReceivedRequest): http.OutgoingHttpHeaders {
    return { ...idHeader(request), 'X-Wasabihead-Server-Seal': `seal-${this.id}` }
  }

  /** Resets all connections and stops listening, as a crashed process does; `restart` brings it back at the same address. */
  crash (): void {
    this._server.closeAllConnections()
    this._server.close()
  }

  async restart (): Promise<void> {
    this.startedAt += 1_000
    const [host, port] = this.address.split(':')
    await new Promise<void>(resolve => { this._server.listen(Number(port), host, resolve) })
  }

  async stop (): Promise<void> {
    this._server.closeAllConnections()
    if (!this._server.listening) return
    await new Promise<void>(resolve => { this._server.close(() => { resolve() }) })
  }

  private _receive (request: ReceivedRequest, response: http.ServerResponse): void {
    if (this.isReporting && request.url === REPORT_PATH) {
      response.end(JSON.stringify({ seq: 0, busy: false, models: [], born: this.startedAt }))
      return
    }
    this.received.push(request)
    this.respond(request, response)
  }
}

/** Addresses of one gateway. */
export type GatewayAddresses = Record<'front' | 'ready' | 'control' | 'directory' | 'heartbeats', string>

/** One gateway; its name, addresses and settings stay the same when its process is started again. */
export class GatewayProcess {
  output = ''
  exited: Promise<number | null> = Promise.resolve(null)
  /** Port of the metrics from the next start on; 0 for any. */
  metricsPort = 0
  private _child: ChildProcess | undefined
  /** How the latest process ended, once all of its output was read. */
  private _end: string | undefined
  /** Offset in `output` at which the output of the latest process begins. */
  private _startedAt = 0

  /** @param _folder holds the settings file, and the files that faults are read from */
  constructor (
    readonly name: string, readonly addresses: GatewayAddresses, private _settings: object, private readonly _folder: string,
    private readonly _options: Pick<GatewayOptions, 'entry' | 'environment' | 'hasClockFault' | 'hasLinkFault'>
  ) {
    this._writeSettings()
  }

  /** Whether the latest process has logged that it started, from when on it handles signals. */
  get hasStarted (): boolean {
    return this.output.slice(this._startedAt).includes('"event":"started"')
  }

  /** Starts the process, also again after the previous one has exited. */
  startProcess (): void {
    this._startedAt = this.output.length
    this._end = undefined
    const { hasClockFault, hasLinkFault } = this._options
    const faults = [...hasClockFault ? ['--import', CLOCK_FAULT] : [], ...hasLinkFault ? ['--import', LINK_FAULT] : []]
    startedProcesses += 1
    const entry = this._options.entry ?? (OTHER_ENTRY !== '' && startedProcesses % 2 === 0 ? OTHER_ENTRY : ENTRY)
    const child = spawn(process.execPath, [...DEPLOYED_FLAGS, ...faults, entry], {
      env: {
        ...this._options.environment,
        WASABIHEAD_NODE_FILE: this._file,
        WASABIHEAD_METRICS_PORT: String(this.metricsPort),
        WASABIHEAD_WAIT_QUEUE: WAIT_QUEUE,
        WASABIHEAD_TEST_CLOCK_FILE: `${this._file}.clock`,
        WASABIHEAD_TEST_LINK_FILE: `${this._file}.links`
      },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    child.stdout.on('data', (data: Buffer) => { this.output += data.toString() })
    child.stderr.on('data', (data: Buffer) => { this.output += data.toString() })
    this.exited = new Promise(resolve => { child.once('exit', resolve) })
    child.once('close', (code, signal) => {
      if (this._child === child) this._end = signal ?? `code ${code}`
    })
    this._child = child
  }

  /** Waits until the latest process has started. Rejects with its output if it ends before. */
  async untilStarted (): Promise<void> {
    await waitUntil(async () => {
      if (this.hasStarted) return true
      if (this._end === undefined) return false
      throw new Error(`${this.name} ended with ${this._end} before it had started:\n${this.output.slice(this._startedAt)}`)
    })
  }

  signal (signal: NodeJS.Signals): void {
    this._child?.kill(signal)
  }

  /** Peak resident memory of the latest process, in bytes; read from `/proc`, so on Linux only. */
  get peakMemory (): number {
    const status = readFileSync(`/proc/${this._child?.pid}/status`, 'utf8')
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * 1_024
  }

  /** Number of open descriptors of the latest process; read from `/proc`, so on Linux only. */
  get descriptors (): number {
    return readdirSync(`/proc/${this._child?.pid}/fd`).length
  }

  /** Whether the latest process runs. */
  get isRunning (): boolean {
    return this._child?.exitCode === null && this._child.signalCode === null
  }

  /** Replaces top-level settings in the file; the process reads them on SIGHUP or at its next start. */
  changeSettings (change: object): void {
    this._settings = { ...this._settings, ...change }
    this._writeSettings()
  }

  /** Sets the offset of the time of day; only for a gateway started with `hasClockFault`. */
  setClockOffset (milliseconds: number): void {
    writeFileSync(`${this._file}.clock`, String(milliseconds))
    this.signal('SIGUSR2')
  }

  /** Breaks the links of the running process to some addresses, or repairs them; only for one with `hasLinkFault`. */
  setLinkFault (
    mode: LinkFaultMode, addresses: readonly string[], pause?: { addresses: readonly string[], duration: number }
  ): void {
    const portsOf = (list: readonly string[]): number[] => list.map(address => Number(address.split(':')[1]))
    const content: LinkFaultFile = {
      mode,
      ports: portsOf(addresses),
      pause: pause === undefined ? undefined : { ports: portsOf(pause.addresses), duration: pause.duration }
    }
    writeFileSync(`${this._file}.links`, JSON.stringify(content))
    this.signal('SIGUSR2')
  }

  /** Replaces the settings file by other text, or removes it; the process reads it at its next start. */
  replaceSettings (text: string | undefined): void {
    if (text === undefined) rmSync(this._file)
    else writeFileSync(this._file, text)
  }

  private get _file (): string {
    return join(this._folder, `${this.name}.json`)
  }

  private _writeSettings (): void {
    // Replaced as a whole: a process that starts meanwhile must not read half of the settings.
    writeFileSync(`${this._file}.new`, JSON.stringify(this._settings))
    renameSync(`${this._file}.new`, this._file)
  }
}

/** An answer as a caller sees it. */
export interface CallerAnswer {
  status: number
  headers: http.IncomingHttpHeaders
  body: string
}

/** How one gateway is started. */
export interface GatewayOptions {
  /** The file that is run; the compiled entry by default. */
  entry?: string | undefined
  /** Environment variables beside those that each gateway gets. */
  environment?: Readonly<Record<string, string>> | undefined
  /** IP address and port of the metadata store, or of a proxy before it. */
  storeAddress?: string
  /** Control addresses that it may ask for their catalog; those of the gateways before it by default. */
  seeds?: readonly string[]
  /** Whether `setClockOffset` can change its time of day. */
  hasClockFault?: boolean | undefined
  /** Whether `setLinkFault` can break its links. */
  hasLinkFault?: boolean | undefined
  /** Seconds from SIGTERM within which it has to exit; 8 by default. */
  graceSeconds?: number
  /** Retries that a service gets in each window apart from its share of the requests. */
  retryBudgetSlack?: number | undefined
  /** Top-level settings that differ from those of the other gateways. */
  settings?: object
  /** What the deployment requires beyond the rest, by name; nothing by default. */
  contracts?: readonly string[]
}

/** The store, the replicas and the gateways of one test; `stop` ends all of them and deletes the settings. */
export class PlatformFleet {
  readonly store = new MetadataStoreStandIn()
  readonly gateways: GatewayProcess[] = []
  readonly replicas: ReplicaStandIn[] = []
  storeAddress = ''
  private readonly _folder = mkdtempSync(join(tmpdir(), 'wasabihead-platform-'))
  private readonly _ports = new PortBlocks()

  async start (gateways: number, options: GatewayOptions = {}): Promise<void> {
    this.storeAddress = (await this.store.start(0)).replace('http://', '')
    for (let index = 0; index < gateways; index++) await this.startGateway(`gateway-${index}`, options)
  }

  async startGateway (
    name: string,
    {
      entry, environment, storeAddress = this.storeAddress, hasClockFault, hasLinkFault, graceSeconds = 8, retryBudgetSlack = 50,
      settings = {}, contracts, seeds = this.gateways.map(({ addresses: { control } }) => control)
    }: GatewayOptions = {}
  ): Promise<GatewayProcess> {
    const inner = await this._ports.take()
    const addresses = {
      front: `${LOOPBACK}:${await this._ports.take()}`,
      ready: `${LOOPBACK}:${await this._ports.take()}`,
      control: `${LOOPBACK}:${await this._ports.take()}`,
      directory: `${LOOPBACK}:${await this._ports.take()}`,
      heartbeats: `${LOOPBACK}:${inner}`
    }
    const gateway = new GatewayProcess(name, addresses, {
      node_name: name,
      ip: LOOPBACK,
      zone: 'zone-a',
      region: 'region-a',
      listen: addresses,
      port_range: [inner, inner],
      seeds,
      heartbeat_ms: 1_200,
      bootstrap: true,
      contracts,
      bounds: {
        drain_ms: 2_000, config_apply_ms: 2_000, grace_s: graceSeconds, lease_ms: 3_000, retry_budget_slack: retryBudgetSlack
      },
      provider: { address: storeAddress, ttl_min_ms: 1_000 },
      an_unknown_field: true,
      ...settings
    }, this._folder, { entry, environment, hasClockFault, hasLinkFault })
    gateway.startProcess()
    this.gateways.push(gateway)
    try {
      await gateway.untilStarted()
    } catch (error) {
      // Otherwise the processes of a hook that failed would keep the spec file from ending.
      await this.stop()
      throw error
    }
    gateway.changeSettings({ bootstrap: false })
    return gateway
  }

  async addReplica (id: string, service: string): Promise<ReplicaStandIn> {
    const replica = await ReplicaStandIn.start(id)
    this.replicas.push(replica)
    this.register(replica, service)
    return replica
  }

  register (replica: ReplicaStandIn, service: string, change: object = {}): void {
    this.store.put(`servers/${replica.id}`, {
      service, address: replica.address, zone: 'zone-a', version: 'v1', slots: 4, state: 'ready', cold_left_ms: 0, seq: 1, born: replica.startedAt, ...change
    })
  }

  async stop (): Promise<void> {
    for (const gateway of this.gateways) {
      gateway.signal('SIGKILL')
      // Resumes a process that SIGSTOP paused, so that it exits.
      gateway.signal('SIGCONT')
    }
    await Promise.all(this.gateways.map(async gateway => await gateway.exited))
    await Promise.all(this.replicas.map(async replica => { await replica.stop() }))
    await this.store.stop()
    this._ports.release()
    rmSync(this._folder, { recursive: true, force: true })
  }
}

/** A configuration with one route of each kind on `front.example`. */
export function configurationOf (version: number, change: object = {}): object {
  const route = { host: 'front.example', timeout_ms: 2_000, target_latency_ms: 300, priority: 0, service: 'desk', max_attempts: 2, public: false, sticky: false }
  return {
    version,
    routes: [
      { ...route, name: 'safe', path_prefix: '/safe/', kind: 'safe' },
      { ...route, name: 'unsafe', path_prefix: '/unsafe/', kind: 'unsafe' },
      { ...route, name: 'events', path_prefix: '/events/', kind: 'streaming', resumable: true },
      { ...route, name: 'long', path_prefix: '/long/', kind: 'streaming', resumable: true, timeout_ms: 12_000 },
      { ...route, name: 'once', path_prefix: '/once/', kind: 'streaming', resumable: false }
    ],
    services: [{ name: 'desk', health_path: '/health', max_conns: 20, protocol: 'h1', tls: false }],
    tenants: [{ name: 'tenant-a', api_keys: ['key-a'], isolated: true }],
    limits: { max_header_bytes: 8_192, max_body_bytes: 100_000, header_timeout_ms: 2_000, idle_timeout_ms: 4_000 },
    ...change
  }
}

/** Options of a caller's request. */
export interface CallOptions {
  method?: string
  headers?: http.OutgoingHttpHeaders
  body?: string
  /** Milliseconds after which the caller closes its connection. */
  leaveAfter?: number
}

/** Sends one request on a new connection; rejects where the connection breaks before the end of the answer. */
export async function call (
  address: string, path: string, { method = 'GET', headers = {}, body = '', leaveAfter }: CallOptions = {}
): Promise<CallerAnswer> {
  return await new Promise((resolve, reject) => {
    const request = http.request(`http://${address}${path}`, {
      method,
      agent: false,
      headers: {
        Host: 'front.example',
        'Api-Key': 'key-a',
        'X-Wasabihead-Attempt-Id': 'attempt-1',
        'X-Wasabihead-Deadline-Ms': '3000',
        ...headers
      }
    }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      response.once('error', reject)
      response.once('end', () => {
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() })
      })
    })
    request.once('error', reject)
    request.end(body)
    if (leaveAfter !== undefined) setTimeout(() => { request.destroy(new Error('the caller left')) }, leaveAfter)
  })
}

/** What a failed test shows of a gateway's log. */
const FAILURE_EVENTS = ['attempt-ended', 'attempt-silent', 'stream-origin', 'replica-run', 'service-', 'paused', 'heartbeat']
const FAILURE_LINES = new RegExp(`"outcome":"(refused|failed|broken)|"event":"(${FAILURE_EVENTS.join('|')})`)
const MAXIMUM_FAILURE_LINES = 60

/** For messages of failed tests: the last lines that a gateway logged of requests not served, and of what may have led to it. */
export function failureLines ({ name, output }: GatewayProcess): string {
  const lines = output.split('\n').filter(line => FAILURE_LINES.test(line))
  return [`${name} logged:`, ...lines.slice(-MAXIMUM_FAILURE_LINES)].join('\n')
}

/** Start of the replicas whose answers a test writes byte by byte, as they register and report it. */
export const RAW_REPLICA_STARTED_AT = 1_700_000_000_000

/** Answers a request for a replica's report; returns whether the head is of one. */
export function answerReport (socket: net.Socket, head: string): boolean {
  if (!head.startsWith('GET /v1/report ')) return false
  const report = JSON.stringify({ seq: 0, born: RAW_REPLICA_STARTED_AT })
  socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`)
  return true
}

/** Sends raw bytes; resolves with all bytes received until the connection closes. */
export async function sendBytes (address: string, text: string): Promise<string> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const socket = net.connect({ host, port: Number(port) })
    let answer = ''
    socket.on('data', data => { answer += data.toString('latin1') })
    // The server may reset the connection after its answer; 'close' follows in any case.
    socket.on('error', () => {})
    socket.once('close', () => { resolve(answer) })
    socket.write(text, 'latin1')
  })
}
