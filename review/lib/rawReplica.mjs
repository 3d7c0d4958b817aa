/** Stand-in of a replica that writes its answers as bytes, for answers that an HTTP library would not write. */
import net from 'node:net'
import { LOOPBACK, listen } from './network.mjs'
import { Replica } from './replica.mjs'

const STATUS_TEXTS = { 200: 'OK', 500: 'Internal Server Error' }
const WORK_MILLISECONDS = 20
const HEAD_END = '\r\n\r\n'

export class RawReplica extends Replica {
  /** @param answer returns the bytes of the answer, in latin1, to a request; the whole of it is written at once */
  constructor (fleet, id, options, answer) {
    super(fleet, id, options)
    this.answer = answer
    this.server = net.createServer(socket => { this.serve(socket) })
    this.sockets = new Set()
  }

  async start () {
    this.address = `${LOOPBACK}:${await listen(this.server)}`
    this.fleet.record(`replica ${this.id} of ${this.service} starts`)
    this.register()
    this.timer = setInterval(() => { this.register() }, 1_200)
  }

  stop () {
    clearInterval(this.timer)
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  serve (socket) {
    let bytes = ''
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('error', () => {})
    socket.on('data', data => {
      bytes += data.toString('latin1')
      for (let end = bytes.indexOf(HEAD_END); end >= 0; end = bytes.indexOf(HEAD_END)) {
        const [line, ...fields] = bytes.slice(0, end).split('\r\n')
        const headers = Object.fromEntries(fields.map(field => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]))
        const next = end + HEAD_END.length + Number(headers['content-length'] ?? 0)
        if (bytes.length < next) return
        bytes = bytes.slice(next)
        const [method, url] = line.split(' ')
        const attempt = headers['x-wasabihead-attempt-id']
        this.ran.push({ at: performance.now(), attempt, url, method, headers })
        this.fleet.record(`replica ${this.id} runs ${method} ${url} attempt ${attempt}`)
        setTimeout(() => { socket.write(Buffer.from(this.answer({ url, attempt, headers }), 'latin1')) }, WORK_MILLISECONDS)
      }
    })
  }

  /** The bytes of a sound answer with a length. */
  whole (attempt, status, body, type = 'text/plain') {
    const headers = { ...this.sealed(attempt), 'Content-Type': type, 'Content-Length': body.length }
    const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    return `HTTP/1.1 ${status} ${STATUS_TEXTS[status]}\r\n${fields}\r\n${body}`
  }
}
