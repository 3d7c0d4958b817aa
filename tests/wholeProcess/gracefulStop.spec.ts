/** A graceful stop interrupts no request, and logs contain no content that callers send. */
import { randomUUID } from 'node:crypto'
import got from 'got'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  applyDocument, Caller, Fleet, HARROWGATE_TOKEN, OPERATOR_TOKEN, waitUntil, WORKSPACE_SECRET, type RunningInstance
} from '@wasabihead/experiments'

const MARK = 'marked-text-of-a-caller'
const ANSWER_TOKENS = 200
const caller = new Caller(HARROWGATE_TOKEN)
let fleet: Fleet

test.before.each(async () => {
  fleet = new Fleet()
  await fleet.start({ instances: 2, engines: 2, logLevel: 'debug' })
  await fleet.waitForMembers(2)
  await applyDocument(fleet)
})
test.after.each(async () => { await fleet.stop() })

function instanceAt (index: number): RunningInstance {
  return fleet.instances[index] as RunningInstance
}

async function waitForRunning (instance: RunningInstance, count: number): Promise<void> {
  await waitUntil(async () => {
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` }
    const status = await got(`${instance.addresses.operator}/v1/status`, { headers }).json<{ running: number }>()
    return status.running >= count
  })
}

for (const [title, leave] of [
  ['SIGTERM', async (instance: RunningInstance) => { instance.program.signal('SIGTERM') }],
  ['an operator\'s drain', async (instance: RunningInstance) => { assert.is((await fleet.runOperatorTool(instance, 'drain')).code, 0) }]
] as Array<[string, (instance: RunningInstance) => Promise<void>]>) {
  test(`should finish streams, completions and claims after ${title}, and send new work elsewhere`, async () => {
    const [leaving, staying] = [instanceAt(0), instanceAt(1)]
    const { caller: address } = leaving.addresses
    const streams = Array.from({ length: 4 }, async (_, index) =>
      await caller.stream(address, 'policy-answer', `stream ${index}`, ANSWER_TOKENS))
    const others = Array.from({ length: 3 }, async (_, index) => [
      await caller.complete(address, 'policy-answer', `whole ${index}`, ANSWER_TOKENS),
      await caller.complete(address, 'policy-summary', `durable ${index}`, ANSWER_TOKENS, randomUUID())
    ])
    // An order at a frozen service keeps the instance from exiting before the checks are done.
    fleet.service.program.signal('SIGSTOP')
    const order = caller.call(address, 'uniform-order', { apron: 1 }, randomUUID())
    await waitForRunning(leaving, 8)
    await leave(leaving)
    await waitUntil(async () => !(await caller.askHosts(staying.addresses.caller, 'any')).includes(address))
    const refused = await caller.complete(address, 'policy-answer', 'late', 1)
    const { error } = refused.body as { error: { type: string, notRun: boolean, remedy: string } }
    assert.equal([refused.status, error.type, error.notRun], [503, 'shutting-down', true])
    assert.ok(error.remedy.includes(staying.addresses.caller))
    fleet.service.program.signal('SIGCONT')
    assert.is((await order).status, 200)
    for (const answer of await Promise.all(streams)) {
      assert.equal([answer.isWhole, answer.usage?.completion_tokens], [true, ANSWER_TOKENS])
    }
    for (const [whole] of await Promise.all(others)) assert.is(whole?.status, 200)
    assert.is(await leaving.program.exited, 0)
  })
}

test('should end at once at a second signal', async () => {
  const leaving = instanceAt(0)
  const broken = caller.stream(leaving.addresses.caller, 'policy-answer', 'long', 4_000).then(answer => answer.isWhole, () => false)
  await waitForRunning(leaving, 1)
  leaving.program.signal('SIGTERM')
  await waitUntil(async () => !(await caller.askHosts(instanceAt(1).addresses.caller, 'any')).includes(leaving.addresses.caller))
  leaving.program.signal('SIGTERM')
  assert.is(await leaving.program.exited, 1)
  assert.is(await broken, false)
})

test('should log each request by its id, and never a prompt, a body, a token or the secret', async () => {
  const { caller: address } = instanceAt(0).addresses
  await caller.stream(address, 'policy-answer', MARK, 5)
  await caller.complete(address, 'policy-answer', `${MARK} CRASH-THE-ENGINE`, 5)
  await caller.complete(address, 'policy-summary', MARK, 5, randomUUID())
  await caller.call(address, 'uniform-order', { apron: MARK }, randomUUID())
  await caller.call(address, 'checklist-lookup', { [MARK]: 1 })
  await caller.call(address, MARK, { apron: MARK })
  await new Caller(`${MARK}-token`).complete(address, 'policy-answer', MARK, 5)
  const lines = fleet.instances.flatMap(instance => instance.program.errorLines)
  const forbidden = [MARK, HARROWGATE_TOKEN, OPERATOR_TOKEN, WORKSPACE_SECRET]
  assert.equal(lines.filter(line => forbidden.some(text => line.includes(text))), [])
  const entries = lines.map(line => JSON.parse(line) as Record<string, unknown>)
  const attempts = entries.filter(entry => entry.message === 'attempt failed')
  assert.ok(attempts.length > 0)
  for (const entry of [...attempts, ...entries.filter(({ message }) => message === 'answered' || message === 'refused')]) {
    assert.equal([typeof entry.requestId, entry.workspace, typeof entry.requestKind], ['string', 'harrowgate', 'string'])
  }
  assert.ok(attempts.every(entry => typeof entry.attempt === 'number'))
})

test.run()
