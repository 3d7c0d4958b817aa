import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LEAVING_RETENTION, LEAVING_REFRESH_INTERVAL, LeavingServers } from './leavingServers.js'

const leaving = [{ name: 'engine-0', address: 'http://127.0.0.1:1', state: 'leaving' as const }]

test('should give no work to a server from the first report that it is leaving', () => {
  const servers = new LeavingServers()
  assert.equal(servers.onListed(leaving, 10), { servers: ['engine-0'] })
  assert.ok(servers.isLeaving('engine-0', 10))
  assert.not(servers.isLeaving('engine-1', 10))
})

test('should retain a report of leaving while the list still shows the server as live', () => {
  const servers = new LeavingServers()
  servers.onReceived(['engine-0'], 0)
  servers.onListed([{ ...leaving[0]!, state: 'live' }], 1)
  assert.ok(servers.isLeaving('engine-0', LEAVING_RETENTION - 1))
  assert.not(servers.isLeaving('engine-0', LEAVING_RETENTION))
  assert.equal(servers.leaving(LEAVING_RETENTION), [])
})

test('should forward a report of leaving once in each refresh interval, so that it does not circulate forever', () => {
  const servers = new LeavingServers()
  const told = [0, 1, LEAVING_REFRESH_INTERVAL - 1, LEAVING_REFRESH_INTERVAL, LEAVING_REFRESH_INTERVAL + 1]
    .filter(now => servers.onReceived(['engine-0'], now).servers.length > 0)
  assert.equal(told, [0, LEAVING_REFRESH_INTERVAL])
})

test('should not make a report younger when two instances keep fetching it from each other', () => {
  const [first, second] = [new LeavingServers(), new LeavingServers()]
  first.onReceived(['engine-0'], 0)
  const end = 3 * LEAVING_RETENTION
  for (let now = 0; now < end; now += 1_000) {
    const [asker, askee] = now % 2_000 === 0 ? [second, first] : [first, second]
    const answered = askee.words(now + 100)
    asker.onAnswered(answered, now, now + 200)
  }
  for (const servers of [first, second]) assert.not(servers.isLeaving('engine-0', LEAVING_RETENTION))
})

test('should retain a report received in an answer for the rest of its retention', () => {
  const servers = new LeavingServers()
  servers.onAnswered([{ server: 'engine-0', age: 50_000 }], 1_000, 1_100)
  assert.ok(servers.isLeaving('engine-0', LEAVING_RETENTION - 49_001))
  assert.not(servers.isLeaving('engine-0', LEAVING_RETENTION - 49_000))
})

test.run()
