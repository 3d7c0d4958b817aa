/** Requests of each kind through hosts, engines and services in separate processes. */
import { randomUUID } from 'node:crypto'
import got from 'got'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  applyDocument, Caller, DEMONSTRATION_PREFILL_RATE, Fleet, HARROWGATE_TOKEN, serveRequests, waitUntil
} from '@wasabihead/experiments'

const fleet = new Fleet()
test.before(async () => {
  await fleet.start({ instances: 2, engines: 2, prefillRate: DEMONSTRATION_PREFILL_RATE })
  await fleet.waitForMembers(2)
})
test.after(async () => { await fleet.stop() })

const headers = { authorization: `Bearer ${HARROWGATE_TOKEN}` }

/** An answer is sent before its record is written; until then a repeat with the same key learns that the request still runs. */
async function waitUntilRecorded (key: string): Promise<void> {
  const [instance] = fleet.instances
  await waitUntil(async () => {
    const found = await got(`${instance?.addresses.caller ?? ''}/v1/requests/${key}`, { headers }).json<{ state: string }>()
    return found.state === 'done'
  })
}

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
  await waitUntilRecorded(key)
  const again = await caller.call(there, 'uniform-order', { size: { waist: 3, chest: 4 }, apron: 2 }, key)
  const other = await caller.call(there, 'uniform-order', { size: { waist: 3, chest: 5 }, apron: 2 }, key)
  assert.equal([first.status, again.status, other.status], [200, 200, 422])
  assert.equal(again.body, first.body)
  for (const address of [here, there]) {
    const found = await got(`${address}/v1/requests/${key}`, { headers }).json<{ state: string, answer: { body: string } }>()
    assert.equal([found.state, JSON.parse(found.answer.body)], ['done', first.body])
    const unused = await got(`${address}/v1/requests/${randomUUID()}`, { headers, throwHttpErrors: false })
    assert.is(unused.statusCode, 404)
  }
})

test('should answer a durable chat completion in the chat shape, also when it is sent again to another host', async () => {
  const key = randomUUID()
  const json = { kind: 'policy-summary', max_tokens: 3, messages: [{ role: 'user', content: 'What is safe?' }] }
  const answers = []
  for (const { addresses } of fleet.instances) {
    answers.push(await got.post(`${addresses.caller}/v1/chat/completions`, {
      headers: { ...headers, 'idempotency-key': key }, json
    }).json<ChatAnswer>())
    await waitUntilRecorded(key)
  }
  assert.equal(answers[1], answers[0])
  assert.equal([answers[0]?.object, answers[0]?.usage.completion_tokens], ['chat.completion', 3])
  assert.ok((answers[0]?.choices[0]?.message.content ?? '').length > 0)
})

interface ChatAnswer {
  object: string
  choices: Array<{ message: { content: string } }>
  usage: { completion_tokens: number }
}

test.run()
