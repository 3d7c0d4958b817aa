import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  boundOfRecomputedShare, createPolicies, faultNames, leastRecomputedTokens, makeTrace, pooledRecomputedTokens, Replay, workloads,
  type TraceRequest, type Workload
} from './index.js'

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

test('should find the cause of each recomputed token, and split each time to first token without a rest', () => {
  const trace = makeTrace(small, SEED, 'none')
  for (const policy of createPolicies()) {
    const replay = new Replay(small, trace, policy, 'none', SEED)
    const { recomputedTokens, firstTokenTimes } = replay.run()
    const { splits, recomputedTokens: causes } = replay.explanation
    assert.is([...causes.values()].reduce((sum, tokens) => sum + tokens, 0), recomputedTokens, policy.name)
    assert.is(splits.length, firstTokenTimes.length, policy.name)
    assert.ok(splits.every(({ total, importing, queued, computing }) =>
      queued > -1 && Math.abs(importing + queued + computing - total) < 1), policy.name)
  }
})

test('should have an all-knowing policy compute the whole of a first prompt and only the rest of its return', () => {
  const request = { ...makeTrace(small, SEED, 'none')[0] as TraceRequest, promptTokens: 4_500, blockKeys: ['a', 'b'] }
  const trace = [request, { ...request, at: request.at + 1, promptTokens: 4_100 }]
  assert.equal(leastRecomputedTokens(small, trace).map(({ recomputedTokens }) => recomputedTokens), [4_500, 100])
})

test('should never have a pool that frees the least recently used recompute less than the all-knowing policy in all', () => {
  const trace = makeTrace(small, SEED, 'none')
  for (const engineCacheBlocks of [1, 30, 300]) {
    const workload = { ...small, engineCacheBlocks, storeMemoryBlocks: 0, storeDiskBlocks: 0 }
    const [least, pooled] = [leastRecomputedTokens, pooledRecomputedTokens].map(recompute =>
      recompute(workload, trace).reduce((sum, { recomputedTokens }) => sum + recomputedTokens, 0))
    assert.ok((least as number) <= (pooled as number), `${engineCacheBlocks} blocks`)
  }
})

test.run()
