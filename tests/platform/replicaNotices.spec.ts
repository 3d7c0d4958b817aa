/** Notices in replicas' answers that they leave or refuse requests, with two gateway processes and stand-in replicas. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type CallerAnswer, type GatewayProcess, type ReplicaStandIn } from './platformFleet.js'

const REQUESTS = 12
/** Enough concurrent requests for both replicas to receive some. */
const AT_ONCE = 3

let fleet: PlatformFleet
let first: ReplicaStandIn
let second: ReplicaStandIn

test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(2)
  fleet.store.put('op/config', configurationOf(1))
  first = await fleet.addReplica('replica-1', 'desk')
  second = await fleet.addReplica('replica-2', 'desk')
  for (const gateway of fleet.gateways) {
    await waitUntil(async () => (await safe(gateway)).status === 200)
    await waitUntil(async () => fleet.replicas.every(({ id }) => hasLogged(gateway, 'replica-added', id)))
    // Without the store, gateways that have not discovered each other cannot exchange updates.
    await waitUntil(async () => (await knownAddresses(gateway)).length === fleet.gateways.length)
  }
})
test.after.each(async () => { await fleet.stop() })

/** Whether a log line of the event contains the text. */
function hasLogged ({ output }: GatewayProcess, event: string, text: string): boolean {
  return output.split('\n').some(line => line.includes(`"event":"${event}"`) && line.includes(text))
}

async function knownAddresses ({ addresses }: GatewayProcess): Promise<string[]> {
  const answer = await call(addresses.directory, '/v1/resolve?name=front.example&region=region-a&zone=zone-a')
  return (JSON.parse(answer.body) as { addresses: string[] }).addresses
}

async function safe ({ addresses }: GatewayProcess): Promise<CallerAnswer> {
  return await call(addresses.front, '/safe/x')
}

/** Sends requests until the first replica has answered one of them. */
async function untilFirstAnswered (gateway: GatewayProcess): Promise<void> {
  const before = first.received.length
  await waitUntil(async () => {
    await Promise.all(Array.from({ length: AT_ONCE }, async () => await safe(gateway)))
    return first.received.length > before
  })
}

async function receivedByFirst (gateway: GatewayProcess): Promise<number> {
  const before = first.received.length
  for (let index = 0; index < REQUESTS; index++) assert.is((await safe(gateway)).status, 200)
  return first.received.length - before
}

function leaveInAnswers (name: string): void {
  first.respond = (request, response) => {
    response.writeHead(200, { ...first.answerHeaders(request), [name]: '1' })
    response.end('the last ones')
  }
}

for (const name of ['Server-Leaving', 'X-Wasabihead-Server-Leaving']) {
  test(`should send nothing more to a replica that says ${name} in an answer, nor do its peers, while the store is away`, async () => {
    const [gateway, peer] = fleet.gateways as [GatewayProcess, GatewayProcess]
    leaveInAnswers(name)
    await fleet.store.stop()
    await untilFirstAnswered(gateway)
    assert.is(await receivedByFirst(gateway), 0)
    await waitUntil(async () => hasLogged(peer, 'replica-leaving', '"toldBy":"gateway-0"'))
    assert.is(await receivedByFirst(peer), 0)
  })
}

test('should send to a replica that left and started again under its id', async () => {
  const [gateway] = fleet.gateways as [GatewayProcess]
  leaveInAnswers('Server-Leaving')
  await untilFirstAnswered(gateway)
  first.respond = (request, response) => { response.writeHead(200, first.answerHeaders(request)).end('again') }
  fleet.register(first, 'desk', { born: 1_800_000_000_000 })
  await untilFirstAnswered(gateway)
})

test('should send to other replicas while one wants none, and to it again afterwards', async () => {
  const [gateway] = fleet.gateways as [GatewayProcess]
  const closure = { replica: '', at: 0, isOver: false }
  const early: number[] = []
  for (const replica of [first, second]) {
    replica.respond = (request, response) => {
      if (closure.replica === '') {
        Object.assign(closure, { replica: replica.id, at: Date.now() })
        response.writeHead(503, { ...replica.answerHeaders(request), 'X-Wasabihead-Not-Executed': '1', 'Retry-After': '1.25' }).end()
        return
      }
      if (closure.replica === replica.id) {
        const elapsed = Date.now() - closure.at
        if (elapsed < 1_250) early.push(elapsed)
        closure.isOver = true
      }
      response.writeHead(200, replica.answerHeaders(request)).end('open')
    }
  }
  await waitUntil(async () => {
    // Once the delay has passed, requests are sent concurrently, as sequential ones could all go to the other replica; before
    // that, concurrent ones in flight as the replica closes could still reach it.
    const isOpen = closure.at > 0 && Date.now() - closure.at > 1_250
    const answers = await Promise.all(Array.from({ length: isOpen ? AT_ONCE : 1 }, async () => await safe(gateway)))
    assert.equal(answers.map(({ status }) => status), answers.map(() => 200))
    return closure.isOver
  })
  assert.equal(early, [])
})

test('should refuse at once where every replica wants none, until the first one takes requests again', async () => {
  const [gateway] = fleet.gateways as [GatewayProcess]
  const delays = { 'replica-1': '3.5', 'replica-2': '2.5' }
  for (const replica of [first, second]) {
    replica.respond = (request, response) => {
      const delay = delays[replica.id as keyof typeof delays]
      response.writeHead(503, { ...replica.answerHeaders(request), 'X-Wasabihead-Not-Executed': '1', 'Retry-After': delay }).end()
    }
  }
  for (const replica of [first, second]) replica.received.splice(0)
  await waitUntil(async () => {
    await safe(gateway)
    return first.received.length > 0 && second.received.length > 0
  })
  const sent = first.received.length + second.received.length
  const answer = await safe(gateway)
  assert.is(answer.status, 503)
  const retryAfter = Number(answer.headers['retry-after'])
  assert.ok(retryAfter > 1 && retryAfter <= 5, `${retryAfter} s`)
  assert.is(first.received.length + second.received.length, sent)
})

test.run()
