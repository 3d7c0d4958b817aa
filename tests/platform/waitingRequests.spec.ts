/** Requests that wait for a slot at a replica, through a gateway process; the stand-ins register four slots. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet } from './platformFleet.js'

const SLOTS = 4
const REQUESTS = 60
const ANSWER_MS = 40
const MINIMUM_INTERVAL_MS = 5

let fleet: PlatformFleet

test.before.each(() => { fleet = new PlatformFleet() })
test.after.each(async () => { await fleet.stop() })

// Guards against requests that pile up at a replica, and against refusals that send all callers back at the same time.
for (const contracts of [['pressure'], []]) {
  const isInForce = contracts.length > 0
  test(`should ${isInForce ? 'let requests wait for a slot' : 'send requests at once'} with contracts ${JSON.stringify(contracts)}`, async () => {
    await fleet.start(0)
    const { addresses } = await fleet.startGateway('gateway-1', { contracts })
    fleet.store.put('op/config', configurationOf(1))
    const replica = await fleet.addReplica('replica-1', 'desk')
    await waitUntil(async () => (await call(addresses.front, '/safe/x')).status === 200)
    let [running, most] = [0, 0]
    replica.respond = (request, response) => {
      most = Math.max(most, running += 1)
      setTimeout(() => {
        running -= 1
        response.writeHead(200, replica.answerHeaders(request)).end('answer')
      }, ANSWER_MS)
    }
    const answers = await Promise.all(Array.from({ length: REQUESTS }, async (_, index) => {
      const answer = await call(addresses.front, '/safe/x', { headers: { 'X-Wasabihead-Attempt-Id': `attempt-${index}` } })
      return { ...answer, returnsAt: performance.now() + 1_000 * Number(answer.headers['retry-after']) }
    }))
    const refused = answers.filter(({ status }) => status === 503)
    const served = answers.filter(({ status }) => status === 200)
    assert.is(served.length + refused.length, REQUESTS)
    assert.ok(served.length >= SLOTS)
    assert.is(most <= SLOTS, isInForce, `${most} at a time`)
    if (!isInForce) return
    assert.ok(refused.length > 1)
    // Times of return are at least 5 ms apart; half of that allows for answers that arrive late.
    const returns = refused.map(({ returnsAt }) => returnsAt)
    assert.ok(Math.max(...returns) - Math.min(...returns) >= (refused.length - 1) * MINIMUM_INTERVAL_MS / 2, returns.join())
  })
}

test.run()
