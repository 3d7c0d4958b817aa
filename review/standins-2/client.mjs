/** A consumer that sends one request on a channel of its own, or on one that it keeps. */
import http from 'node:http'
import { randomBytes } from 'node:crypto'

export const newId = () => randomBytes(8).toString('hex')

/** Resolves with what the consumer saw; never rejects. */
export async function send (recorder, address, { method = 'POST', path, host = 'service.example', headers = {}, body, timeout = 4000, agent = false, id = newId() }) {
  const [hostname, port] = address.split(':')
  const sentAt = performance.now()
  return await new Promise(resolve => {
    const finish = outcome => {
      recorder.write(`client ${id} ${method} ${path}: ${outcome.status ?? 'none'} ${outcome.isComplete === true ? 'complete' : `ended (${outcome.error ?? ''})`} after ${Math.round(performance.now() - sentAt)} ms`)
      resolve({ id, sentAt, after: performance.now() - sentAt, ...outcome })
    }
    const request = http.request({
      hostname,
      port,
      method,
      path,
      agent,
      headers: {
        Host: host,
        'X-Wasabihead-Attempt-Id': id,
        'X-Wasabihead-Deadline-Ms': String(timeout),
        ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
        ...headers
      }
    }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.once('close', () => {
        finish({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString('latin1'), isComplete: response.complete })
      })
    })
    request.once('error', error => { finish({ error: error.code ?? error.message }) })
    request.setTimeout(timeout + 1000, () => { request.destroy(new Error('timed out')) })
    request.end(body)
  })
}
