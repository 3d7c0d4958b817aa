import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { boundOfRecomputedShare, createPolicies, faultNames, makeTrace, Replay, workloads, type Workload } from './index.js'

const SEED = 7
const small: Workload = {
  ...workloads[0] as Workload, duration: 7_200_000, warmUp: 600_000, batchInterval: 3_600_000, batchPrompts: 10
}

test('should make the same trace from the same seed, in the order of time', () => {
  const trace = makeTrace(small, SEED, 'none')
  assert.equal(trace, makeTrace(small, SEED, 'none'))
  assert.not.equal(trace, makeTrace(small, SEED + 1, 'none'))
  assert.ok(trace.every((request, index) => index === 0 || request.at >= (trace[index - 1]?.at ?? 0)))
})

for (const fault of faultNames) {
  test(`should answer every request, and never recompute less than the bound, under the fault ${fault}`, () => {
    const trace = makeTrace(small, SEED, fault)
    const bound = boundOfRecomputedShare(small, trace)
    for (const policy of createPolicies()) {
      const counts = new Replay(small, trace, policy, fault, SEED).run()
      assert.is(counts.unanswered, 0, policy.name)
      assert.ok(counts.recomputedTokens / counts.promptTokens >= bound, policy.name)
    }
  })
}

test('should give the same figures from the same seed', () => {
  const trace = makeTrace(small, SEED, 'none')
  const runs = [1, 2].map(() => createPolicies().map(policy => new Replay(small, trace, policy, 'none', SEED).run().firstTokenTimes))
  assert.equal(runs[0], runs[1])
})

test.run()
