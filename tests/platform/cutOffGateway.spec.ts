/** Gateways that reach no replica, while their callers, the store and the other gateways still reach them. */
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type CallerAnswer, type GatewayProcess, type ReplicaStandIn } from './platformFleet.js'
import type { LinkFaultMode } from './linkFault.js'

const GATEWAYS = 3
const REPLICAS = 4
/** From so long after a cut on, callers of the gateway are served nearly as well as others. */
const CONTACT_MS = 3_000
const REQUEST_INTERVAL_MS = 50
const JUDGED_REQUESTS = 32
/** Long enough for requests of a burst to need a connection each. */
const ANSWER_DELAY_MS = 100
const PATHS = ['/safe/x', '/unsafe/x', '/events/x', '/once/x']
const NO_ANSWER: CallerAnswer = { status: 0, headers: {}, body: '' }

let fleet: PlatformFleet
let requests = 0

test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(GATEWAYS, { hasLinkFault: true })
  fleet.store.put('op/config', configurationOf(1))
  for (let index = 0; index < REPLICAS; index++) serve(await fleet.addReplica(`replica-${index}`, 'desk'))
  await waitUntil(async () => fleet.gateways.every(({ output }) => fleet.replicas.every(({ id }) => (
    output.split('\n').some(line => line.includes('"event":"replica-added"') && line.includes(`"${id}"`))))))
})
test.after.each(async () => { await fleet.stop() })

const gateway = (index: number): GatewayProcess => fleet.gateways[index] as GatewayProcess

/** Answers streams with three events, and other requests with the replica's id. */
function serve (replica: ReplicaStandIn): void {
  const answer = replica.respond
  replica.respond = (request, response) => {
    setTimeout(() => {
      if (!/^\/(events|once)\//.test(request.url)) return answer(request, response)
      response.writeHead(200, { ...replica.answerHeaders(request), 'Content-Type': 'text/event-stream' })
      for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= 3; id++) response.write(`id: ${id}\ndata: ${id}\n\n`)
      response.end()
    }, ANSWER_DELAY_MS)
  }
}

function breakLinks (broken: GatewayProcess, mode: LinkFaultMode): void {
  broken.setLinkFault(mode, fleet.replicas.map(({ address }) => address))
}

async function send (to: GatewayProcess, path: string): Promise<CallerAnswer> {
  requests += 1
  const headers = { 'X-Wasabihead-Attempt-Id': `attempt-${requests}` }
  return await call(to.addresses.front, path, { method: 'POST', body: `body ${requests}`, headers }).catch(() => NO_ANSWER)
}

/** Sends requests of all kinds, an interval apart or at once; returns their answers in the order of the requests. */
async function sendSeries (to: GatewayProcess, count: number, interval: number): Promise<CallerAnswer[]> {
  return await Promise.all(Array.from({ length: count }, async (_, index) => {
    await delay(index * interval)
    return await send(to, PATHS[index % PATHS.length] ?? '')
  }))
}

function servedOf (answers: readonly CallerAnswer[]): number {
  return answers.filter(({ status }) => status === 200).length
}

// Guards against callers that a gateway without links to the replicas refuses though its peers reach them (issue 33).
const modes: { title: string, mode: LinkFaultMode }[] = [
  { title: 'hang', mode: 'silent' },
  { title: 'are reset', mode: 'reset' },
  { title: 'refuse new connections', mode: 'refused' }
]
for (const { title, mode } of modes) {
  test(`should serve the callers of a gateway whose links to all replicas ${title}`, async () => {
    await sendSeries(gateway(0), 8, REQUEST_INTERVAL_MS)
    breakLinks(gateway(0), mode)
    await sendSeries(gateway(0), CONTACT_MS / REQUEST_INTERVAL_MS, REQUEST_INTERVAL_MS)
    const [served, servedByOther] = await Promise.all([0, 1].map(async index => (
      servedOf(await sendSeries(gateway(index), JUDGED_REQUESTS, 0)))))
    assert.ok(served !== undefined && servedByOther !== undefined)
    assert.ok(served * 3 >= servedByOther * 2, `${served} of ${JUDGED_REQUESTS} were served, ${servedByOther} at another gateway`)
  })
}

test.run()
