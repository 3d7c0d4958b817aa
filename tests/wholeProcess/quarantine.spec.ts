/** A request that crashes engines, repeated through every host, against daemon processes. */
import { randomUUID } from 'node:crypto'
import got from 'got'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyDocument, Caller, Fleet, HARROWGATE_TOKEN, OPERATOR_TOKEN, waitUntil, type RunningInstance } from '@wasabihead/experiments'

const ENGINES = 6
const SENDS = 12
const CRASHING = 'Please CRASH-THE-ENGINE now'
/** One crash of the first run, and one of the trial run. */
const MOST_CRASHES = 2

interface Listed {
  fingerprint: string
  state: string
}

const scenarios = [
  { title: 'with the key-value service up', isServiceDown: false },
  { title: 'with the key-value service down', isServiceDown: true }
]
for (const { title, isServiceDown } of scenarios) {
  test(`should lose at most two replicas to one request ${title}, and serve the others`, async () => {
    const fleet = new Fleet()
    try {
      await fleet.start({ instances: 2, engines: ENGINES })
      await fleet.waitForMembers(2)
      await applyDocument(fleet)
      if (isServiceDown) await fleet.setFaults(fleet.keyValue, { isDown: true })
      const caller = new Caller(HARROWGATE_TOKEN)
      const statuses: number[] = []
      for (let send = 0; send < SENDS; send++) statuses.push(await sendOnce(fleet, caller, send))
      await waitUntil(async () => (await countCrashes(fleet)) > MOST_CRASHES || await isRefusedEverywhere(fleet, caller))
      assert.is(await countCrashes(fleet), MOST_CRASHES, statuses.join(' '))
      const listed = await Promise.all(fleet.instances.map(readQuarantine))
      assert.equal(listed.map(entries => entries.map(({ state }) => state)), [['quarantined'], ['quarantined']])
      const other = await caller.stream(addressOf(fleet, 1), 'policy-answer', 'A prompt that harms nobody', 8)
      assert.ok(other.isWhole)
    } finally {
      await fleet.stop()
    }
  })
}

test('should answer a durable request that crashes replicas before its deadline, and run the kept one once released', async () => {
  const fleet = new Fleet()
  try {
    await fleet.start({ instances: 2, engines: ENGINES })
    await fleet.waitForMembers(2)
    await applyDocument(fleet)
    const caller = new Caller(HARROWGATE_TOKEN)
    assert.is(await sendOnce(fleet, caller, 0, 'policy-summary'), 422)
    assert.is(await sendOnce(fleet, caller, 1, 'policy-summary'), 422)
    assert.is(await countCrashes(fleet), MOST_CRASHES)
    const [entry] = await readQuarantine(fleet.instances[1] as RunningInstance)
    const released = await fleet.runOperatorTool(fleet.instances[1] as RunningInstance, 'quarantine', 'release', entry?.fingerprint ?? '')
    assert.is(released.code, 0, released.errors)
    await waitUntil(async () => (await countCrashes(fleet)) > MOST_CRASHES)
  } finally {
    await fleet.stop()
  }
})

function addressOf (fleet: Fleet, send: number): string {
  return (fleet.instances[send % fleet.instances.length] as RunningInstance).addresses.caller
}

async function isRefusedEverywhere (fleet: Fleet, caller: Caller): Promise<boolean> {
  const statuses = await Promise.all(fleet.instances.map(async (_, index) => await sendOnce(fleet, caller, index)))
  return statuses.every(status => status === 422)
}

/** Sends the request to the next host with a new idempotency key; resolves with the answer's status. */
async function sendOnce (fleet: Fleet, caller: Caller, send: number, kind = 'policy-answer'): Promise<number> {
  const answer = await caller.complete(addressOf(fleet, send), kind, CRASHING, 8, randomUUID())
  return answer.status
}

async function countCrashes (fleet: Fleet): Promise<number> {
  const counts = await Promise.all(fleet.engines.map(async ({ directAddress }) =>
    (await got(`${directAddress}/standin/counts`).json<{ crashes: number }>()).crashes))
  return counts.reduce((sum, crashes) => sum + crashes, 0)
}

async function readQuarantine ({ addresses }: RunningInstance): Promise<Listed[]> {
  const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` }
  return (await got(`${addresses.operator}/v1/quarantine`, { headers }).json<{ entries: Listed[] }>()).entries
}

test.run()
