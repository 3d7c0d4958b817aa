/** Counters and latency histograms, as text that Prometheus and its kin read. */
import { createHistogram, type RecordableHistogram } from 'node:perf_hooks'
import type { Milliseconds } from '@wasabihead/coordination'

const LONGEST: Milliseconds = 600_000
/** Two digits tell 410 ms from 420 ms. */
const SIGNIFICANT_DIGITS = 2
/** Most series; what passes them is counted under "other". */
const MAXIMUM_SERIES = 400
const PERCENTILES = [50, 95, 99]

/** Holds the figures. Labels are names from the configuration. */
export class GatewayMetrics {
  private readonly _counters = new Map<string, number>()
  private readonly _histograms = new Map<string, RecordableHistogram>()

  /** Adds to a counter. */
  count (name: string, label = '', amount = 1): void {
    const series = this._series(this._counters, name, label)
    this._counters.set(series, (this._counters.get(series) ?? 0) + amount)
  }

  /** Records a duration. */
  time (name: string, label: string, duration: Milliseconds): void {
    const series = this._series(this._histograms, `${name}_milliseconds`, label)
    let histogram = this._histograms.get(series)
    if (histogram === undefined) {
      histogram = createHistogram({ lowest: 1, highest: LONGEST, figures: SIGNIFICANT_DIGITS })
      this._histograms.set(series, histogram)
    }
    histogram.record(Math.min(LONGEST, Math.max(1, Math.round(duration))))
  }

  /** All figures as text. */
  format (): string {
    const lines: string[] = []
    for (const [series, count] of this._counters) lines.push(`wasabihead_${series} ${count}`)
    for (const [series, histogram] of this._histograms) {
      const [name, labels] = splitSeries(series)
      for (const percentile of PERCENTILES) {
        lines.push(`wasabihead_${name}{${labels}quantile="${percentile / 100}"} ${histogram.percentile(percentile)}`)
      }
      lines.push(`wasabihead_${name}_count{${labels}} ${histogram.count}`)
    }
    return lines.map(line => `${line}\n`).join('')
  }

  private _series (known: ReadonlyMap<string, unknown>, name: string, label: string): string {
    const series = seriesOf(name, label)
    return known.has(series) || known.size < MAXIMUM_SERIES ? series : seriesOf(name, 'other')
  }
}

function seriesOf (name: string, label: string): string {
  return label === '' ? name : `${name}{of="${label.replaceAll(/["\\\n]/g, '_')}"}`
}

function splitSeries (series: string): [name: string, labels: string] {
  const brace = series.indexOf('{')
  return brace < 0 ? [series, ''] : [series.slice(0, brace), `${series.slice(brace + 1, -1)},`]
}
