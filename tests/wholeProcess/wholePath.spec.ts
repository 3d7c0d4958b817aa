/** The whole path over separate processes. */
import { randomUUID } from 'node:crypto'
import got from 'got'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyDocument, Caller, Fleet, HARROWGATE_TOKEN, serveRequests } from '@wasabihead/experiments'

const fleet = new Fleet()
test.before(async () => {
  await fleet.start({ instances: 2, engines: 2 })
  await fleet.waitForMembers(2)
})
test.after(async () => { await fleet.stop() })

test('should serve one request of each kind and a returning prompt whole', async () => {
  const steps = [await applyDocument(fleet)]
  for await (const step of serveRequests(fleet)) steps.push(step)
  const failed = steps.filter(step => !step.isWhole)
  assert.equal(failed, [])
  assert.is(steps.length, 7)
})

test('should give the kept answer whatever the order of the fields, and look the request up on either host', async () => {
  const caller = new Caller(HARROWGATE_TOKEN)
  const [here, there] = fleet.instances.map(({ addresses }) => addresses.caller) as [string, string]
  const key = randomUUID()
  const first = await caller.call(here, 'uniform-order', { apron: 2, size: { chest: 4, waist: 3 } }, key)
  const again = await caller.call(there, 'uniform-order', { size: { waist: 3, chest: 4 }, apron: 2 }, key)
  const other = await caller.call(there, 'uniform-order', { size: { waist: 3, chest: 5 }, apron: 2 }, key)
  assert.equal([first.status, again.status, other.status], [200, 200, 422])
  assert.equal(again.body, first.body)
  for (const address of [here, there]) {
    const headers = { authorization: `Bearer ${HARROWGATE_TOKEN}` }
    const found = await got(`${address}/v1/requests/${key}`, { headers }).json<{ state: string, answer: { body: string } }>()
    assert.equal([found.state, JSON.parse(found.answer.body)], ['done', first.body])
    const unused = await got(`${address}/v1/requests/${randomUUID()}`, { headers, throwHttpErrors: false })
    assert.is(unused.statusCode, 404)
  }
})

test.run()
