/**
 * A few gateways in a fleet of which the store lists more hosts than one answer of the directory may name, so that only some of
 * its instances are active.
 */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, configurationOf, PlatformFleet, type GatewayProcess } from './platformFleet.js'

const ABSENT_HOSTS = 60
const LARGE = { cpu_share: 0.45, cores: 3, link_mbps: 140 }
const SMALL = { cpu_share: 0.227, cores: 1, link_mbps: 7 }
/** Six in the data centre of the callers, and two in another one. */
const GATEWAYS = [
  { zone: 'zone-a', limits: LARGE }, ...Array.from({ length: 5 }, () => ({ zone: 'zone-a', limits: SMALL })),
  { zone: 'zone-b', limits: LARGE }, { zone: 'zone-b', limits: SMALL }
]

let fleet: PlatformFleet

test.before.each(async () => {
  fleet = new PlatformFleet()
  await fleet.start(0)
  fleet.store.put('op/config', configurationOf(1))
  for (let index = 0; index < ABSENT_HOSTS; index++) fleet.store.put(`wasabihead/hosts/absent-${index}`, {})
  for (const [index, settings] of GATEWAYS.entries()) await fleet.startGateway(`gateway-${index}`, { settings })
})
test.after.each(async () => { await fleet.stop() })

async function named (gateway: GatewayProcess, zone: string): Promise<string[]> {
  const answer = await call(gateway.addresses.directory, `/v1/resolve?name=front&region=region-a&zone=${zone}`)
  if (answer.status !== 200) return []
  const { addresses } = JSON.parse(answer.body) as { addresses: string[] }
  return addresses.map(address => fleet.gateways.find(({ addresses: { front } }) => front === address)?.name ?? address)
}

const isActive = ({ output }: GatewayProcess): boolean => (
  output.lastIndexOf('"event":"active"') > output.lastIndexOf('"event":"standing-by"'))
const activeOf = (zone: string): string[] => (
  fleet.gateways.filter((gateway, index) => GATEWAYS[index]?.zone === zone && isActive(gateway)).map(({ name }) => name))

// Guards against directories that name instances standing by or ended, or too few, and against instances that don't agree.
test('should name active instances of the caller\'s data centre, and others after the loss of active ones', async () => {
  const gateways = fleet.gateways as [GatewayProcess, ...GatewayProcess[]]
  await waitUntil(async () => activeOf('zone-a').length === 4 && activeOf('zone-b').length === 2)
  await waitUntil(async () => {
    const answers = await Promise.all(gateways.map(async gateway => await named(gateway, 'zone-a')))
    const active = activeOf('zone-a')
    return answers.every(names => names.length === 3 && names[0] === 'gateway-0' && names.every(name => active.includes(name)))
  })
  const [first, second, third] = await named(gateways[1] as GatewayProcess, 'zone-b')
  assert.equal([first, second, third], ['gateway-6', 'gateway-7', 'gateway-0'], 'fewer than three are alive in zone-b')

  const lost = gateways.filter(({ name }) => activeOf('zone-a').includes(name))
  for (const gateway of lost) gateway.signal('SIGKILL')
  await Promise.all(lost.map(async gateway => await gateway.exited))
  const left = gateways.filter(gateway => !lost.includes(gateway))
  const names = left.map(({ name }) => name)
  await waitUntil(async () => {
    const answers = await Promise.all(left.map(async gateway => await named(gateway, 'zone-a')))
    return answers.every(each => each.length >= 3 && each.every(name => names.includes(name)))
  })
  await waitUntil(async () => left.every(isActive))
})

test.run()
