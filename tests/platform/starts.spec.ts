/** Starts where something that a gateway needs is taken, missing, invalid or silent: it ends and names it, or starts without. */
import net, { type AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '@wasabihead/experiments'
import { call, PlatformFleet, type GatewayAddresses, type GatewayProcess } from './platformFleet.js'

const LOOPBACK = '127.0.0.1'
/** An address of no interface of this machine (RFC 5737). */
const ELSEWHERE = '203.0.113.1:18001'

let fleet: PlatformFleet
let servers: net.Server[]

test.before.each(async () => {
  fleet = new PlatformFleet()
  servers = []
  await fleet.start(1)
  gateway().signal('SIGKILL')
  await gateway().exited
})
test.after.each(async () => {
  for (const server of servers) server.close()
  await fleet.stop()
})

function gateway (): GatewayProcess {
  return fleet.gateways[0] as GatewayProcess
}

/** Listens and never answers. Returns the port. */
async function occupy (port: number): Promise<number> {
  const server = net.createServer(socket => { socket.on('error', () => { socket.destroy() }) })
  servers.push(server)
  await new Promise<void>(resolve => { server.listen(port, LOOPBACK, resolve) })
  return (server.address() as AddressInfo).port
}

async function failureOfStart (): Promise<string> {
  gateway().startProcess()
  return String(await gateway().untilStarted().catch((error: unknown) => error))
}

const listening: (keyof GatewayAddresses)[] = ['front', 'ready', 'control', 'directory', 'heartbeats']
for (const name of listening) {
  test(`should end and name the address where that for ${name} is taken`, async () => {
    const address = gateway().addresses[name]
    await occupy(Number(address.split(':')[1]))
    assert.match(await failureOfStart(), new RegExp(`ended with code 1 before it had started:\\n[^]*EADDRINUSE[^\\n]*${address}`))
  })
}

test('should end and name the address where that for the metrics is taken', async () => {
  gateway().metricsPort = await occupy(0)
  const pattern = `ended with code 1 before it had started:\\n[^]*EADDRINUSE[^\\n]*${LOOPBACK}:${gateway().metricsPort}`
  assert.match(await failureOfStart(), new RegExp(pattern))
})

const addresses: { title: string, address: string, expected: RegExp }[] = [
  { title: 'of another machine', address: ELSEWHERE, expected: /ended with code 1[^]*203\.0\.113\.1/ },
  { title: 'without a port', address: LOOPBACK, expected: /ended with code 2[^]*front/ },
  { title: 'with a port out of range', address: `${LOOPBACK}:70000`, expected: /ended with code 2[^]*front/ },
  { title: 'that is no IP address', address: 'nowhere.invalid:18001', expected: /ended with code 2[^]*front/ }
]
for (const { title, address, expected } of addresses) {
  test(`should end and say why where the address for callers is one ${title}`, async () => {
    gateway().changeSettings({ listen: { ...gateway().addresses, front: address } })
    assert.match(await failureOfStart(), expected)
  })
}

const files: { title: string, text: string | undefined }[] = [
  { title: 'missing', text: undefined },
  { title: 'empty', text: '' },
  { title: 'cut off', text: '{"node_name": "gateway-0", "ip"' },
  { title: 'a list', text: '[]' },
  { title: 'of other fields', text: '{"a": 1}' },
  { title: 'binary', text: '\0\x01\x02' }
]
for (const { title, text } of files) {
  test(`should end and say so where the settings file is ${title}`, async () => {
    gateway().replaceSettings(text)
    assert.match(await failureOfStart(), /ended with code 2 before it had started:\n[^]*[Ss]ettings/)
  })
}

const stores: { title: string, address: () => Promise<string> }[] = [
  { title: 'refuses connections', address: async () => `${LOOPBACK}:1` },
  { title: 'never answers', address: async () => `${LOOPBACK}:${await occupy(0)}` }
]
for (const { title, address } of stores) {
  test(`should start, and say so and refuse callers, where the store ${title}`, async () => {
    gateway().changeSettings({ provider: { address: await address(), ttl_min_ms: 1_000 } })
    gateway().startProcess()
    await gateway().untilStarted()
    assert.is((await call(gateway().addresses.front, '/safe/x')).status, 503)
    await waitUntil(async () => /"event":"store-lost"/.test(gateway().output))
  })
}

test.run()
