import net from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PortBlocks } from './portBlocks.js'

const test = suite('ports of test processes')

test('should never give the same port to two owners', async () => {
  const owners = Array.from({ length: 5 }, () => new PortBlocks())
  const ports = await Promise.all(owners.flatMap(owner => Array.from({ length: 60 }, async () => await owner.take())))
  assert.is(new Set(ports).size, ports.length)
  for (const owner of owners) owner.release()
})

test('should pass over a port that another process listens at', async () => {
  const owner = new PortBlocks()
  const first = await owner.take()
  const server = net.createServer()
  await new Promise<void>(resolve => { server.listen(first + 1, '127.0.0.1', resolve) })
  assert.is.not(await owner.take(), first + 1)
  server.close()
  owner.release()
})

test.run()
