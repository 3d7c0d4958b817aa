import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Metrics } from './index.js'
import { formatMetrics } from './metricsText.js'

test('should read back what was recorded, within two digits', () => {
  const metrics = new Metrics()
  for (let value = 1; value <= 1_000; value++) metrics.time('first-token', 'w', 'k', value)
  metrics.time('first-token', 'w', 'other-kind', 1e12)
  const [first, second] = metrics.readHistograms()
  assert.is(first?.count, 1_000)
  assert.ok(Math.abs((first?.p95 ?? 0) - 950) <= 10)
  assert.ok((second?.maximum ?? 0) < 610_000)
})

test('should count refusals in total and by kind', () => {
  const metrics = new Metrics()
  metrics.countRefusal('overloaded', 'w', 'k')
  metrics.countRefusal('no-replica', 'w', 'k')
  assert.equal(metrics.readCounters().map(({ measure, count }) => [measure, count]),
    [['refusals', 2], ['refused-no-replica', 1], ['refused-overloaded', 1]])
})

test('should stay within its memory limit at 2,300 workspaces and keep every record in the sums', () => {
  const bound = 1_000_000
  const metrics = new Metrics(bound, bound)
  for (let round = 0; round < 2; round++) {
    for (let index = 0; index < 2_300; index++) {
      metrics.time('first-token', `w-${index}`, 'k', index)
      metrics.time('first-token', 'w-0', 'k', 7)
      metrics.count('requests', `w-${index}`, 'k')
    }
  }
  const histograms = metrics.readHistograms()
  assert.ok(metrics.bytes <= 2 * bound)
  assert.ok(histograms.length < 2_300)
  assert.is(histograms.reduce((sum, { count }) => sum + count, 0), 9_200)
  assert.is(metrics.readCounters().reduce((sum, { count }) => sum + count, 0), 4_600)
  assert.ok(histograms.some(({ workspace }) => workspace === 'other'))
  assert.ok(histograms.some(({ workspace }) => workspace === 'w-0'), 'a series that is updated all the time stays')
})

test('should format metrics as Prometheus text', () => {
  const metrics = new Metrics()
  metrics.time('between-tokens', 'w', 'k', 5)
  metrics.count('reused-tokens', 'w', 'k', 12)
  assert.is(formatMetrics(metrics), [
    'wasabihead_between_tokens_milliseconds{workspace="w",kind="k",quantile="0.5"} 5',
    'wasabihead_between_tokens_milliseconds{workspace="w",kind="k",quantile="0.95"} 5',
    'wasabihead_between_tokens_milliseconds{workspace="w",kind="k",quantile="0.99"} 5',
    'wasabihead_between_tokens_milliseconds_count{workspace="w",kind="k"} 1',
    'wasabihead_reused_tokens_total{workspace="w",kind="k"} 12',
    ''
  ].join('\n'))
})

test.run()
