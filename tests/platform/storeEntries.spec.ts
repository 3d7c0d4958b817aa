/** Odd entries of another writer in the store, beside the entries of a sound replica. */
import dgram from 'node:dgram'
import { deflateRawSync } from 'node:zlib'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type GatewayProcess } from './platformFleet.js'

const REQUESTS = 24
const DEPTH = 100_000
const VALID = {
  service: 'desk', address: '127.0.0.1:1', zone: 'zone-a', version: 'v1', slots: 48, state: 'ready', cold_left_ms: 0, seq: 1, born: 1_700_000_000_000
}

let fleet: PlatformFleet

test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(1)
  fleet.store.put('op/config', configurationOf(1))
  await fleet.addReplica('sound', 'desk')
  await waitUntil(async () => await status() === 200)
})
test.after.each(async () => { await fleet.stop() })

async function status (path = '/unsafe/x'): Promise<number> {
  const { addresses } = fleet.gateways[0] as GatewayProcess
  return (await call(addresses.front, path, { method: 'POST' })).status
}

const entries: { title: string, key?: string, text: string }[] = [
  { title: 'a port above the range', text: JSON.stringify({ ...VALID, address: '127.0.0.1:70000' }) },
  { title: 'a negative port', text: JSON.stringify({ ...VALID, address: '127.0.0.1:-1' }) },
  { title: 'port 0', text: JSON.stringify({ ...VALID, address: '127.0.0.1:0' }) },
  { title: 'an address that is none', text: JSON.stringify({ ...VALID, address: '256.1.1.1:80' }) },
  { title: 'a number that is too large', text: JSON.stringify(VALID).replace('48', '1e400') },
  { title: 'a number of 400 digits', text: JSON.stringify(VALID).replace('48', '9'.repeat(400)) },
  { title: 'deep nesting', text: '['.repeat(DEPTH) + ']'.repeat(DEPTH) },
  { title: 'deep nesting in an unknown field', text: JSON.stringify(VALID).replace('"seq":1', `"seq":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`).replace(':1"', ':0"') },
  { title: 'a line break in its id', key: 'servers/odd\r\nX-Other: 1', text: JSON.stringify(VALID) },
  { title: 'an odd record of the rollout role', key: 'wasabihead/rollout', text: '[' },
  { title: 'an odd record of an instance', key: 'wasabihead/instances/odd', text: JSON.stringify({ name: 'odd', incarnation: 1, zone: 'z', region: 'r', frontAddress: 'x', controlAddress: 'x:99999', heartbeatAddress: '127.0.0.1:99999', isLeaving: false }) }
]
for (const { title, key = 'servers/odd', text } of entries) {
  // Guards against requests that are refused while a sound replica serves, and against gateways that stop following the store.
  test(`should serve and follow the store beside an entry with ${title}`, async () => {
    const gateway = fleet.gateways[0] as GatewayProcess
    fleet.store.putText(key, text)
    fleet.store.put('op/config', configurationOf(2))
    await waitUntil(async () => gateway.output.includes('"event":"configuration-in-force"') && gateway.output.includes('"version":2,'))
    const statuses = await Promise.all(Array.from({ length: REQUESTS }, async () => await status()))
    assert.equal([...new Set(statuses)], [200])
    fleet.store.put('op/config', configurationOf(3))
    await waitUntil(async () => gateway.output.includes('"version":3,'))
    assert.not(gateway.output.includes('unhandled-failure') || gateway.output.includes('unexpected'))
  })
}

test('should send nothing to a replica that drains beside odd entries', async () => {
  const gateway = fleet.gateways[0] as GatewayProcess
  const leaving = await fleet.addReplica('leaving', 'desk')
  await waitUntil(async () => gateway.output.includes('"replica":"leaving"'))
  for (const [index, { key = 'servers/odd', text }] of entries.entries()) fleet.store.putText(`${key}-${index}`, text)
  fleet.register(leaving, 'desk', { state: 'draining' })
  await waitUntil(async () => gateway.output.includes('"event":"replica-draining"'))
  leaving.received.splice(0)
  for (let index = 0; index < REQUESTS; index++) assert.is(await status(), 200)
  assert.equal(leaving.received.filter(({ url }) => url === '/unsafe/x'), [])
})

test('should serve at an instance that learns of the replicas from a peer, while the store with odd entries is away', async () => {
  for (const [index, { key = 'servers/odd', text }] of entries.entries()) fleet.store.putText(`${key}-${index}`, text)
  fleet.store.setDown(true)
  const { addresses, output } = await fleet.startGateway('gateway-1')
  await waitUntil(async () => (await call(addresses.front, '/unsafe/x', { method: 'POST' })).status === 200)
  assert.not(output.includes('unhandled-failure'))
})

const heartbeat = {
  from: { name: 'odd', incarnation: 1, isLeaving: false }, isReady: true, named: [], loads: {}, sent: [], stores: [], fetched: [], loading: [], loaded: []
}
const datagrams: { title: string, text: string }[] = [
  { title: 'an address with a port above the range', text: JSON.stringify({ ...heartbeat, named: [{ name: 'odd', incarnation: 1, zone: 'z', region: 'r', frontAddress: 'x', controlAddress: 'x:99999', heartbeatAddress: '127.0.0.1:99999', isLeaving: false }] }) },
  { title: 'deep nesting', text: '['.repeat(DEPTH) + ']'.repeat(DEPTH) },
  { title: 'an epoch that is too large', text: JSON.stringify({ ...heartbeat, rolloutEpoch: Number.MAX_SAFE_INTEGER }) },
  { title: 'an era and a revision that are too large', text: JSON.stringify({ ...heartbeat, catalog: { era: 1e300, changedAt: 1e300, age: 0, told: { after: 0, changes: [] } } }) },
  { title: 'a number that JSON reads as infinite', text: JSON.stringify({ ...heartbeat, rolloutEpoch: 1 }).replace('"rolloutEpoch":1', '"rolloutEpoch":1e400') }
]
for (const { title, text } of datagrams) {
  test(`should serve and follow the store after a heartbeat with ${title}`, async () => {
    const gateway = fleet.gateways[0] as GatewayProcess
    const [host, port] = gateway.addresses.heartbeats.split(':')
    const socket = dgram.createSocket('udp4')
    await new Promise(resolve => { socket.send(deflateRawSync(text), Number(port), host, resolve) })
    socket.close()
    fleet.store.put('op/config', configurationOf(2))
    await waitUntil(async () => gateway.output.includes('"version":2,'))
    assert.is(await status(), 200)
    assert.not(gateway.output.includes('unhandled-failure'))
  })
}

test.run()
