/** Which cached parts of prompts workspaces share while the configuration changes, observed at the replicas. */
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type GatewayProcess, type ReceivedRequest } from './platformFleet.js'

const MODEL = 'model-a'
const ENGINE = { slots: 4, kv_capacity_tokens: 10_000, kv_token_bytes: 1_000, link_mbps: 1_000, models: [{ name: MODEL }] }

const EPOCH = 7
/** Parts are freed within this time of the last confirmation of the catalog, or not at all. */
const FREE_WITHIN_MS = 1_000

/** A call that frees parts, as a store received it, and when. */
interface FreeCall { parts: [string, string][], epoch: number, until_ms?: number, at: number }

/** The workspaces of one configuration and whether each is isolated. */
type Workspaces = Record<string, boolean>

/** The runs since the last change of the configuration: salts by workspace. */
let salts: Map<string, Set<string>>
/** Workspaces whose requests have run under a salt, and may have left parts there. */
let writers: Map<string, Set<string>>
/** Runs that could use parts of another workspace although one of the two was isolated. */
let breaches: string[]
let fleet: PlatformFleet
let workspaces: Workspaces
let version: number
let asked: number
let cacheStore: object | undefined

test.before.each(() => {
  fleet = new PlatformFleet()
  writers = new Map()
  breaches = []
  version = 0
  asked = 0
  cacheStore = undefined
})
test.after.each(async () => { await fleet.stop() })

async function addReplica (id: string): Promise<void> {
  const replica = await fleet.addReplica(id, 'desk')
  replica.respond = (request, response) => {
    recordRun(request)
    response.writeHead(200, { ...replica.answerHeaders(request), 'Content-Type': 'text/event-stream' }).end('id: 1\ndata: a\n\n')
  }
  fleet.register(replica, 'desk', { models: [{ name: MODEL, version: 1 }] })
}

function recordRun ({ headers }: ReceivedRequest): void {
  const [salt, workspace] = [String(headers['x-wasabihead-cache-salt']), String(headers['x-wasabihead-tenant'])]
  const names = writers.get(salt) ?? new Set()
  const others = [...names].filter(name => name !== workspace)
  if (others.some(name => workspaces[name] === true || workspaces[workspace] === true)) {
    breaches.push(`${workspace} after ${others.join()} under ${salt}`)
  }
  writers.set(salt, names.add(workspace))
  salts.set(workspace, (salts.get(workspace) ?? new Set()).add(salt))
}

async function apply (change: Workspaces): Promise<void> {
  version += 1
  fleet.store.put('op/config', configurationOf(version, {
    services: [{ name: 'desk', max_conns: 20, engine: ENGINE }, ...cacheStore === undefined ? [] : [cacheStore]],
    tenants: Object.entries(change).map(([name, isolated]) => ({ name, api_keys: [`key of ${name}`], isolated }))
  }))
  await waitUntil(async () => fleet.gateways.every(gateway => isInForce(gateway)))
  workspaces = change
  salts = new Map()
}

function isInForce ({ output }: GatewayProcess): boolean {
  return output.split('\n').some(line => line.includes('"event":"configuration-in-force"') && line.includes(`"version":${version},`))
}

/** Resolves with the status of the answer, 0 without one. */
async function ask (workspace: string, { addresses }: GatewayProcess): Promise<number> {
  asked += 1
  const answer = call(addresses.front, '/events/x', {
    headers: {
      'Api-Key': `key of ${workspace}`,
      'X-Wasabihead-Attempt-Id': `attempt-${asked}`,
      'X-Wasabihead-Model': MODEL,
      'X-Wasabihead-Token-Count': '20,10',
      'X-Wasabihead-Prefix-Hash': 'a1:10,b2:10'
    }
  })
  return await answer.then(({ status }) => status, () => 0)
}

/** A managed store that holds these parts, with the time of day as its clock. */
async function startCacheStore (
  parts: [salt: string, id: string][], freed: FreeCall[]
): Promise<{ server: http.Server, address: string }> {
  const server = http.createServer((request, response) => {
    const [path] = (request.url ?? '').split('?')
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    request.on('end', () => {
      if (path === '/v1/kv-free') freed.push({ ...JSON.parse(Buffer.concat(chunks).toString()) as FreeCall, at: Date.now() })
      const held = parts.map(([salt, id]) => [salt, id, 10, MODEL])
      const answer = { epoch: EPOCH, next: 1, lost: false, events: [], held, clock_ms: Date.now() }
      setTimeout(() => { response.end(JSON.stringify(answer)) }, path === '/v1/kv-events' ? 100 : 0)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

async function restart (gateway: GatewayProcess): Promise<void> {
  gateway.signal('SIGKILL')
  await gateway.exited
  gateway.startProcess()
  await gateway.untilStarted()
}

const SHARED = { a: false, b: false, c: false }
const cases: { title: string, history: Workspaces[], isRestarted?: boolean }[] = [
  { title: 'one becomes isolated', history: [SHARED, { ...SHARED, a: true }] },
  { title: 'one becomes isolated and a gateway restarts', history: [SHARED, { ...SHARED, a: true }], isRestarted: true },
  { title: 'two become isolated in turn', history: [SHARED, { ...SHARED, a: true }, { a: true, b: true, c: false, d: false }] },
  { title: 'one is isolated, shares and is isolated again', history: [{ ...SHARED, a: true }, SHARED, { ...SHARED, a: true }] },
  { title: 'two change places', history: [{ ...SHARED, a: true }, { ...SHARED, b: true }, { ...SHARED, a: true }] },
  { title: 'one is dropped and added again as isolated', history: [SHARED, { b: false, c: false }, { ...SHARED, a: true }] },
  { title: 'a name is reused for an isolated one', history: [SHARED, { b: false, c: false, d: true }, { b: false, c: false, a: true }] }
]

// Guards against prompts that use what another workspace cached before one of the two became isolated (review/6, WALL).
for (const { title, history, isRestarted = false } of cases) {
  test(`should share no cached parts with an isolated workspace where ${title}`, async () => {
    await fleet.start(2)
    for (const id of ['replica-1', 'replica-2']) await addReplica(id)
    for (const change of history) {
      await apply(change)
      if (isRestarted && version > 1) await restart(fleet.gateways[0] as GatewayProcess)
      for (const gateway of fleet.gateways) {
        for (const name of Object.keys(change)) await waitUntil(async () => await ask(name, gateway) === 200)
      }
      assert.equal(breaches, [], JSON.stringify(change))
      const shared = Object.keys(change).filter(name => change[name] === false).flatMap(name => [...salts.get(name) ?? []])
      assert.is(new Set(shared).size, 1, `the others share: ${shared.join()}`)
    }
  })
}

// Guards against a salt that a request got when it arrived and under which it is sent once more after another workspace became
// isolated.
test('should send a request once more under a salt of the configuration in force', async () => {
  await fleet.start(1)
  const gateway = fleet.gateways[0] as GatewayProcess
  for (const id of ['replica-1', 'replica-2']) await addReplica(id)
  await apply(SHARED)
  for (const name of ['a', 'b']) await waitUntil(async () => await ask(name, gateway) === 200)
  const answers = new Map(fleet.replicas.map(replica => [replica, replica.respond]))
  const held: http.ServerResponse[] = []
  for (const replica of fleet.replicas) replica.respond = (_request, response) => { held.push(response) }
  const status = ask('b', gateway)
  await waitUntil(async () => held.length === 1)
  await apply({ ...SHARED, a: true })
  for (const [replica, respond] of answers) replica.respond = respond
  for (const response of held) response.destroy()
  assert.equal([await status, breaches, salts.get('b')?.size], [200, [], 1])
})

// Guards against a store that fills with parts that no request can reach.
test('should free the parts of workspaces that do not share any more, and no others', async () => {
  const freed: FreeCall[] = []
  const store = await startCacheStore([['/model-a/1', 'a1'], ['a/model-a/1', 'a1'], ['of others', 'a1']], freed)
  try {
    await fleet.start(1)
    cacheStore = { name: 'keep', kv_store_addr: store.address, zone: 'zone-a', kv_capacity_tokens: 1_000, link_mbps: 1_000, managed: true, first_ms: 1 }
    await addReplica('replica-1')
    await apply(SHARED)
    await waitUntil(async () => await ask('b', fleet.gateways[0] as GatewayProcess) === 200)
    await apply({ ...SHARED, a: true })
    await waitUntil(async () => freed.length > 0)
    assert.equal(freed.map(({ parts, epoch }) => [parts, epoch]), [[[['/model-a/1', 'a1']], EPOCH]])
    const [{ until_ms: until = 0, at = 0 } = {}] = freed
    assert.ok(until > at && until <= at + FREE_WITHIN_MS, `${until - at} ms`)
  } finally {
    store.server.closeAllConnections()
    store.server.close()
  }
})

test.run()
