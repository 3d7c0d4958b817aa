/**
 * Stand-in of a replica of a plain service, as a process of its own. A request whose path holds "crash" ends the process as soon
 * as it begins to run, if the option says so.
 * Arguments: host, port, id, service, working time in ms, whether such requests crash it (1 or 0),
 * after how many ms.
 */
import http from 'node:http'
import net from 'node:net'
import { randomBytes } from 'node:crypto'

const [host, port, id, , workText, crashes, crashAfter = '0'] = process.argv.slice(2)
const born = Date.now()
const report = (event) => { process.send(event) }

const server = http.createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
  const chunks = []
  request.on('data', chunk => chunks.push(chunk))
  request.on('end', () => {
    const attempt = request.headers['x-wasabihead-attempt-id']
    const head = { 'X-Wasabihead-Instance-Id': id, ...(attempt === undefined ? {} : { 'X-Wasabihead-Attempt-Id': attempt }) }
    const send = (status, more, body = '') => {
      if (response.destroyed) return
      response.writeHead(status, { ...head, ...more, 'Content-Length': Buffer.byteLength(body) })
      response.end(body)
    }
    if (request.url === '/health') return send(200, {})
    const expected = request.headers['x-wasabihead-expect-instance']
    if (expected !== undefined && expected !== id) return send(421, {})
    if (request.url === '/v1/report') return send(200, { 'Content-Type': 'application/json' }, JSON.stringify({ stage: 'colocated', models: [], busy: false, seq: 0, queued: 0, active: 0, kv_used: 0, kv_total: 0, handles: 0, born }))
    if (attempt === undefined) return send(400, { 'X-Wasabihead-Not-Executed': '1' })
    const isCrash = request.url.includes('crash')
    report({ kind: 'run', id, attempt, url: request.url })
    if (isCrash && crashes === '1') return Number(crashAfter) > 0 ? setTimeout(crash, Number(crashAfter)) : crash()
    const timer = setTimeout(() => {
      report({ kind: 'done', id, attempt })
      send(200, { 'X-Wasabihead-Server-Seal': randomBytes(8).toString('hex'), 'Content-Type': 'text/plain' }, `answer to ${attempt}\n`)
    }, Number(workText))
    // Most replicas drop a request when its channel closes.
    response.once('close', () => { clearTimeout(timer) })
  })
})
const sockets = new Set()
server.on('connection', socket => {
  sockets.add(socket)
  socket.once('close', () => { sockets.delete(socket) })
})
/** What the system does for a process that ends: its port is closed and its connections are reset. */
function crash () {
  net.Server.prototype.close.call(server)
  for (const socket of sockets) socket.resetAndDestroy()
  setImmediate(() => { process.exit(1) })
}
server.listen(Number(port), host, () => { report({ kind: 'ready', id, port: server.address().port, born }) })
process.on('disconnect', () => process.exit())
