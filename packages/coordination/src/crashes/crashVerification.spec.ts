import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CrashVerification, type CrashReport, type SuspectedReplica } from './index.js'

const replica = (id: string, service = 's'): SuspectedReplica => ({ id, run: `${id}/1`, service })
const report: CrashReport = { fingerprint: 'f', replicaRun: 'a/1', service: 's', features: [], age: 0 }

type Step = [at: number, event: 'connected' | 'failed' | 'ended' | 'cut-off', id?: string]

/** Replica `a` is lost at 0; returns how often its crash is verified by the steps after that. */
function verifiedBy (steps: readonly Step[]): number {
  const verification = new CrashVerification()
  verification.add(replica('a'), report, 0)
  let verified = 0
  for (const [at, event, id = 'a'] of steps) {
    if (event === 'connected') verification.onConnected(replica(id, id === 'other-service' ? 't' : 's'), at)
    if (event === 'failed') {
      const outcome = verification.onConnectFailed(`${id}/1`)
      if (Array.isArray(outcome)) verified += outcome.length
    }
    if (event === 'cut-off') verification.onCutOff('s')
    if (event === 'ended') verified += verification.onRunEnded(`${id}/1`).length
  }
  return verified
}

const cases: { title: string, steps: Step[], verified: number }[] = [
  { title: 'a replica that can be connected to at once', steps: [[1, 'connected'], [2, 'connected', 'b'], [3, 'failed']], verified: 0 },
  { title: 'a failed connection alone', steps: [[1, 'failed'], [2, 'failed']], verified: 0 },
  { title: 'a replica that fails just after another one was connected to', steps: [[1, 'failed'], [2, 'connected', 'b'], [3, 'failed']], verified: 1 },
  { title: 'a replica that fails after one of another service was connected to', steps: [[1, 'failed'], [2, 'connected', 'other-service'], [3, 'failed']], verified: 0 },
  { title: 'failures while all replicas fail', steps: [[1, 'failed'], [1, 'failed', 'b'], [2, 'cut-off'], [3, 'failed']], verified: 0 },
  { title: 'a replica that is reached again together with the others', steps: [[1, 'failed'], [2, 'cut-off'], [900, 'connected', 'b'], [901, 'connected']], verified: 0 },
  { title: 'a run that ended', steps: [[1, 'failed'], [2, 'cut-off'], [1_500, 'connected'], [1_600, 'ended']], verified: 1 },
  { title: 'a run that ended after a connection was opened at once', steps: [[1, 'connected'], [1_600, 'ended']], verified: 0 },
  { title: 'a crash only once', steps: [[1, 'failed'], [2, 'connected', 'b'], [3, 'failed'], [4, 'ended']], verified: 1 }
]
for (const { title, steps, verified } of cases) {
  test(`should count ${verified === 1 ? '' : 'no crash by '}${title}`, () => { assert.is(verifiedBy(steps), verified) })
}

test('should have a lost replica probed once, another one if it fails, and the first again when that one is reached', () => {
  const verification = new CrashVerification()
  assert.equal([verification.add(replica('a'), report, 0), verification.add(replica('a'), report, 1)], [true, false])
  assert.is(verification.onConnectFailed('a/1'), 'probe-another')
  assert.equal(verification.onConnected(replica('b'), 2), ['a'])
  assert.equal(verification.onConnectFailed('a/1'), [{ report, at: 0 }, { report, at: 0 }])
})

test('should forget a loss without a verdict', () => {
  const verification = new CrashVerification()
  verification.add(replica('a'), report, 0)
  verification.add(replica('b'), report, 10_001)
  assert.equal(verification.onRunEnded('a/1'), [])
})

test.run()
