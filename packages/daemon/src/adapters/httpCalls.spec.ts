import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callHttp } from './httpCalls.js'

/** Answers only the first request of each connection. */
function createSingleAnswerServer (): http.Server {
  return http.createServer((request, response) => {
    const socket = request.socket as typeof request.socket & { hasAnswered?: boolean }
    if (socket.hasAnswered === true) return
    socket.hasAnswered = true
    response.end('answered')
  })
}

test('should open a new connection after a pooled one stopped answering', async () => {
  const server = createSingleAnswerServer()
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
