/** A request that crashes engines, sent again through every host, against real daemons. */
import got from 'got'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyDocument, Caller, Fleet, HARROWGATE_TOKEN, OPERATOR_TOKEN, waitUntil, type RunningInstance } from '@wasabihead/experiments'

const ENGINES = 6
const SENDS = 12
const CRASHING = 'Please CRASH-THE-ENGINE now'
/** The first run and the one trial. */
const MOST_CRASHES = 2

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
      await waitUntil(async () => (await sendOnce(fleet, caller, 0)) === 422 && (await sendOnce(fleet, caller, 1)) === 422)
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

function addressOf (fleet: Fleet, send: number): string {
  return (fleet.instances[send % fleet.instances.length] as RunningInstance).addresses.caller
}

/** The caller changes hosts with each send and brings a new key. */
async function sendOnce (fleet: Fleet, caller: Caller, send: number): Promise<number> {
  const answer = await caller.complete(addressOf(fleet, send), 'policy-answer', CRASHING, 8, `send-${send}-${Date.now()}`)
  return answer.status
}

async function countCrashes (fleet: Fleet): Promise<number> {
  const counts = await Promise.all(fleet.engines.map(async ({ directAddress }) =>
    (await got(`${directAddress}/standin/counts`).json<{ crashes: number }>()).crashes))
  return counts.reduce((sum, crashes) => sum + crashes, 0)
}

async function readQuarantine ({ addresses }: RunningInstance): Promise<Array<{ state: string }>> {
  const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` }
  return (await got(`${addresses.operator}/v1/quarantine`, { headers }).json<{ entries: Array<{ state: string }> }>()).entries
}

test.run()
