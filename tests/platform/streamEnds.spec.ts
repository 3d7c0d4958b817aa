/** How replicas end event streams, with and without chunks, and what the caller gets. */
import type http from 'node:http'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type GatewayProcess, type ReceivedRequest, type ReplicaStandIn } from './platformFleet.js'

const FIRST_EVENT = 'id: 1\ndata: a\n\n'
const SECOND_EVENT = 'id: 2\ndata: b\n\n'

let fleet: PlatformFleet

test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(1)
  fleet.store.put('op/config', configurationOf(1))
  for (const id of ['replica-1', 'replica-2']) await fleet.addReplica(id, 'desk')
  await waitUntil(async () => (await call(front(), '/safe/x')).status === 200)
  await waitUntil(async () => (fleet.gateways[0] as GatewayProcess).output.split('"event":"replica-added"').length > 2)
})
test.after.each(async () => { await fleet.stop() })

function front (): string {
  return (fleet.gateways[0] as GatewayProcess).addresses.front
}

type Framing = 'in chunks' | 'without a length'

function startAnswer (replica: ReplicaStandIn, request: ReceivedRequest, response: http.ServerResponse, framing: Framing): void {
  if (framing === 'without a length') {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
  }
  response.writeHead(200, { ...replica.answerHeaders(request), 'Content-Type': 'text/event-stream' })
}

/** The first attempt of a request gets `first`, and each later one what follows the event that it names. */
function respondWith (first: string, framing: Framing): void {
  let attempts = 0
  for (const replica of fleet.replicas) {
    replica.respond = (request, response) => {
      attempts += 1
      startAnswer(replica, request, response, framing)
      if (attempts === 1) response.end(first)
      else response.end(request.headers['last-event-id'] === '1' ? SECOND_EVENT : FIRST_EVENT + SECOND_EVENT)
    }
  }
}

const cases: { title: string, framing: Framing, first: string, path: string, expected: string }[] = []
for (const framing of ['in chunks', 'without a length'] as const) {
  for (const cut of ['id: 2\nda', 'id: 2\ndata: b\n', 'i']) {
    const title = `a stream ${framing} that ends with ${JSON.stringify(cut)}`
    cases.push(
      { title: `go on with ${title}`, framing, first: FIRST_EVENT + cut, path: '/events/x', expected: FIRST_EVENT + SECOND_EVENT },
      { title: `break off ${title} and may not go on`, framing, first: FIRST_EVENT + cut, path: '/once/x', expected: 'broken' }
    )
  }
  cases.push({
    title: `pass a whole stream ${framing}`, framing, first: FIRST_EVENT + SECOND_EVENT, path: '/once/x', expected: FIRST_EVENT + SECOND_EVENT
  })
}

// Guards against a stream that ended inside an event and reached the caller as a complete one (issue 29).
for (const { title, framing, first, path, expected } of cases) {
  test(`should ${title}`, async () => {
    respondWith(first, framing)
    assert.is(await call(front(), path).then(({ body }) => body, () => 'broken'), expected)
  })
}

test('should pass a plain answer without a length, and break off one that is reset', async () => {
  for (const replica of fleet.replicas) {
    replica.respond = (request, response) => {
      startAnswer(replica, request, response, 'without a length')
      if (request.url === '/unsafe/whole') response.end('whole')
      else response.write('part', () => { response.socket?.resetAndDestroy() })
    }
  }
  assert.is((await call(front(), '/unsafe/whole', { method: 'POST' })).body, 'whole')
  assert.is((await call(front(), '/unsafe/reset', { method: 'POST' })).status, 502)
})

test.run()
