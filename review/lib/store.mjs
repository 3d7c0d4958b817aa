/** Stand-in of the platform's metadata store, with the drill of the seventh letter: away for a moment, then an older copy. */
import http from 'node:http'
import { LOOPBACK, listen, readBody } from './network.mjs'

const SWEEP_MILLISECONDS = 50
const COPY_MILLISECONDS = 100
const COPIES_KEPT_MILLISECONDS = 10_000

function encode (value) {
  return Buffer.from(JSON.stringify(value)).toString('base64')
}

/** Keeps items, leases and all changes in memory. */
export class Store {
  constructor () {
    this.state = { revision: 1, nextLease: 1, items: new Map(), changes: [], leases: new Map(), compacted: 0 }
    this.era = 1
    this.isAway = false
    this.copies = []
    /** Called with the key and the value of each write that a gateway made. */
    this.onGatewayWrite = () => {}
    this.server = http.createServer((request, response) => { this.answer(request, response).catch(() => { response.destroy() }) })
    this.sweepTimer = setInterval(() => { this.expireLeases() }, SWEEP_MILLISECONDS)
    this.copyTimer = setInterval(() => { this.keepCopy() }, COPY_MILLISECONDS)
  }

  async start () {
    this.address = `${LOOPBACK}:${await listen(this.server)}`
  }

  stop () {
    clearInterval(this.sweepTimer)
    clearInterval(this.copyTimer)
    this.server.closeAllConnections()
    this.server.close()
  }

  get revision () {
    return this.state.revision
  }

  /** Writes for the operator or a replica. Returns the revision, or undefined while the store is away. */
  put (key, value) {
    return this.isAway ? undefined : this.apply({ puts: [{ key, value: encode(value), lease: 0 }], remove: [] })
  }

  value (key) {
    const item = this.state.items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  /** Is away for a duration, then continues from the copy that was the newest one `age` milliseconds before. */
  async drill (duration, age) {
    const limit = performance.now() - age
    const copy = this.copies.findLast(({ at }) => at <= limit) ?? this.copies[0]
    const copyAge = Math.round(performance.now() - copy.at)
    this.isAway = true
    this.server.closeAllConnections()
    const before = this.state.revision
    await new Promise(resolve => { setTimeout(resolve, duration) })
    const now = performance.now()
    const leases = new Map([...copy.state.leases].map(([id, { timeToLive }]) => [id, { timeToLive, endsAt: now + timeToLive }]))
    this.state = { ...copy.state, items: new Map(copy.state.items), changes: [...copy.state.changes], leases }
    this.copies = []
    this.era += 1
    this.isAway = false
    return { before, after: this.state.revision, age: copyAge }
  }

  keepCopy () {
    const at = performance.now()
    const { items, changes, leases } = this.state
    this.copies.push({ at, state: { ...this.state, items: new Map(items), changes: [...changes], leases: new Map(leases) } })
    this.copies = this.copies.filter(copy => at - copy.at < COPIES_KEPT_MILLISECONDS)
  }

  expireLeases () {
    const now = performance.now()
    if (this.isAway) return
    for (const [id, { endsAt }] of this.state.leases) {
      if (now < endsAt) continue
      this.state.leases.delete(id)
      const remove = [...this.state.items].filter(([, { lease }]) => lease === id).map(([key]) => key)
      if (remove.length > 0) this.apply({ puts: [], remove })
    }
  }

  apply ({ puts, remove }) {
    const { state } = this
    state.revision += 1
    const { revision } = state
    for (const key of remove) if (state.items.delete(key)) state.changes.push({ key, revision, deleted: true })
    for (const { key, value, lease } of puts) {
      const item = { key, value, revision, created: state.items.get(key)?.created ?? revision, lease }
      state.items.set(key, item)
      state.changes.push(item)
    }
    return revision
  }

  async answer (request, response) {
    const body = await readBody(request)
    if (this.isAway) {
      request.socket.destroy()
      return
    }
    const url = new URL(request.url, 'http://store')
    const [status, content] = this.result(request.method, url, body === '' ? {} : JSON.parse(body))
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(this.era) })
    response.end(content === undefined ? '' : JSON.stringify(content))
  }

  result (method, { pathname, searchParams }, body) {
    const { state } = this
    if (method === 'GET' && pathname === '/v1/kv-key') {
      const item = state.items.get(searchParams.get('key'))
      return item === undefined ? [404, { current_rev: state.revision }] : [200, { ...item, current_rev: state.revision }]
    }
    const prefix = searchParams.get('path_prefix') ?? ''
    if (method === 'GET' && pathname === '/v1/kv-range') {
      const after = searchParams.get('after') ?? ''
      const keys = [...state.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
      return [200, { items: keys.map(key => state.items.get(key)), has_more: false, current_rev: state.revision }]
    }
    if (method === 'GET' && pathname === '/v1/kv-watch') {
      const after = Number(searchParams.get('after'))
      // A revision that this store doesn't have.
      if (after > state.revision) return [410, undefined]
      const events = state.changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
      return [200, { events, current_rev: state.revision }]
    }
    if (method === 'POST' && pathname === '/v1/kv-txn') {
      const { expected = [], puts = [], remove = [] } = body
      const holds = expected.every(({ key, revision }) => (state.items.get(key)?.revision ?? 0) === revision)
      if (!holds) return [412, { items: expected.flatMap(({ key }) => state.items.get(key) ?? []) }]
      if (puts.some(({ lease }) => lease !== 0 && lease !== undefined && !state.leases.has(lease))) return [404, undefined]
      const revision = this.apply({ puts: puts.map(put => ({ ...put, lease: put.lease ?? 0 })), remove })
      for (const { key } of puts) this.onGatewayWrite(key, this.value(key), revision)
      return [200, { revision }]
    }
    if (method === 'POST' && pathname === '/v1/kv-lease') {
      const lease = state.nextLease++
      state.leases.set(lease, { timeToLive: body.ttl_ms, endsAt: performance.now() + body.ttl_ms })
      return [200, { lease, ttl_ms: body.ttl_ms }]
    }
    const lease = Number(pathname.split('/').at(-1))
    if (method === 'POST' && pathname.startsWith('/v1/kv-keep/')) {
      const known = state.leases.get(lease)
      if (known === undefined) return [404, undefined]
      state.leases.set(lease, { ...known, endsAt: performance.now() + known.timeToLive })
      return [200, { ttl_ms: known.timeToLive }]
    }
    return [404, undefined]
  }
}
