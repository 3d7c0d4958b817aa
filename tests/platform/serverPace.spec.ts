/** The pace of a replica that has started anew, with two gateway processes and stand-in replicas. */
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type CallerAnswer, type GatewayProcess } from './platformFleet.js'

/** Replicas that are added within three seconds after the first one count as those of the first listing. */
const AFTER_FIRST_LISTING_MS = 3_200
/** Answers take longer than all requests are sent, so that none of them raises the pace meanwhile. */
const ANSWER_MS = 1_000
const REQUESTS = 40
const INTERVAL_MS = 5
const MOST_AT_FIRST = 4

let fleet: PlatformFleet

test.after.each(async () => { await fleet.stop() })

function hasLogged ({ output }: GatewayProcess, event: string, text: string): boolean {
  return output.split('\n').some(line => line.includes(`"event":"${event}"`) && line.includes(text))
}

const cases = [
  { title: 'send a replica that has started anew few requests, over all gateways together', coldSeconds: 3, isPaced: true },
  { title: 'send a replica that has started anew as many as others where its service is never cold', coldSeconds: 0, isPaced: false },
  { title: 'serve as before where the time that a service is cold cannot be read', coldSeconds: 'soon', isPaced: false }
]
for (const { title, coldSeconds, isPaced } of cases) {
  test(`should ${title}`, async () => {
    fleet = new PlatformFleet()
    await fleet.start(2)
    fleet.store.put('op/config', configurationOf(1, { services: [{ name: 'desk', max_conns: 100, cold_s: coldSeconds }] }))
    const started = await fleet.addReplica('replica-1', 'desk')
    await fleet.addReplica('replica-2', 'desk')
    for (const gateway of fleet.gateways) {
      await waitUntil(async () => (await call(gateway.addresses.front, '/safe/x')).status === 200)
      await waitUntil(async () => fleet.replicas.every(({ id }) => hasLogged(gateway, 'replica-added', id)))
    }
    await sleep(AFTER_FIRST_LISTING_MS)
    for (const replica of fleet.replicas) {
      replica.respond = (request, response) => {
        setTimeout(() => { response.writeHead(200, replica.answerHeaders(request)).end() }, ANSWER_MS)
      }
    }
    started.startedAt += 60_000
    fleet.register(started, 'desk')
    const event = isPaced ? 'replica-pace' : 'replica-removed'
    for (const gateway of fleet.gateways) await waitUntil(async () => hasLogged(gateway, event, 'replica-1'))
    const before = started.received.length
    const answers: Promise<CallerAnswer>[] = []
    for (let index = 0; index < REQUESTS; index++) {
      const { addresses } = fleet.gateways[index % fleet.gateways.length] as GatewayProcess
      answers.push(call(addresses.front, '/unsafe/x', { method: 'POST', body: 'work' }))
      await sleep(INTERVAL_MS)
    }
    const received = started.received.length - before
    assert.equal(new Set((await Promise.all(answers)).map(({ status }) => status)), new Set([200]))
    assert.is(received <= MOST_AT_FIRST, isPaced, `${received} requests`)
    assert.is(fleet.gateways.some(gateway => hasLogged(gateway, 'replica-pace', '')), isPaced)
  })
}

test.run()
