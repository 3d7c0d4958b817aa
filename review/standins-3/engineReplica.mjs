/**
 * Stand-in of a model replica, as a process of its own. It keeps the parts of the prompts that it has read, under the text of
 * X-Wasabihead-Cache-Salt (an absent one counts as one text shared by all), and finds a part only under the same text and if all
 * parts before it are there. Each part is kept with the tenant whose request made it.
 * Arguments: host, port, id, service, time to the first event in ms.
 */
import http from 'node:http'
import { randomBytes } from 'node:crypto'

const [host, port, id, , firstText] = process.argv.slice(2)
const born = Date.now()
const report = event => { process.send(event) }
const MODELS = [{ name: 'daka510000', version: 1, adapters: [] }]
const NO_SALT = '(none)'
/** Number of events of an answer, and the time between them in ms. */
const EVENTS = 4
const PAUSE = 20

/** Tenants by salt and part. */
const kept = new Map()

/** The parts of the prompt, without their numbers of tokens; the last one belongs to the request itself. */
const partsOf = text => (text ?? '').split(',').flatMap(entry => entry.split(':')[0] || [])

function read (salt, parts, tenant) {
  const space = kept.get(salt) ?? new Map()
  kept.set(salt, space)
  const used = []
  let isPrefix = true
  for (const part of parts) {
    const maker = space.get(part)
    isPrefix &&= maker !== undefined
    if (isPrefix) used.push([part, maker])
    else space.set(part, tenant)
  }
  return used
}

const server = http.createServer({ keepAliveTimeout: 15_000, maxHeaderSize: 262_144 }, (request, response) => {
  const { headers } = request
  request.resume()
  request.on('end', () => {
    const attempt = headers['x-wasabihead-attempt-id']
    const head = { 'X-Wasabihead-Instance-Id': id, ...(attempt === undefined ? {} : { 'X-Wasabihead-Attempt-Id': attempt }) }
    const send = (status, more, body = '') => { response.writeHead(status, { ...head, ...more, 'Content-Length': Buffer.byteLength(body) }).end(body) }
    if (request.url === '/health') return send(200, {})
    const expected = headers['x-wasabihead-expect-instance']
    if (expected !== undefined && expected !== id) return send(421, {})
    if (request.url === '/v1/report') {
      return send(200, { 'Content-Type': 'application/json' }, JSON.stringify({ stage: 'colocated', models: MODELS, busy: false, seq: 0, queued: 0, active: 0, kv_used: 0, kv_total: 47292, handles: 0, born }))
    }
    const version = headers['x-wasabihead-expect-version']
    if (version !== undefined && version !== '1') return send(421, {})
    if (attempt === undefined) return send(400, { 'X-Wasabihead-Not-Executed': '1' })
    const salt = headers['x-wasabihead-cache-salt'] ?? NO_SALT
    const tenant = headers['x-wasabihead-tenant']
    const saves = headers['x-wasabihead-kv-save-to']
    report({ kind: 'run', id, attempt, tenant, salt, saves, parts: saves === undefined ? undefined : headers['x-wasabihead-prefix-hash'], used: read(salt, partsOf(headers['x-wasabihead-prefix-hash']), tenant) })
    response.writeHead(200, { ...head, 'X-Wasabihead-Server-Seal': randomBytes(8).toString('hex'), 'X-Wasabihead-Weight-Versions': '1', 'Content-Type': 'text/event-stream' })
    let event = 0
    const write = () => {
      event += 1
      response.write(`id: ${event}\ndata: piece ${event} of ${attempt}\n\n`)
      if (event < EVENTS) timer = setTimeout(write, PAUSE)
      else response.end()
    }
    let timer = setTimeout(write, Number(firstText))
    response.once('close', () => { clearTimeout(timer) })
  })
})
server.listen(Number(port), host, () => { report({ kind: 'ready', id, port: server.address().port, born }) })
process.on('disconnect', () => process.exit())
