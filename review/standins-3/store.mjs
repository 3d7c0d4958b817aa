/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. Keeps everything in memory. */
import http from 'node:http'

const HISTORY_MS = 20_000
const PAGE_ITEMS = 500

export class Store {
  items = new Map()
  leases = new Map()
  revision = 100
  history = []
  nextLease = 70_000
  acknowledged = []

  async listen (host) {
    this.server = http.createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
      const chunks = []
      request.on('data', chunk => chunks.push(chunk))
      request.on('end', () => { this.answer(request, Buffer.concat(chunks).toString(), response) })
    })
    await new Promise(resolve => { this.server.listen(0, host, resolve) })
    this.address = `${host}:${this.server.address().port}`
    this.timer = setInterval(() => { this.expire() }, 50)
    return this.address
  }

  close () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  /** A write of the operator or of a replica. */
  put (key, value, lease = 0) {
    this.revision += 1
    const text = typeof value === 'string' ? value : JSON.stringify(value)
    const created = this.items.get(key)?.created ?? this.revision
    const item = { key, value: Buffer.from(text).toString('base64'), revision: this.revision, created, lease }
    this.items.set(key, item)
    this.history.push({ at: performance.now(), event: item })
    return this.revision
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.revision += 1
    this.history.push({ at: performance.now(), event: { key, revision: this.revision, deleted: true } })
  }

  expire () {
    const now = performance.now()
    for (const [id, { until }] of this.leases) if (until <= now) this.endLease(id)
    while (this.history.length > 0 && now - this.history[0].at > HISTORY_MS) {
      this.forgottenUpTo = this.history.shift().event.revision
    }
  }

  endLease (id) {
    this.leases.delete(id)
    for (const { key, lease } of [...this.items.values()]) if (lease === id) this.remove(key)
  }

  answer (request, body, response) {
    const url = new URL(request.url, 'http://store')
    const send = (status, value) => {
      const text = value === undefined ? '' : JSON.stringify(value)
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
      response.end(text)
    }
    const path = `${request.method} ${url.pathname}`
    const prefix = url.searchParams.get('path_prefix') ?? ''
    if (path === 'GET /v1/kv-key') {
      const item = this.items.get(url.searchParams.get('key'))
      return item === undefined ? send(404, {}) : send(200, { ...item, current_rev: this.revision })
    }
    if (path === 'GET /v1/kv-range') {
      const after = url.searchParams.get('after') ?? ''
      const found = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => a.key < b.key ? -1 : 1)
      return send(200, { items: found.slice(0, PAGE_ITEMS), has_more: found.length > PAGE_ITEMS, current_rev: this.revision })
    }
    if (path === 'GET /v1/kv-watch') {
      const after = Number(url.searchParams.get('after'))
      if (after < (this.forgottenUpTo ?? 0)) return send(410, {})
      const events = this.history.map(({ event }) => event)
        .filter(({ key, revision }) => revision > after && key.startsWith(prefix))
      // The gateway asks with wait_ms = 0; a longer wait is not needed here.
      return send(200, { events, current_rev: this.revision })
    }
    if (path === 'POST /v1/kv-lease') {
      const id = this.nextLease++
      const ttl = Math.max(1_000, JSON.parse(body).ttl_ms)
      this.leases.set(id, { ttl, until: performance.now() + ttl })
      return send(200, { lease: id, ttl_ms: ttl })
    }
    const id = Number(url.pathname.split('/').at(-1))
    if (path.startsWith('POST /v1/kv-keep/')) {
      const lease = this.leases.get(id)
      if (lease === undefined) return send(404, {})
      lease.until = performance.now() + lease.ttl
      return send(200, { ttl_ms: lease.ttl })
    }
    if (path.startsWith('DELETE /v1/kv-lease-end/')) {
      this.endLease(id)
      return send(200, {})
    }
    if (path === 'POST /v1/kv-txn') return this.transact(JSON.parse(body), send)
    send(404, {})
  }

  transact ({ expected = [], puts = [], remove = [] }, send) {
    const isForbidden = [...puts.map(({ key }) => key), ...remove].some(key => key.startsWith('op/') || key.startsWith('servers/'))
    if (isForbidden) return send(403, {})
    const isMet = expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return send(412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) })
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return send(404, {})
    for (const { key, value, lease = 0 } of puts) this.put(key, Buffer.from(value, 'base64').toString(), lease)
    for (const key of remove) this.remove(key)
    send(200, { revision: this.revision })
  }
}
