/**
 * Stand-in of a managed store of KV cache, as PROTOCOL.md describes it: it never drops a part on its own. A part takes whole
 * blocks of 16 tokens; one that finds no room is lost. Saves are told to it by whoever starts the replicas.
 */
import http from 'node:http'

const BLOCK = 16
const EVENTS_KEPT = 3_000
const LAG_MS = 60

export class CacheStore {
  epoch = 70_000 + Math.floor(Math.random() * 10_000)
  parts = new Map()
  events = []
  number = 0
  used = 0
  waiting = new Set()

  constructor (capacity) {
    this.capacity = capacity
  }

  async listen (host) {
    this.server = http.createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
      const chunks = []
      request.on('data', chunk => chunks.push(chunk))
      request.on('end', () => { this.answer(request, Buffer.concat(chunks).toString(), response) })
    })
    await new Promise(resolve => { this.server.listen(0, host, resolve) })
    this.address = `${host}:${this.server.address().port}`
    return this.address
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  /** A part is complete once its transfer has ended, and is told a little later. */
  save (salt, part, tokens, model) {
    const key = `${salt} ${part}`
    const size = BLOCK * Math.ceil(tokens / BLOCK)
    if (this.parts.has(key) || this.used + size > this.capacity) return
    this.used += size
    this.parts.set(key, [salt, part, tokens, model])
    this.tell('+', salt, part, tokens, model)
  }

  free (salt, part) {
    const key = `${salt} ${part}`
    const held = this.parts.get(key)
    if (held === undefined) return
    this.parts.delete(key)
    this.used -= BLOCK * Math.ceil(held[2] / BLOCK)
    this.tell('-', salt, part, 0, held[3])
  }

  tell (sign, salt, part, tokens, model) {
    setTimeout(() => {
      this.events.push([++this.number, sign, salt, part, tokens, model])
      if (this.events.length > EVENTS_KEPT) this.events.shift()
      for (const wake of [...this.waiting]) wake()
    }, LAG_MS)
  }

  answer (request, body, response) {
    const url = new URL(request.url, 'http://store')
    const send = (status, value) => {
      const text = JSON.stringify({ epoch: this.epoch, clock_ms: Date.now(), ...value })
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
    }
    const path = `${request.method} ${url.pathname}`
    if (path === 'GET /v1/kv-list') return send(200, { next: this.number, held: [...this.parts.values()], partial: [] })
    if (path === 'GET /v1/report') return send(200, { kv_used: this.used, kv_total: this.capacity })
    if (path === 'POST /v1/kv-free') {
      const call = JSON.parse(body)
      if (call.epoch !== undefined && call.epoch !== this.epoch) return send(409, {})
      if (call.until_ms !== undefined && call.until_ms < Date.now()) return send(409, {})
      for (const [salt, part] of call.parts) this.free(salt, part)
      return send(200, {})
    }
    if (path !== 'GET /v1/kv-events') return send(404, {})
    const since = Number(url.searchParams.get('since'))
    const wait = Math.min(1_000, Number(request.headers['wait-ms'] ?? 0))
    const tell = () => {
      clearTimeout(timer)
      this.waiting.delete(tell)
      const isLost = since < this.number - this.events.length
      send(200, { next: this.number, lost: isLost, events: isLost ? [] : this.events.filter(([number]) => number > since) })
    }
    const timer = setTimeout(tell, since < this.number ? 0 : wait)
    if (since >= this.number) this.waiting.add(tell)
  }
}
