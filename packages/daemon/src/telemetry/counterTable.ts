/** Counters for each workspace and kind of request. */
import type { RefusalKind } from '@wasabihead/coordination'
import { SeriesTable, type SeriesName } from './seriesTable.js'

const COUNTER_BYTES = 50

/** What is counted. Each refusal is counted twice: as `refusals` and by its kind. */
export type CountedMeasure =
  | 'requests' | 'refusals' | 'retries' | 'recomputed-tokens' | 'reused-tokens' | 'imported-bytes' | 'exported-bytes'
  | 'dropped-callers'
  | `refused-${RefusalKind}`

/** A count that never decreases. */
export interface Counter {
  count: number
}

/** The counters, within a limit on memory. */
export class CounterTable extends SeriesTable<CountedMeasure, Counter> {
  /** Adds the amount to the counter of the series. */
  add (name: SeriesName<CountedMeasure>, amount: number): void {
    this.update(name, counter => { counter.count += amount })
  }

  protected override create (): Counter {
    return { count: 0 }
  }

  protected override merge (into: Counter, from: Counter): void {
    into.count += from.count
  }

  protected override bytesOfValue (): number {
    return COUNTER_BYTES
  }
}
