/** The whole path over separate processes. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyDocument, Fleet, serveRequests } from '@wasabihead/experiments'

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

test.run()
