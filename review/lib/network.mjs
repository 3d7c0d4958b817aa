/** Small helpers for sockets and HTTP on loopback. */
import http from 'node:http'
import net from 'node:net'

export const LOOPBACK = '127.0.0.1'

export async function listen (server, port = 0, host = LOOPBACK) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server.address().port
}

export async function readBody (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

export function sleep (milliseconds) {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/** Ports that are free now, below the system's range for outgoing connections. */
export async function freePorts (count) {
  const ports = new Set()
  while (ports.size < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000)
    const server = net.createServer()
    try {
      await listen(server, port)
      ports.add(port)
    } catch {
      // In use: another one is tried.
    }
    server.close()
  }
  return [...ports]
}

/**
 * Sends one request on a new connection. Resolves with status 0 if the connection ended without an answer, or if there was none
 * when the caller gave up.
 */
export async function call (address, path, { method = 'GET', headers = {}, body = '', giveUpAfter } = {}) {
  const sentAt = performance.now()
  return await new Promise(resolve => {
    const finish = answer => { resolve({ ...answer, took: Math.round(performance.now() - sentAt) }) }
    const request = http.request(`http://${address}${path}`, { method, agent: false, headers }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.once('error', error => { finish({ status: 0, headers: response.headers, error: error.message, body: Buffer.concat(chunks).toString() }) })
      response.once('end', () => { finish({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() }) })
    })
    if (giveUpAfter !== undefined) setTimeout(() => { request.destroy(new Error('the caller gave up')) }, giveUpAfter).unref()
    request.once('error', error => { finish({ status: 0, headers: {}, body: '', error: error.message }) })
    request.end(body)
  })
}
