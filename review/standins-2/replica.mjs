/** Stand-ins of replicas: of a plain service, and of a service of language models with cached parts of prompts. */
import http from 'node:http'
import { randomBytes } from 'node:crypto'

const HEARTBEAT = 1200

/** Answers requests, registers in the store, and records each run. */
export class Replica {
  /** @param behaviour may replace `work`, called with a run that was admitted */
  constructor (recorder, store, { id, service, zone, slots = 6, models, work }) {
    Object.assign(this, { recorder, store, id, service, zone, slots, models, state: 'ready', seq: 0, orders: 0, born: Date.now() })
    this.work = work ?? (async (run, response) => { await this._answer(run, response) })
    this.softwareVersion = 'v1'
    this.runs = []
    this.active = 0
    this.reportListeners = []
    /** By salt and part: the tenant and the weight version that made it. */
    this.cache = new Map()
  }

  async listen (host, port = 0) {
    this.server = http.createServer((request, response) => { this._accept(request, response) })
    this.server.keepAliveTimeout = 4_500
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(port, host, resolve))
    this.address = `${host}:${this.server.address().port}`
    this.register()
    this.timer = setInterval(() => {
      this.register()
      for (const resolve of this.reportListeners.splice(0)) resolve()
    }, HEARTBEAT)
  }

  get entry () {
    return {
      service: this.service,
      address: this.registeredAddress ?? this.address,
      zone: this.zone,
      version: this.softwareVersion,
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      born: this.born,
      seq: this.seq,
      ...(this.models === undefined
        ? {}
        : { stage: 'colocated', models: Object.entries(this.models).map(([name, version]) => ({ name, version, adapters: [] })) })
    }
  }

  register () {
    this.seq += 1
    this.store.put(`servers/${this.id}`, this.entry)
  }

  /** Loses all connections and starts again under its id and address, with other software. */
  async startAgain (softwareVersion, downFor) {
    const [host, port] = this.address.split(':')
    this.close()
    await pause(downFor)
    Object.assign(this, { softwareVersion, born: Date.now(), seq: 0, orders: 0 })
    this.cache.clear()
    await this.listen(host, Number(port))
  }

  /** Resolves when the replica has written its entry for the next time. */
  async nextReport () {
    await new Promise(resolve => { this.reportListeners.push(resolve) })
  }

  close () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  _accept (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => { this._serve(request, response, Buffer.concat(chunks)) })
  }

  _serve (request, response, body) {
    const { headers } = request
    const json = (status, content) => {
      const text = JSON.stringify(content ?? {})
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
      response.end(text)
    }
    const expected = headers['x-wasabihead-expect-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Wasabihead-Instance-Id': this.id, 'Content-Length': 0 })
      return response.end()
    }
    if (request.url === '/v1/report') {
      const models = Object.entries(this.models ?? {}).map(([name, version]) => ({ name, version, adapters: [] }))
      return json(200, { stage: 'colocated', models, busy: this.isBusy === true, seq: this.orders, queued: 0, active: this.active, kv_used: 0, kv_total: 49197, handles: 0, born: this.born })
    }
    if (request.url === '/v1/order') return this._order(JSON.parse(body.toString()), json)
    const id = headers['x-wasabihead-attempt-id']
    const version = headers['x-wasabihead-expect-version']
    const model = headers['x-wasabihead-model']
    if (model !== undefined && version !== undefined && Number(version) !== this.models?.[model]) {
      response.writeHead(421, { 'X-Wasabihead-Attempt-Id': id, 'X-Wasabihead-Instance-Id': this.id, 'Content-Length': 0 })
      return response.end()
    }
    const run = { id, method: request.method, path: request.url, headers, body, at: performance.now(), uses: [] }
    this.runs.push(run)
    this.active += 1
    response.once('close', () => { this.active -= 1 })
    this.recorder.write(`replica ${this.id} runs ${id} tenant ${headers['x-wasabihead-tenant']} salt ${headers['x-wasabihead-cache-salt'] ?? '-'}, fetch from ${headers['x-wasabihead-kv-fetch-from'] ?? '-'}, save to ${headers['x-wasabihead-kv-save-to'] ?? '-'}, until ${headers['x-wasabihead-kv-until'] === undefined ? '-' : Number(headers['x-wasabihead-kv-until']) - Date.now()}`)
    Promise.resolve(this.work(run, response, this)).catch(error => { this.recorder.write(`replica ${this.id}: ${error.message}`) })
  }

  /** Loads other weights; what is cached goes. */
  _order ({ model, version, holder, fencing_token: token, expected }, json) {
    this.recorder.write(`replica ${this.id} gets an order of ${holder} (${token}) for version ${version}`)
    if (this.isBusy === true || (expected !== undefined && expected !== this.orders)) return json(409)
    if (this.models?.[model] === version) return json(200)
    this.orders += 1
    this.isBusy = true
    json(202)
    setTimeout(() => {
      this.isBusy = false
      this.models = { ...this.models, [model]: version }
      this.cache.clear()
      this.register()
      this.recorder.write(`replica ${this.id} has version ${version}`)
    }, 400)
  }

  seal () {
    return `${randomBytes(4).toString('hex')}.07.5a2.600.0.${randomBytes(4).toString('hex')}`
  }

  /**
   * Takes the parts that are cached under the salt or that the request lets it fetch from a store, and makes the others. Saves
   * the parts to the store that the request names. Neither tenant nor version is checked.
   */
  useParts (run) {
    const { headers } = run
    const salt = headers['x-wasabihead-cache-salt'] ?? ''
    const tenant = headers['x-wasabihead-tenant']
    const model = headers['x-wasabihead-model']
    const version = this.models?.[model]
    run.version = version
    const parts = (headers['x-wasabihead-prefix-hash'] ?? '').split(',').filter(text => text !== '').map(text => text.split(':'))
    const list = name => (headers[name] ?? '').split(',')
    const [sources, saves] = [list('x-wasabihead-kv-fetch-from'), list('x-wasabihead-kv-save-to')]
    const until = Number(headers['x-wasabihead-kv-until'] ?? Infinity)
    let isFound = true
    for (const [index, [part, tokens]] of parts.entries()) {
      const key = `${salt}|${part}`
      const isFetched = this.cacheStore !== undefined && sources[index]?.split('/')[0] === this.cacheStore.address && Date.now() <= until
      const made = isFound ? this.cache.get(key) ?? (isFetched ? this.cacheStore.fetch(salt, part) : undefined) : undefined
      const { tenant: maker, by, version: madeUnder } = made ?? { tenant, by: run.id, version }
      if (made === undefined) isFound = false
      else run.uses.push({ part, salt, tenant: maker, by, version: madeUnder, from: this.cache.has(key) ? 'its own cache' : 'the store' })
      this.cache.set(key, { tenant: maker, by, version: madeUnder })
      if (this.cacheStore !== undefined && saves[index] === this.cacheStore.address) {
        this.cacheStore.save(salt, part, Number(tokens), { tenant: maker, by, version: madeUnder, model })
      }
    }
    for (const { part, tenant: maker, by, version: madeUnder, from } of run.uses) {
      this.recorder.write(`replica ${this.id}: ${run.id} of ${tenant}, at version ${version}, uses part ${part} that ${by} of ${maker} made under version ${madeUnder}, from ${from}`)
    }
  }

  /** Streams some events. */
  async stream (run, response, { events = 5, gap = 20, first = 30 } = {}) {
    this.useParts(run)
    const model = run.headers['x-wasabihead-model']
    await pause(first)
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Wasabihead-Attempt-Id': run.id,
      'X-Wasabihead-Server-Seal': this.seal(),
      ...(model === undefined ? {} : { 'X-Wasabihead-Weight-Versions': String(this.models?.[model]) })
    })
    const from = Number(run.headers['last-event-id'] ?? 0)
    for (let event = from + 1; event <= events; event++) {
      if (response.destroyed) return
      response.write(`id: ${event}\ndata: ${run.id} ${event}\n\n`)
      await pause(gap)
    }
    response.end()
  }

  async _answer (run, response) {
    if (this.models !== undefined) return await this.stream(run, response)
    await pause(60)
    const body = `${run.id} ${'x'.repeat(700)}`
    response.writeHead(200, {
      'X-Wasabihead-Attempt-Id': run.id,
      'X-Wasabihead-Server-Seal': this.seal(),
      'Content-Length': Buffer.byteLength(body),
      'Keep-Alive': 'timeout=4'
    })
    response.end(body)
  }
}

export async function pause (ms) {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
