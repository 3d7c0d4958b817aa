/** Histograms of durations for each workspace and kind of request. */
import * as hdr from 'hdr-histogram-js'
import type { Milliseconds } from '@wasabihead/coordination'
import { SeriesTable, type SeriesName } from './seriesTable.js'

/** Two digits distinguish 410 ms from 420 ms; three would need several times the memory. */
const SIGNIFICANT_DIGITS = 2
/** Narrower counters would overflow within hours. */
const COUNTER_BITS = 32
const HIGHEST_VALUE: Milliseconds = 600_000

/** The durations that are recorded. */
export type TimedMeasure = 'first-token' | 'between-tokens' | 'queue-wait' | 'whole-answer'

/** The histograms, within a limit on memory; each starts small and grows with the range of its values. */
export class HistogramTable extends SeriesTable<TimedMeasure, hdr.Histogram> {
  /** Records a duration, rounded to milliseconds and limited to `HIGHEST_VALUE`. */
  record (name: SeriesName<TimedMeasure>, duration: Milliseconds): void {
    const bounded = Math.min(HIGHEST_VALUE, Math.max(0, Math.round(duration)))
    this.update(name, histogram => { histogram.recordValue(bounded) })
  }

  protected override create (): hdr.Histogram {
    return hdr.build({
      bitBucketSize: COUNTER_BITS,
      autoResize: true,
      lowestDiscernibleValue: 1,
      highestTrackableValue: 2,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS
    })
  }

  protected override merge (into: hdr.Histogram, from: hdr.Histogram): void {
    into.add(from)
  }

  protected override bytesOfValue (histogram: hdr.Histogram): number {
    return histogram.estimatedFootprintInBytes
  }
}
