import net from 'node:net'
import { once } from 'node:events'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { MachineUsage } from './machineUsage.js'

const BYTES = 1_250_000

/** Sends 10 Mbit over a connection in this process. */
async function transfer (): Promise<void> {
  const server = net.createServer(socket => { socket.end(Buffer.alloc(BYTES)) }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1').resume()
  await once(socket, 'close')
  server.close()
  await once(server, 'close')
}

// Guards against an active set that does not grow where a slow link is the scarcest resource.
const links = [
  { title: 'the share of the link, averaged', linkMegabitsPerSecond: 10, expected: 0.3 },
  { title: 'less of a faster link', linkMegabitsPerSecond: 100, expected: 0.03 },
  { title: 'nothing of a link whose speed is not known', linkMegabitsPerSecond: undefined, expected: 0 }
]
for (const { title, linkMegabitsPerSecond, expected } of links) {
  test(`should measure ${title}`, async () => {
    const usage = new MachineUsage({ linkMegabitsPerSecond })
    assert.is(usage.sample(0), 0)
    await transfer()
    assert.is(usage.sample(999), 0, 'a shorter interval')
    assert.ok(Math.abs(usage.sample(1_000) - expected) < 0.001)
  })
}

test.run()
