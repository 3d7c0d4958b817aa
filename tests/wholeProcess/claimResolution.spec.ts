/** An order whose host is killed while the service processes it: the outcome is unknown until an operator resolves it. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyDocument, Caller, Fleet, HARROWGATE_TOKEN, waitUntil, type RunningInstance } from '@wasabihead/experiments'

const KEY = 'order-77'
const KIND = 'uniform-order'
const ORDER = { apron: 1 }

const fleet = new Fleet()
test.before(async () => {
  await fleet.start({ instances: 2, engines: 1 })
  await fleet.waitForMembers(2)
  await applyDocument(fleet)
})
test.after(async () => { await fleet.stop() })

test('should never send the order again, and answer as the operator resolved it', async () => {
  const [survivor, victim] = fleet.instances as [RunningInstance, RunningInstance]
  const operate = async (...words: string[]) => await fleet.runOperatorTool(survivor, 'claims', ...words)
  const claims = async (): Promise<Array<{ idempotencyKey: string, state: string }>> =>
    JSON.parse((await operate('list', '--json')).output).claims
  const caller = new Caller(HARROWGATE_TOKEN)

  fleet.service.program.signal('SIGSTOP')
  const lost = caller.call(victim.addresses.caller, KIND, ORDER, KEY).catch(() => 'lost')
  await waitUntil(async () => (await claims()).some(({ idempotencyKey }) => idempotencyKey === KEY))
  await fleet.killInstance(victim)
  fleet.service.program.signal('SIGCONT')
  assert.is(await lost, 'lost')

  await waitUntil(async () => (await claims()).some(({ state }) => state === 'unknown'))
  const unknown = await caller.call(survivor.addresses.caller, KIND, ORDER, KEY)
  assert.equal([unknown.status, (unknown.body as { error: { notRun: unknown } }).error.notRun], [409, 'unknown'])
  assert.is((await operate('resolve', 'harrowgate', KEY, '--outcome', 'not-run')).code, 1, 'a paused host might still send')
  assert.is((await operate('resolve', 'harrowgate', KEY, '--outcome', 'ran')).code, 0)
  const resolved = await caller.call(survivor.addresses.caller, KIND, ORDER, KEY)
  assert.equal([resolved.status, (resolved.body as { error: { notRun: unknown } }).error.notRun], [410, false])
  assert.ok((await fleet.recordedCalls()).length <= 1)
})

test.run()
