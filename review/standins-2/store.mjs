/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. The operator and the replicas write to it directly. */
import http from 'node:http'

const MAXIMUM_ITEMS = 500

export class MetadataStore {
  constructor () {
    this.revision = 100
    this.items = new Map()
    this.history = []
    this.leases = new Map()
    this.nextLease = 1
    this.waiting = new Set()
    /** Called with each call before it is carried out; returns true if it has taken over the answer. */
    this.intercept = undefined
    this.calls = []
  }

  async listen (host, port) {
    this.server = http.createServer((request, response) => { this._accept(request, response) })
    this.server.keepAliveTimeout = 60_000
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(port, host, resolve))
    this.address = `${host}:${this.server.address().port}`
    this.timer = setInterval(() => { this._expire() }, 50)
  }

  close () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server?.close()
  }

  /** Writes a value; returns the revision, which is the acknowledgement. */
  put (key, value, lease = 0) {
    const text = typeof value === 'string' ? value : JSON.stringify(value)
    return this._put(key, Buffer.from(text).toString('base64'), lease)
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.revision += 1
    this._record({ key, revision: this.revision, deleted: true })
  }

  get (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString()
  }

  _put (key, value, lease) {
    this.revision += 1
    const created = this.items.get(key)?.created ?? this.revision
    const item = { key, value, revision: this.revision, created, lease }
    this.items.set(key, item)
    this._record(item)
    return this.revision
  }

  _record (event) {
    this.history.push(event)
    for (const wake of [...this.waiting]) wake()
  }

  _expire () {
    const now = performance.now()
    for (const [id, lease] of this.leases) if (now >= lease.until) this._endLease(id)
  }

  _endLease (id) {
    this.leases.delete(id)
    for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key)
  }

  _accept (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString())
      const call = { method: request.method, path: url.pathname, query: url.searchParams, body, socket: request.socket }
      const answer = (status, content) => {
        if (response.destroyed) return
        const text = content === undefined ? '' : JSON.stringify(content)
        response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
        response.end(text)
      }
      const perform = () => { this._perform(call, answer) }
      if (this.intercept?.(call, { answer, perform, response }) === true) return
      perform()
    })
  }

  _perform ({ method, path, query, body }, answer) {
    const route = `${method} ${path}`
    if (route === 'GET /v1/kv-key') {
      const item = this.items.get(query.get('key'))
      if (item === undefined) return answer(404, { current_rev: this.revision })
      return answer(200, { ...item, current_rev: this.revision })
    }
    if (route === 'GET /v1/kv-range') {
      const prefix = query.get('path_prefix') ?? ''
      const after = query.get('after') ?? ''
      const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
      const items = keys.slice(0, MAXIMUM_ITEMS).map(key => this.items.get(key))
      return answer(200, { items, has_more: keys.length > items.length, current_rev: this.revision })
    }
    if (route === 'GET /v1/kv-watch') {
      const prefix = query.get('path_prefix') ?? ''
      const after = Number(query.get('after'))
      const found = () => this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
      const until = performance.now() + Number(query.get('wait_ms') ?? 0)
      const check = (isLast = performance.now() >= until) => {
        const events = found()
        if (events.length === 0 && !isLast) return
        this.waiting.delete(check)
        clearTimeout(timer)
        answer(200, { events, current_rev: this.revision })
      }
      const timer = setTimeout(check, Math.max(0, until - performance.now()), true)
      this.waiting.add(check)
      return check()
    }
    if (route === 'POST /v1/kv-txn') {
      const { expected = [], puts = [], remove = [] } = body
      const holds = expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
      if (!holds) return answer(412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) })
      if (puts.some(({ lease }) => lease > 0 && !this.leases.has(lease))) return answer(404)
      for (const { key, value, lease } of puts) this._put(key, value, lease ?? 0)
      for (const key of remove) this.remove(key)
      return answer(200, { revision: this.revision })
    }
    if (route === 'POST /v1/kv-lease') {
      const lease = this.nextLease++
      this.leases.set(lease, { ttl: body.ttl_ms, until: performance.now() + body.ttl_ms })
      return answer(200, { lease, ttl_ms: body.ttl_ms })
    }
    const keep = /^POST \/v1\/kv-keep\/(\d+)$/.exec(route)
    if (keep !== null) {
      const lease = this.leases.get(Number(keep[1]))
      if (lease === undefined) return answer(404)
      lease.until = performance.now() + lease.ttl
      return answer(200, { ttl_ms: lease.ttl })
    }
    const end = /^DELETE \/v1\/kv-lease-end\/(\d+)$/.exec(route)
    if (end !== null) {
      this._endLease(Number(end[1]))
      return answer(200, {})
    }
    answer(404)
  }
}
