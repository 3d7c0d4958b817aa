/** Stand-in of a managed store of kept KV cache. Replicas of the same process save to it and fetch from it. */
import http from 'node:http'

export class CacheStore {
  constructor () {
    this.epoch = 77_120
    this.next = 1
    this.events = []
    /** By salt and part: tokens, and the weight version that made it. */
    this.parts = new Map()
    this.waiting = new Set()
  }

  async listen (host) {
    this.server = http.createServer((request, response) => { this._accept(request, response) })
    this.server.keepAliveTimeout = 30_000
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
  }

  close () {
    this.server?.closeAllConnections()
    this.server?.close()
  }

  /** A part that the store holds stays as it was first made. */
  save (salt, part, tokens, madeBy) {
    const key = `${salt}|${part}`
    if (this.parts.has(key)) return
    this.parts.set(key, { salt, part, tokens, ...madeBy })
    this.events.push([this.next++, '+', salt, part, tokens, madeBy.model])
    for (const wake of [...this.waiting]) wake()
  }

  fetch (salt, part) {
    return this.parts.get(`${salt}|${part}`)
  }

  _accept (request, response) {
    const url = new URL(request.url, 'http://store')
    const answer = content => {
      const text = JSON.stringify({ epoch: this.epoch, next: this.next, clock_ms: Date.now(), ...content })
      response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
      response.end(text)
    }
    if (url.pathname === '/v1/kv-list') {
      return answer({ held: [...this.parts.values()].map(({ salt, part, tokens, model }) => [salt, part, tokens, model]) })
    }
    if (url.pathname === '/v1/kv-events') {
      const since = Number(url.searchParams.get('since'))
      const until = performance.now() + Math.min(1000, Number(request.headers['wait-ms'] ?? 0))
      const check = (isLast = performance.now() >= until) => {
        const events = this.events.filter(([number]) => number >= since)
        if (events.length === 0 && !isLast) return
        this.waiting.delete(check)
        clearTimeout(timer)
        answer({ lost: false, events })
      }
      const timer = setTimeout(check, Math.max(0, until - performance.now()), true)
      this.waiting.add(check)
      return check()
    }
    request.resume()
    answer({})
  }
}
