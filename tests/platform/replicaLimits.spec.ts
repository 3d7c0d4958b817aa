/** Rate limits that replicas state for all gateways together, with several gateway processes and stand-in replicas. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type CallerAnswer, type GatewayProcess, type ReplicaStandIn } from './platformFleet.js'

const GATEWAYS = 4
const WINDOW_MS = 4_000
/** The platform checks a rate only from this long after a replica first states it. */
const CONTACT_MS = 3_000
const REQUEST_INTERVAL_MS = 20
const MILLISECONDS = 1_000

let fleet: PlatformFleet
let limited: ReplicaStandIn

test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(GATEWAYS)
  fleet.store.put('op/config', configurationOf(1))
  limited = await fleet.addReplica('replica-1', 'desk')
  await fleet.addReplica('replica-2', 'desk')
  for (const gateway of fleet.gateways) {
    await waitUntil(async () => (await safe(gateway)).status === 200)
    await waitUntil(async () => fleet.replicas.every(({ id }) => hasLogged(gateway, 'replica-added', id)))
  }
})
test.after.each(async () => { await fleet.stop() })

function hasLogged ({ output }: GatewayProcess, event: string, text: string): boolean {
  return output.split('\n').some(line => line.includes(`"event":"${event}"`) && line.includes(text))
}

async function safe ({ addresses }: GatewayProcess): Promise<CallerAnswer> {
  return await call(addresses.front, '/safe/x')
}

/** Sends requests to all gateways in turn for `duration` milliseconds; resolves with the statuses of the answers. */
async function sendEvenly (duration: number): Promise<number[]> {
  const answers: Promise<CallerAnswer>[] = []
  const begin = performance.now()
  await new Promise<void>(resolve => {
    const timer = setInterval(() => {
      answers.push(safe(fleet.gateways[answers.length % GATEWAYS] as GatewayProcess))
      if (performance.now() - begin < duration) return
      clearInterval(timer)
      resolve()
    }, REQUEST_INTERVAL_MS)
  })
  return (await Promise.all(answers)).map(({ status }) => status)
}

/** Makes the replica state the rate in each answer; returns the times of its requests, extended with each new one. */
function stateRate (replica: ReplicaStandIn, rate: string): number[] {
  const times: number[] = []
  replica.respond = (request, response) => {
    times.push(performance.now())
    response.writeHead(200, { ...replica.answerHeaders(request), 'Server-Limit': rate }).end('limited')
  }
  return times
}

/** The largest number of requests in any window of `WINDOW_MS` that begins `CONTACT_MS` or more after the first request. */
function mostInWindow (times: readonly number[]): number {
  const judgedFrom = (times[0] ?? Infinity) + CONTACT_MS
  const judged = times.filter(time => time >= judgedFrom)
  return Math.max(0, ...judged.map(begin => judged.filter(time => time >= begin && time < begin + WINDOW_MS).length))
}

// Guards against gateways that each apply the whole rate: a replica that stated 1.1 requests a second received 20 in 4 s from
// four gateways (hfs-onboard LIMIT, f363f883).
test('should send a replica no more than the rate that it stated, over all gateways together', async () => {
  const rate = 1.2
  const times = stateRate(limited, String(rate))
  const statuses = await sendEvenly(CONTACT_MS + 2 * WINDOW_MS)
  assert.equal(new Set(statuses), new Set([200]), 'the other replica serves what this one does not take')
  const allowed = 1.5 * rate * WINDOW_MS / MILLISECONDS + 5
  assert.ok(mostInWindow(times) <= allowed, `${mostInWindow(times)} requests in ${WINDOW_MS} ms, allowed ${allowed}`)
})

// Guards against a limit that reaches one gateway only: all gateways read the replica from the store, but just one of them ever
// received an answer with the limit.
test('should heed a limit of zero that only a peer was told of, until the replica starts again', async () => {
  const [gateway, peer] = fleet.gateways as [GatewayProcess, GatewayProcess]
  const times = stateRate(limited, '0')
  await waitUntil(async () => {
    await safe(gateway)
    return times.length > 0
  })
  await waitUntil(async () => hasLogged(peer, 'replica-limit', '"toldBy":"gateway-0"'))
  const before = times.length
  for (let index = 0; index < 12; index++) assert.is((await safe(peer)).status, 200)
  assert.is(times.length, before)
  // A restarted replica has not stated the limit, so it no longer applies.
  limited.respond = (request, response) => { response.writeHead(200, limited.answerHeaders(request)).end('anew') }
  fleet.register(limited, 'desk', { born: 1_800_000_000_000 })
  await waitUntil(async () => (await safe(peer)).body === 'anew')
})

for (const { kind, method } of [{ kind: 'safe', method: 'GET' }, { kind: 'unsafe', method: 'POST' }, { kind: 'events', method: 'POST' }]) {
  test(`should refuse ${kind} requests at once, not run, with different retry delays where every replica is at its limit`, async () => {
    const [gateway] = fleet.gateways as [GatewayProcess]
    const times = fleet.replicas.map(replica => stateRate(replica, '0.2'))
    await waitUntil(async () => {
      await safe(gateway)
      return times.every(received => received.length > 0)
    })
    const ask = async (): Promise<CallerAnswer> => await call(gateway.addresses.front, `/${kind}/x`, { method, body: method === 'POST' ? 'work' : '' })
    const before = times.flat().length
    const answers = await Promise.all(Array.from({ length: 8 }, ask))
    const refused = answers.filter(({ status }) => status === 503)
    assert.ok(refused.length >= 7, answers.map(({ status }) => status).join())
    assert.is(times.flat().length - before, answers.length - refused.length, 'what was refused reached no replica')
    await waitUntil(async () => hasLogged(gateway, 'request-ended', 'refused-at-limit'))
    const delays = refused.map(({ headers }) => Number(headers['retry-after']))
    assert.ok(delays.every(delay => delay > 0), delays.join())
    assert.ok(new Set(delays).size > 1 && Math.max(...delays) > 2 * Math.min(...delays), delays.join())
  })
}

test('should keep to the last readable limit while a replica writes what is none', async () => {
  const [gateway] = fleet.gateways as [GatewayProcess]
  const times = stateRate(limited, '0.1')
  await waitUntil(async () => {
    await safe(gateway)
    return times.length > 0
  })
  for (const text of ['-1', 'NaN', '1e3', '', '0.1, often', '1,-2']) stateRate(limited, text)
  const before = limited.received.length
  for (let index = 0; index < 12; index++) assert.is((await safe(gateway)).status, 200)
  assert.ok(limited.received.length - before <= 1, String(limited.received.length - before))
})

test.run()
