/** Histograms for each workspace and kind, and counters. The number of histograms is bounded; the rest share "other". */
import * as hdr from 'hdr-histogram-js'
import type { Milliseconds } from '@wasabihead/coordination'

const SIGNIFICANT_DIGITS = 2
const HIGHEST_VALUE_MILLISECONDS = 600_000
const MAXIMUM_SERIES = 512
const OTHER = 'other'

/** What is timed. */
export type TimedMeasure = 'first-token' | 'between-tokens' | 'queue-wait' | 'whole-answer'

/** What is counted. */
export type CountedMeasure =
  | 'requests' | 'refusals' | 'retries' | 'recomputed-tokens' | 'reused-tokens' | 'imported-bytes' | 'exported-bytes'

/** A histogram's figures in milliseconds. */
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

/** A counter's figure. */
export interface CounterReading {
  workspace: string
  requestKind: string
  measure: CountedMeasure
  count: number
}

interface Series<Value> {
  workspace: string
  requestKind: string
  measure: string
  value: Value
}

/** Records and reads measures. */
export class Metrics {
  private readonly _histograms = new Map<string, Series<hdr.Histogram>>()
  private readonly _counters = new Map<string, Series<{ count: number }>>()

  /** Records a duration. */
  time (measure: TimedMeasure, workspace: string, requestKind: string, duration: Milliseconds): void {
    const series = findSeries(this._histograms, measure, workspace, requestKind, createHistogram)
    series.value.recordValue(Math.min(HIGHEST_VALUE_MILLISECONDS, Math.max(0, Math.round(duration))))
  }

  /** Adds to a counter. */
  count (measure: CountedMeasure, workspace: string, requestKind: string, amount = 1): void {
    findSeries(this._counters, measure, workspace, requestKind, () => ({ count: 0 })).value.count += amount
  }

  /** All histograms' figures. */
  readHistograms (): HistogramReading[] {
    return [...this._histograms.values()].map(({ workspace, requestKind, measure, value }) => ({
      workspace,
      requestKind,
      measure: measure as TimedMeasure,
      count: value.totalCount,
      p50: value.getValueAtPercentile(50),
      p95: value.getValueAtPercentile(95),
      p99: value.getValueAtPercentile(99),
      maximum: value.maxValue
    }))
  }

  /** All counters' figures. */
  readCounters (): CounterReading[] {
    return [...this._counters.values()].map(({ workspace, requestKind, measure, value }) => ({
      workspace, requestKind, measure: measure as CountedMeasure, count: value.count
    }))
  }
}

function findSeries<Value> (
  all: Map<string, Series<Value>>, measure: string, workspace: string, requestKind: string, create: () => Value
): Series<Value> {
  const key = `${measure}\n${workspace}\n${requestKind}`
  const known = all.get(key)
  if (known !== undefined) return known
  if (all.size >= MAXIMUM_SERIES && workspace !== OTHER) return findSeries(all, measure, OTHER, OTHER, create)
  const series = { workspace, requestKind, measure, value: create() }
  all.set(key, series)
  return series
}

function createHistogram (): hdr.Histogram {
  return hdr.build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS
  })
}
