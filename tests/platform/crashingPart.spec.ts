/** Requests with one prompt part in common that crash each replica they begin on, beside sound ones with their other parts. */
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type GatewayProcess, type ReceivedRequest, type ReplicaStandIn } from './platformFleet.js'

const GATEWAYS = 3
const REPLICAS = 6
/** Time after the fifth crash by which each gateway has to know the part. */
const CONTACT_MS = 3_000
const DAY_MS = 12_000
const CRASHING_INTERVAL_MS = 400
const SOUND_INTERVAL_MS = 40
const FIRST_EVENT_MS = 60
const RESTART_MS = 1_500
const MOST_LATE_SENDS = 3
const CRASHES_TO_KNOW = 5

let fleet: PlatformFleet
let sent: { parts: string[], at: number }[]
let crashes: number[]
let requests: number
let restarts: Promise<void>[]

test.before.each(async () => {
  fleet = new PlatformFleet()
  sent = []
  crashes = []
  requests = 0
  restarts = []
  await fleet.start(GATEWAYS)
  fleet.store.put('op/config', configurationOf(1))
  for (let index = 0; index < REPLICAS; index++) serve(await fleet.addReplica(`replica-${index}`, 'desk'))
  for (const gateway of fleet.gateways) await waitUntil(async () => knowsAllReplicas(gateway))
})
test.after.each(async () => {
  await Promise.all(restarts)
  await fleet.stop()
})

function knowsAllReplicas ({ output }: GatewayProcess): boolean {
  return fleet.replicas.every(({ id }) => output.includes(`"event":"replica-added","replica":"${id}"`) || new RegExp(`"replica":"${id}".*replica-added`).test(output))
}

function partsOf ({ headers }: ReceivedRequest): string[] {
  return String(headers['x-wasabihead-prefix-hash'] ?? '').split(',').map(part => part.split(':')[0] ?? '')
}

/** Streams two events to each request; crashes at the first one if `isCrashing` says so of its parts. */
function serve (replica: ReplicaStandIn, isCrashing = (parts: string[]): boolean => parts.slice(0, -1).includes('dead')): void {
  let runs = 0
  replica.respond = (request, response) => {
    const parts = partsOf(request)
    sent.push({ parts, at: performance.now() })
    response.writeHead(200, { ...replica.answerHeaders(request), 'Content-Type': 'text/event-stream' })
    response.flushHeaders()
    setTimeout(() => {
      if (!isCrashing(parts)) {
        response.write('id: 1\ndata: a\n\n')
        setTimeout(() => { response.end('id: 2\ndata: b\n\n') }, FIRST_EVENT_MS)
        return
      }
      if (response.destroyed) return
      crashes.push(performance.now())
      replica.crash()
      runs += 1
      const born = 1_700_000_000_000 + runs
      restarts.push(restartLater(replica).then(() => { fleet.register(replica, 'desk', { born }) }))
    }, FIRST_EVENT_MS)
  }
}

async function restartLater (replica: ReplicaStandIn): Promise<void> {
  await delay(RESTART_MS)
  await replica.restart()
}

async function crashAllOnce (): Promise<void> {
  await delay(FIRST_EVENT_MS * 8)
  for (const replica of fleet.replicas) replica.crash()
  await Promise.all(fleet.replicas.map(restartLater))
}

/** Sends a request with shared parts; resolves with the status, or 0 where the connection broke. No two have the same body. */
async function send (gateway: GatewayProcess, parts: string[]): Promise<number> {
  requests += 1
  const body = `prompt ${requests}`
  const answer = await call(gateway.addresses.front, `/events/${requests}`, {
    method: 'POST',
    body,
    headers: {
      'X-Wasabihead-Attempt-Id': `attempt-${requests}`,
      'X-Wasabihead-Model': 'model-a',
      'X-Wasabihead-Token-Count': '100,20',
      'X-Wasabihead-Prefix-Hash': [...parts, `own${requests}`].map(id => `${id}:25`).join(',')
    }
  }).catch(() => undefined)
  return answer?.status ?? 0
}

interface Sending {
  gateway: GatewayProcess
  at: number
  status: Promise<number>
}

/** Sends requests to all gateways in turn for `duration` milliseconds, with the parts that `partsOfNext` names. */
async function sendEvenly (duration: number, interval: number, partsOfNext: (index: number) => string[]): Promise<Sending[]> {
  const sendings: Sending[] = []
  const begin = performance.now()
  await new Promise<void>(resolve => {
    const timer = setInterval(() => {
      const gateway = fleet.gateways[sendings.length % GATEWAYS] as GatewayProcess
      sendings.push({ gateway, at: performance.now(), status: send(gateway, partsOfNext(sendings.length)) })
      if (performance.now() - begin < duration) return
      clearInterval(timer)
      resolve()
    }, interval)
  })
  await Promise.all(sendings.map(async ({ status }) => await status))
  return sendings
}

function sentLate (part: string): number {
  const known = (crashes[CRASHES_TO_KNOW - 1] ?? Infinity) + CONTACT_MS
  return sent.filter(({ parts, at }) => parts.includes(part) && at > known).length
}

// Guards against crashes that are joined by whole requests only (issue 29): no two requests with the part agree in more than it.
test('should send few more requests with a prompt part that crashed replicas, whatever else they hold, and serve those beside them', async () => {
  const [, sound] = await Promise.all([
    sendEvenly(DAY_MS, CRASHING_INTERVAL_MS, index => ['first', `topic${index % 3}`, 'dead']),
    sendEvenly(DAY_MS, SOUND_INTERVAL_MS, index => ['first', `topic${index % 3}`])
  ])
  assert.ok(crashes.length >= 3, `${crashes.length} crashes`)
  assert.ok(sentLate('dead') <= MOST_LATE_SENDS, `${sentLate('dead')} sends after the part had to be known; ${crashes.length} crashes`)
  const known = (crashes[CRASHES_TO_KNOW - 1] ?? crashes.at(-1) ?? 0) + 2 * CONTACT_MS
  const later = await Promise.all(sound.filter(({ at }) => at > known).map(async ({ status }) => await status))
  assert.ok(later.length >= 20, `${later.length} sound requests`)
  assert.ok(later.filter(status => status === 200).length * 2 >= later.length, `${later.filter(status => status === 200).length} of ${later.length} sound requests served`)
})

// Guards against a process that starts after the crashes and sends the part to replicas again.
test('should refuse a crashing prompt part on a process that starts after the crashes', async () => {
  await sendEvenly(4_000, CRASHING_INTERVAL_MS, index => ['first', `topic${index}`, 'dead'])
  const gateway = fleet.gateways[0] as GatewayProcess
  gateway.signal('SIGKILL')
  await gateway.exited
  gateway.startProcess()
  await gateway.untilStarted()
  await waitUntil(async () => await send(gateway, ['first', 'topic']) === 200)
  const before = sent.filter(({ parts }) => parts.includes('dead')).length
  assert.equal([await send(gateway, ['first', 'other', 'dead']), sent.filter(({ parts }) => parts.includes('dead')).length - before], [503, 0])
})

// Guards against a quarantine by coincidence: all replicas crash at once, for a reason that no request has to do with.
test('should go on serving a prompt part whose requests were lost with all replicas at once', async () => {
  for (let round = 0; round < 3; round++) {
    await Promise.all([
      crashAllOnce(), sendEvenly(RESTART_MS, SOUND_INTERVAL_MS, index => ['first', `topic${index % 3}`])
    ])
    await waitUntil(async () => await send(fleet.gateways[round] as GatewayProcess, ['first', 'topic1']) === 200)
  }
  const after = await Promise.all((await sendEvenly(1_000, SOUND_INTERVAL_MS, index => ['first', `topic${index % 3}`])).map(async ({ status }) => await status))
  assert.ok(after.filter(status => status === 200).length * 10 >= after.length * 9, `${after.filter(status => status === 200).length} of ${after.length}`)
})

test.run()
