/** Histograms and counters for each workspace and kind of request, within a limit on memory. */
import type { Milliseconds, RefusalKind } from '@wasabihead/coordination'
import { CounterTable, type CountedMeasure } from './counterTable.js'
import { HistogramTable, type TimedMeasure } from './histogramTable.js'

/** Together with the counters a quarter of the 128 MB that an instance may use for control data. */
const MAXIMUM_HISTOGRAM_BYTES = 26_000_000
const MAXIMUM_COUNTER_BYTES = 6_000_000

/** Count, percentiles and maximum of a histogram. */
export interface HistogramReading {
  workspace: string
  requestKind: string
  measure: TimedMeasure
  count: number
  p50: Milliseconds
  p95: Milliseconds
  p99: Milliseconds
  maximum: Milliseconds
}

/** Value of a counter. */
export interface CounterReading {
  workspace: string
  requestKind: string
  measure: CountedMeasure
  count: number
}

/** Records measures and reads them for operators. */
export class Metrics {
  private readonly _histograms: HistogramTable
  private readonly _counters: CounterTable

  /** Limits on memory in bytes; series evicted beyond them are merged into the series named "other". */
  constructor (maximumHistogramBytes = MAXIMUM_HISTOGRAM_BYTES, maximumCounterBytes = MAXIMUM_COUNTER_BYTES) {
    this._histograms = new HistogramTable(maximumHistogramBytes)
    this._counters = new CounterTable(maximumCounterBytes)
  }

  /** Records a duration. */
  time (measure: TimedMeasure, workspace: string, requestKind: string, duration: Milliseconds): void {
    this._histograms.record({ measure, workspace, requestKind }, duration)
  }

  /** Adds the amount to a counter. */
  count (measure: CountedMeasure, workspace: string, requestKind: string, amount = 1): void {
    this._counters.add({ measure, workspace, requestKind }, amount)
  }

  /** Counts a refusal in `refusals` and in the counter of its kind. */
  countRefusal (refusal: RefusalKind, workspace: string, requestKind: string): void {
    this.count('refusals', workspace, requestKind)
    this.count(`refused-${refusal}`, workspace, requestKind)
  }

  /** Reads all histograms, sorted by workspace, kind and measure. */
  readHistograms (): HistogramReading[] {
    return this._histograms.series.map(({ workspace, requestKind, measure, value }) => ({
      workspace,
      requestKind,
      measure,
      count: value.totalCount,
      p50: value.getValueAtPercentile(50),
      p95: value.getValueAtPercentile(95),
      p99: value.getValueAtPercentile(99),
      maximum: value.maxValue
    }))
  }

  /** Reads all counters, sorted by workspace, kind and measure. */
  readCounters (): CounterReading[] {
    return this._counters.series.map(({ workspace, requestKind, measure, value }) => (
      { workspace, requestKind, measure, count: value.count }))
  }

  /** Estimated memory of all series but the "other" ones, in bytes. */
  get bytes (): number {
    return this._histograms.bytes + this._counters.bytes
  }
}
