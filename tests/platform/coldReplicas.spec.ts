/** Replicas that are cold after a start, with several gateway processes and stand-in replicas. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type CallerAnswer, type GatewayProcess, type ReplicaStandIn } from './platformFleet.js'

const GATEWAYS = 4
const COLD_PER_SECOND = 4
const COLD_MS = 3_000
const REGISTRATION_LAG_MS = 800
const REQUEST_INTERVAL_MS = 8
const MILLISECONDS = 1_000
const ALLOWED = COLD_PER_SECOND * 1.5 + 5
/** The other replica answers this late, so that it is busy and the one that returns is chosen whenever it accepts a request. */
const OTHER_ANSWER_MS = 40
/** The next run of a replica. */
const LATER_START = 1_800_000_000_000

let fleet: PlatformFleet
let returning: ReplicaStandIn

test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(GATEWAYS)
  const desk = { name: 'desk', health_path: '/health', max_conns: 20, cold_s: COLD_MS / MILLISECONDS, cold_per_s: COLD_PER_SECOND }
  fleet.store.put('op/config', configurationOf(1, { services: [desk] }))
  returning = await fleet.addReplica('replica-1', 'desk')
  const other = await fleet.addReplica('replica-2', 'desk')
  other.respond = (request, response) => {
    setTimeout(() => { response.writeHead(200, other.answerHeaders(request)).end('other') }, OTHER_ANSWER_MS)
  }
  for (const gateway of fleet.gateways) await waitUntil(async () => (await safe(gateway)).status === 200)
})
test.after.each(async () => { await fleet.stop() })

async function safe ({ addresses }: GatewayProcess): Promise<CallerAnswer> {
  return await call(addresses.front, '/safe/x')
}

/** Sends requests to all gateways in turn until `end` resolves. */
async function sendEvenlyUntil (end: Promise<unknown>): Promise<void> {
  const answers: Promise<unknown>[] = []
  const timer = setInterval(() => {
    answers.push(safe(fleet.gateways[answers.length % GATEWAYS] as GatewayProcess).catch(() => undefined))
  }, REQUEST_INTERVAL_MS)
  await end
  clearInterval(timer)
  await Promise.all(answers)
}

async function pause (duration: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, duration) })
}

function mostInOneSecond (times: readonly number[]): number {
  return Math.max(0, ...times.map(begin => times.filter(time => time >= begin && time < begin + MILLISECONDS).length))
}

/** Records when requests reach the replica while it is cold. */
function recordArrivals (replica: ReplicaStandIn): number[] {
  const times: number[] = []
  const begin = performance.now()
  replica.respond = (request, response) => {
    if (performance.now() - begin < COLD_MS) times.push(performance.now())
    response.writeHead(200, replica.answerHeaders(request)).end('anew')
  }
  return times
}

// A cold server got 19 requests in one second where 17 were allowed, after it had crashed and come back under a new id.
test('should send a replica that crashed and returned under a new id what cold ones accept, over all gateways', async () => {
  let times: number[] = []
  await sendEvenlyUntil((async () => {
    await pause(MILLISECONDS)
    returning.crash()
    await pause(MILLISECONDS / 2)
    const started = await fleet.addReplica('replica-3', 'desk')
    fleet.register(started, 'desk', { born: LATER_START, cold_left_ms: COLD_MS })
    times = recordArrivals(started)
    await pause(COLD_MS)
  })())
  assert.ok(times.length > 0, 'it gets some')
  assert.ok(mostInOneSecond(times) <= ALLOWED, `${mostInOneSecond(times)} in a second, allowed ${ALLOWED}`)
})

test('should send a replica that crashed and returned under its id what cold ones accept, before it has registered', async () => {
  let times: number[] = []
  await sendEvenlyUntil((async () => {
    await pause(MILLISECONDS)
    returning.crash()
    await pause(MILLISECONDS / 2)
    await returning.restart()
    times = recordArrivals(returning)
    await pause(REGISTRATION_LAG_MS)
    fleet.register(returning, 'desk', { cold_left_ms: COLD_MS - REGISTRATION_LAG_MS })
    await pause(COLD_MS - REGISTRATION_LAG_MS)
  })())
  assert.ok(times.length > 0, 'it gets some')
  assert.ok(mostInOneSecond(times) <= ALLOWED, `${mostInOneSecond(times)} in a second, allowed ${ALLOWED}`)
})

test('should refuse callers at once, not run, with retry times that differ, where every replica is cold', async () => {
  for (const replica of fleet.replicas) fleet.register(replica, 'desk', { born: LATER_START, cold_left_ms: 60_000 })
  const [gateway] = fleet.gateways as [GatewayProcess]
  await waitUntil(async () => gateway.output.split('\n').filter(line => line.includes('"event":"replica-cold"')).length >= 2)
  const answers = await Promise.all(Array.from({ length: 24 }, async () => await safe(gateway)))
  const refused = answers.filter(({ status }) => status === 503)
  assert.ok(refused.length >= 12, answers.map(({ status }) => status).join())
  const delays = refused.map(({ headers }) => Number(headers['retry-after']))
  assert.ok(delays.every(delay => delay > 0), delays.join())
  assert.ok(new Set(delays).size > refused.length / 2, delays.join())
})

test.run()
