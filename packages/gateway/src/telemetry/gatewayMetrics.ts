/** Counters, gauges and latency histograms in the text format of Prometheus. */
import { createHistogram, type RecordableHistogram } from 'node:perf_hooks'
import type { Milliseconds } from '@wasabihead/coordination'

const MAXIMUM_DURATION: Milliseconds = 600_000
/** Two digits distinguish 410 ms from 420 ms. */
const SIGNIFICANT_DIGITS = 2
/** Maximum number of series of each type; further labels are counted as "other". */
const MAXIMUM_SERIES = 400
const PERCENTILES = [50, 95, 99]

/** The metrics of this process. Labels are names from the configuration. */
export class GatewayMetrics {
  private readonly _counters = new Map<string, number>()
  private readonly _gauges = new Map<string, number>()
  private readonly _histograms = new Map<string, RecordableHistogram>()

  /** Adds to a counter. */
  count (name: string, label = '', amount = 1): void {
    const series = this._boundedSeries(this._counters, name, label)
    this._counters.set(series, (this._counters.get(series) ?? 0) + amount)
  }

  /** Sets a value that may go up and down. */
  gauge (name: string, value: number): void {
    this._gauges.set(this._boundedSeries(this._gauges, name, ''), value)
  }

  /** Records a duration in a histogram, rounded to whole milliseconds and limited to 1 ms to `MAXIMUM_DURATION`. */
  time (name: string, label: string, duration: Milliseconds): void {
    const series = this._boundedSeries(this._histograms, `${name}_milliseconds`, label)
    let histogram = this._histograms.get(series)
    if (histogram === undefined) {
      histogram = createHistogram({ lowest: 1, highest: MAXIMUM_DURATION, figures: SIGNIFICANT_DIGITS })
      this._histograms.set(series, histogram)
    }
    histogram.record(Math.min(MAXIMUM_DURATION, Math.max(1, Math.round(duration))))
  }

  /** All metrics as text; histograms as quantiles and counts. */
  format (): string {
    const lines: string[] = []
    for (const [series, value] of [...this._counters, ...this._gauges]) lines.push(`wasabihead_${series} ${value}`)
    for (const [series, histogram] of this._histograms) {
      const [name, labels] = splitSeries(series)
      for (const percentile of PERCENTILES) {
        lines.push(`wasabihead_${name}{${labels}quantile="${percentile / 100}"} ${histogram.percentile(percentile)}`)
      }
      lines.push(`wasabihead_${name}_count{${labels}} ${histogram.count}`)
    }
    return lines.map(line => `${line}\n`).join('')
  }

  private _boundedSeries (known: ReadonlyMap<string, unknown>, name: string, label: string): string {
    const series = formatSeries(name, label)
    return known.has(series) || known.size < MAXIMUM_SERIES ? series : formatSeries(name, 'other')
  }
}

function formatSeries (name: string, label: string): string {
  return label === '' ? name : `${name}{of="${label.replaceAll(/["\\\n]/g, '_')}"}`
}

function splitSeries (series: string): [name: string, labels: string] {
  const brace = series.indexOf('{')
  return brace < 0 ? [series, ''] : [series.slice(0, brace), `${series.slice(brace + 1, -1)},`]
}
