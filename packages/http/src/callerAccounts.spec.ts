/** Tests which connections the accounts of callers hold back, and when they are read on. */
import http from 'node:http'
import net, { type AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CallerGuard, CheckedConnections } from './index.js'

const REQUESTS_AHEAD = 8
const REQUESTS = 40
/** With two of them behind another answer, Node.js pauses the connection at the next request. */
const QUEUED_ANSWER = 'q'.repeat(10_000)
const CHECK_INTERVAL_MILLISECONDS = 10

// Guards against a process that ends by an assertion of Node.js: it was read on while Node.js still paused the connection, since
// answers behind the one that was taken waited.
test('should not read on a connection that Node.js pauses, and serve all of its requests', async () => {
  const responses: http.ServerResponse[] = []
  const server = http.createServer((_request, response) => {
    responses.push(response)
    if (responses.length > REQUESTS_AHEAD) response.end(QUEUED_ANSWER)
  })
  const limits = { connection: Infinity, address: Infinity, total: Infinity }
  const guard = new CallerGuard({ ...limits, requestsAhead: REQUESTS_AHEAD }, () => performance.now(), () => {})
  const connections = new CheckedConnections(server, guard)
  server.on('clientError', (error, socket) => { connections.refuse(error, socket, '') })
  const uncaught: string[] = []
  const onUncaught = (error: Error): void => { uncaught.push(String(error)) }
  process.on('uncaughtException', onUncaught)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const caller = net.connect((server.address() as AddressInfo).port, '127.0.0.1')
  caller.pause()
  caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(REQUESTS))
  const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) await new Promise(resolve => { setTimeout(resolve, CHECK_INTERVAL_MILLISECONDS) })
  }
  await until(() => responses.length === REQUESTS_AHEAD)
  for (const response of [...responses].reverse()) response.end(QUEUED_ANSWER)
  caller.resume()
  await until(() => responses.length === REQUESTS || uncaught.length > 0)
  assert.equal(uncaught, [])
  process.off('uncaughtException', onUncaught)
  caller.destroy()
  server.close()
})

test.run()
