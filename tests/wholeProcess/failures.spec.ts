/** Load on daemons over TCP while processes are killed, frozen and cut off. Checks the recorded history, not durations. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyDocument, Fleet, runLoad, type FaultName } from '@wasabihead/experiments'

const SHAPE = { seed: 7, requestsPerSecond: 20, duration: 3_500, prompts: 8 }
const FAULT_AT = 1_000
const FAULT_DURATION = 2_000

const scenarios: Array<{ faults: FaultName[] }> = [
  { faults: ['kill-instance'] },
  { faults: ['freeze-instance'] },
  { faults: ['stop-instance'] },
  { faults: ['silence-engine', 'silence-peers'] },
  { faults: ['freeze-engine', 'store-down'] },
  { faults: ['cut-engine', 'service-cut'] },
  { faults: ['key-value-down', 'kill-instance'] },
  { faults: ['key-value-slow', 'freeze-instance'] },
  { faults: ['key-value-lost-answers'] },
  { faults: ['key-value-silent'] }
]

for (const { faults } of scenarios) {
  test(`should keep every promise under ${faults.join(' with ')}`, async () => {
    const fleet = new Fleet()
    try {
      await fleet.start({ instances: 3, engines: 3, hasRelays: true })
      await fleet.waitForMembers(3)
      await applyDocument(fleet)
      const planned = faults.map(name => ({ name, at: FAULT_AT, duration: FAULT_DURATION }))
      const report = await runLoad(fleet, SHAPE, planned)
      assert.equal(report.breaches, [])
      assert.equal(report.records.filter(isLeftWithoutOutcome).map(({ request, sends }) => ({ request, last: sends.at(-1) })), [])
    } finally {
      await fleet.stop()
    }
  })
}

/** Whether a request ended without a whole answer; orders are exempt where the outcome cannot be known after a kill. */
function isLeftWithoutOutcome (record: Awaited<ReturnType<typeof runLoad>>['records'][number]): boolean {
  const last = record.sends.at(-1)?.outcome
  const isUnknown = last?.kind === 'refused' && last.type === 'outcome-unknown' && record.request.kind === 'uniform-order'
  return last?.kind !== 'whole' && !isUnknown
}

test.run()
