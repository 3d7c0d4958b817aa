import dgram from 'node:dgram'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { PlatformFleet, type GatewayProcess } from './platformFleet.js'

let fleet: PlatformFleet

test.before.each(() => { fleet = new PlatformFleet() })
test.after.each(async () => { await fleet.stop() })

/** A gateway whose process has ended. */
async function endedGateway (): Promise<GatewayProcess> {
  await fleet.start(1)
  const gateway = fleet.gateways[0] as GatewayProcess
  gateway.signal('SIGKILL')
  await gateway.exited
  return gateway
}

// Guards against specs that hung for minutes because a gateway had ended at its start.
test('should report how a gateway ended that has not started', async () => {
  const gateway = await endedGateway()
  gateway.changeSettings({ provider: 'none' })
  gateway.startProcess()
  const error: unknown = await gateway.untilStarted().catch((reason: unknown) => reason)
  assert.match(String(error), /gateway-0 ended with code 2 before it had started:\n[^]*provider/)
})

// Guards against a gateway that neither starts nor ends nor says why, since the port of its heartbeats is taken.
test('should end and name the address where the UDP port of the heartbeats is taken', async () => {
  const gateway = await endedGateway()
  const [host = '', port] = gateway.addresses.heartbeats.split(':')
  const socket = dgram.createSocket('udp4')
  await new Promise<void>(resolve => { socket.bind(Number(port), host, resolve) })
  gateway.startProcess()
  const error: unknown = await gateway.untilStarted().catch((reason: unknown) => reason)
  socket.close()
  assert.match(String(error), new RegExp(`gateway-0 ended with code 1 before it had started:\\n[^]*EADDRINUSE ${gateway.addresses.heartbeats}`))
})

test.run()
