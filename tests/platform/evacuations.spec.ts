/** Evacuated data centres, with several gateway processes and stand-in replicas. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type CallerAnswer, type GatewayProcess, type ReplicaStandIn } from './platformFleet.js'

const GATEWAYS = 3
const REQUESTS = 60

let fleet: PlatformFleet
let leeds: ReplicaStandIn
let york: ReplicaStandIn

test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(GATEWAYS)
  fleet.store.put('op/config', configurationOf(1, { services: [{ name: 'desk', max_conns: 20, cold_s: 3, cold_per_s: 8 }] }))
  leeds = await fleet.addReplica('leeds-1', 'desk')
  york = await fleet.addReplica('york-1', 'desk')
  fleet.register(york, 'desk', { zone: 'york' })
  for (const gateway of fleet.gateways) await waitUntil(async () => (await safe(gateway)).status === 200)
})
test.after.each(async () => { await fleet.stop() })

async function safe ({ addresses }: GatewayProcess): Promise<CallerAnswer> {
  return await call(addresses.front, '/safe/x')
}

async function untilLogged (event: string, zone: string, gateways = fleet.gateways): Promise<void> {
  await waitUntil(async () => gateways.every(({ output }) => output.split('\n').some(line => (
    line.includes(`"event":"${event}"`) && line.includes(`"zone":"${zone}"`)))))
}

async function answersOf (gateways: readonly GatewayProcess[]): Promise<CallerAnswer[]> {
  return await Promise.all(Array.from({ length: REQUESTS }, async (_, index) => (
    await safe(gateways[index % gateways.length] as GatewayProcess))))
}

// Values are not read: an entry that another writer garbled must not send requests to a data centre that is switched off.
for (const text of ['{}', 'not JSON']) {
  test(`should send nothing to an evacuated data centre while the store is lost, and from new gateways (value ${text})`, async () => {
    fleet.store.putText('op/evacuate/york', text)
    await untilLogged('data-centre-evacuated', 'york')
    await fleet.store.stop()
    const started = await fleet.startGateway('gateway-new')
    await waitUntil(async () => (await safe(started)).status === 200)
    york.received.splice(0)
    const statuses = (await answersOf(fleet.gateways)).map(({ status }) => status)
    assert.equal([...new Set(statuses)], [200])
    assert.is(york.received.length, 0)
    assert.ok(leeds.received.length >= REQUESTS)
  })
}

test('should refuse requests, not run, while all data centres are evacuated, and serve them when one is restored', async () => {
  fleet.store.put('op/evacuate/york', {})
  fleet.store.put('op/evacuate/zone-a', {})
  await untilLogged('data-centre-evacuated', 'york')
  await untilLogged('data-centre-evacuated', 'zone-a')
  const refused = await answersOf(fleet.gateways)
  assert.equal([...new Set(refused.map(({ status }) => status))], [503])
  assert.ok(refused.every(({ headers }) => Number(headers['retry-after']) > 0))
  fleet.store.remove('op/evacuate/zone-a')
  await untilLogged('data-centre-restored', 'zone-a')
  york.received.splice(0)
  await waitUntil(async () => (await safe(fleet.gateways[0] as GatewayProcess)).status === 200)
  assert.is(york.received.length, 0)
  assert.ok(fleet.gateways.every(({ output }) => output.includes('evacuation-ended')), 'its replicas count as cold')
})

test('should serve as before where an unknown data centre is evacuated, and log it once', async () => {
  fleet.store.put('op/evacuate/atlantis', {})
  await untilLogged('data-centre-unknown', 'atlantis')
  const statuses = (await answersOf(fleet.gateways)).map(({ status }) => status)
  assert.equal([...new Set(statuses)], [200])
  for (const { output } of fleet.gateways) assert.is(output.split('"event":"data-centre-unknown"').length, 2)
})

test.run()
