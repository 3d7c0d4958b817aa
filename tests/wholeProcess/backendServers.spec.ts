/** Daemon processes order a weight swap, and send no new work to a backend server that is leaving. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import got from 'got'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  applyDocument, Caller, Fleet, HARROWGATE_TOKEN, OPERATOR_TOKEN, runLoad, waitUntil,
  type RunningInstance, type RunningStandIn
} from '@wasabihead/experiments'

const SHAPE = { seed: 11, requestsPerSecond: 20, duration: 4_000, prompts: 6 }
const PROMPTS = 20

let fleet: Fleet
test.before.each(async () => {
  fleet = new Fleet()
  await fleet.start({ instances: 2, engines: 3 })
  await fleet.waitForMembers(2)
  await applyDocument(fleet)
})
test.after.each(async () => { await fleet.stop() })

async function read (address: string): Promise<Record<string, unknown>> {
  return await got(address, { headers: { authorization: `Bearer ${OPERATOR_TOKEN}` } }).json()
}

async function applyText (text: string): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'wasabihead-'))
  try {
    const file = join(folder, 'document.yaml')
    await writeFile(file, text)
    const applied = await fleet.runOperatorTool(fleet.instances[0] as RunningInstance, 'config', 'apply', file)
    assert.is(applied.code, 0, applied.errors)
  } finally {
    await rm(folder, { recursive: true })
  }
}

test('should swap the weights of every replica while each request is answered whole', async () => {
  const running = runLoad(fleet, SHAPE, [])
  await applyText(fleet.document().replace('activeWeightVersion: v1', 'activeWeightVersion: v2'))
  await waitUntil(async () => {
    const states = await Promise.all(fleet.engines.map(async engine => await read(`${engine.directAddress}/state`)))
    return states.every(state => state.weight_version === 'v2' && state.loading === false)
  })
  const report = await running
  assert.equal(report.breaches, [])
  const unfinished = report.records.filter(({ sends }) => sends.at(-1)?.outcome.kind !== 'whole')
  assert.equal(unfinished.map(({ request, sends }) => [request.kind, sends.at(-1)]), [])
})

test('should give a leaving backend server no new work once its leaving is known', async () => {
  const listed = fleet.engines.map((engine, index) => ({
    name: `engine-${index}`, address: engine.address, state: index === 0 ? 'leaving' : 'live'
  }))
  await got.put(`${fleet.hostList.directAddress}/standin/hosts`, { json: listed })
  for (const instance of fleet.instances) {
    await waitUntil(async () => (await read(`${instance.addresses.operator}/v1/leaving`)).servers?.toString() === 'engine-0')
  }
  const countsOf = async (): Promise<unknown> =>
    (await read(`${(fleet.engines[0] as RunningStandIn).directAddress}/standin/counts`)).completions
  const before = await countsOf()
  const caller = new Caller(HARROWGATE_TOKEN)
  const answers = await Promise.all(Array.from({ length: PROMPTS }, async (_, index) => {
    const instance = fleet.instances[index % fleet.instances.length] as RunningInstance
    return await caller.stream(instance.addresses.caller, 'policy-answer', `question ${index}`, 4)
  }))
  assert.ok(answers.every(answer => answer.isWhole))
  assert.is(await countsOf(), before)
})

test.run()
