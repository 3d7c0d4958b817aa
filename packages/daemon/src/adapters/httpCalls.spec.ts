import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callHttp } from './httpCalls.js'

/** Answers the first request of each connection; later ones on it stay without an answer. */
function createForgetfulServer (): http.Server {
  return http.createServer((request, response) => {
    const socket = request.socket as typeof request.socket & { hasAnswered?: boolean }
    if (socket.hasAnswered === true) return
    socket.hasAnswered = true
    response.end('answered')
  })
}

test('should open a new connection after one of the pool went silent', async () => {
  const server = createForgetfulServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`
  const call = async (timeout: number, isOnNewConnection = false) =>
    (await callHttp({ method: 'GET', url, timeout, isOnNewConnection })).isOk
  const outcomes = [await call(10_000), await call(300), await call(10_000), await call(10_000, true)]
  server.closeAllConnections()
  server.close()
  assert.equal(outcomes, [true, false, true, true])
})

test.run()
