import http from 'node:http'
import net, { type AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callHttp } from './httpCalls.js'

/** More than the kernel buffers of a connection whose receiver does not read. */
const LONG_REQUEST = 12_000_000

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

const BODY = '{"a":1}'
const framings: { title: string, whole: string }[] = [
  { title: 'with a length', whole: `HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}` },
  { title: 'in chunks', whole: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n${BODY}\r\n0\r\n\r\n` },
  { title: 'without a length', whole: `HTTP/1.1 200 OK\r\nServer: x\r\n\r\n${BODY}` }
]
for (const { title, whole } of framings) {
  for (const end of ['FIN', 'RST'] as const) {
    test(`should fail a call whose answer ${title} is cut by ${end}`, async () => {
      let place = 0
      const server = net.createServer(socket => {
        socket.on('error', () => {})
        socket.on('data', () => {
          socket.write(whole.slice(0, place))
          if (end === 'FIN') socket.end()
          else socket.resetAndDestroy()
        })
      })
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`
      // An orderly close ends an answer without a length (RFC 9112, 6.3).
      const cuts = title === 'without a length' && end === 'FIN' ? whole.indexOf('\r\n\r\n') + 4 : whole.length
      const takenForWhole: number[] = []
      for (place = 0; place < cuts; place++) {
        if ((await callHttp({ method: 'GET', url, timeout: 10_000 })).isOk) takenForWhole.push(place)
      }
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
      assert.equal(takenForWhole, [])
    })
  }
}

// Guards against a part of an answer without a length that is taken for the whole: its connection ends while the request is being
// written, and is reset by what is still sent.
for (const delay of [0, 20]) {
  test(`should fail a call whose connection ends during a long request and is reset ${delay} ms later`, async () => {
    const server = net.createServer({ allowHalfOpen: true }, socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.pause()
        socket.end('HTTP/1.1 200 OK\r\nServer: x\r\n\r\n{"a":1}')
        setTimeout(() => { socket.resetAndDestroy() }, delay)
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`
    const call = async (): Promise<boolean> => (
      await callHttp({ method: 'POST', url, json: 'x'.repeat(LONG_REQUEST), timeout: 10_000, isOnNewConnection: true })).isOk
    const outcomes = [await call(), await call(), await call()]
    server.close()
    assert.equal(outcomes, [false, false, false])
  })
}

// Guards against an invalid status that is passed on as that of an answer (RFC 9110, 15).
for (const status of ['000', '099', '600', '999']) {
  test(`should fail a call that is answered with status ${status}`, async () => {
    const server = net.createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => { socket.write(`HTTP/1.1 ${status} Status\r\nContent-Length: 2\r\n\r\nhi`) })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`
    const { isOk } = await callHttp({ method: 'GET', url, timeout: 1_000, isOnNewConnection: true })
    server.close()
    assert.is(isOk, false)
  })
}

test.run()
