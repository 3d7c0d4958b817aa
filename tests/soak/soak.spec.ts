/** Short soak runs with fixed seeds, among them each seed that has failed before. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runSoak } from './soakRun.js'

const DURATION_MILLISECONDS = 6_000
const SEEDS = [20261204, 20261205]

for (const seed of SEEDS) {
  test(`should keep the promises under faults, seed ${seed}`, async () => {
    const report = await runSoak({ seed, milliseconds: DURATION_MILLISECONDS, gateways: 3, replicas: 3, requestInterval: 15 })
    assert.equal(report.violations, [], report.faults.join('\n'))
    assert.ok(report.answers[200] !== undefined, 'requests were served')
  })
}

test.run()
