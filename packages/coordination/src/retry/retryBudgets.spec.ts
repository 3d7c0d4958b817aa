import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { RetryBudgets, jitteredRetryAfter } from './index.js'

const settings = { retryShare: 0.2, maximumSavedRetries: 2, maximumBudgets: 2, idleTime: 1_000 }

test('should limit retries to the saved ones and a share of first attempts', () => {
  const budgets = new RetryBudgets({ ...settings, maximumBudgets: 10 })
  let retries = 0
  for (let firstTry = 0; firstTry < 100; firstTry++) {
    const budget = budgets.onFirstAttempt('warmerhomes', 'draft-letter', firstTry)
    while (budget.trySpend()) retries += 1
  }
  assert.is(retries, 2 + Math.floor(99 * 0.2))
})

test('should keep separate budgets for workspaces and kinds', () => {
  const budgets = new RetryBudgets({ ...settings, maximumBudgets: 10 })
  const first = budgets.onFirstAttempt('a', 'b', 0)
  while (first.trySpend());
  for (const [workspace, kind] of [['a', 'c'], ['b', 'b']] as const) {
    assert.ok(budgets.onFirstAttempt(workspace, kind, 0).trySpend())
  }
})

const evictions = [
  { title: 'the least recently used past the bound', times: [0, 1, 2], expected: 2 },
  { title: 'those unused for the idle time', times: [0, 1, 1_001], expected: 1 }
]
for (const { title, times, expected } of evictions) {
  test(`should evict ${title}`, () => {
    const budgets = new RetryBudgets(settings)
    times.forEach((time, index) => { budgets.onFirstAttempt(`workspace-${index}`, 'kind', time) })
    assert.is(budgets.size, expected)
  })
}

test('should jitter retry delays from one to two times the given one', () => {
  assert.equal([0, 0.5, 0.999].map(sample => jitteredRetryAfter(1_000, sample)), [1_000, 1_500, 1_999])
})

test.run()
