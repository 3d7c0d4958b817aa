/** Requests to the control addresses of other instances. */
import http from 'node:http'
import type { Milliseconds } from '@wasabihead/coordination'

const OK = 200

/**
 * Requests a path at a control address. Rejects if the answer has another status than 200, does not arrive whole before the
 * timeout, or is too large.
 */
export async function requestFromPeer (
  controlAddress: string, path: string, timeout: Milliseconds, maximumBytes: number
): Promise<string> {
  return await new Promise<string>((resolve, reject) => {
    const options = { signal: AbortSignal.timeout(timeout), agent: false }
    const request = http.get(`http://${controlAddress}${path}`, options, response => {
      const chunks: Buffer[] = []
      let length = 0
      if (response.statusCode !== OK) request.destroy(new Error(`status ${response.statusCode}`))
      response.on('data', (chunk: Buffer) => {
        length += chunk.length
        if (length > maximumBytes) request.destroy(new Error(`the answer exceeds ${maximumBytes} bytes`))
        chunks.push(chunk)
      })
      response.once('end', () => { resolve(Buffer.concat(chunks).toString('utf8')) })
      response.once('error', reject)
    })
    request.once('error', reject)
  })
}
