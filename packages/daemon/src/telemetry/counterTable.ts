/** Counters. */
import type { RefusalKind } from '@wasabihead/coordination'
import { SeriesTable, type SeriesName } from './seriesTable.js'

const COUNTER_BYTES = 50

/** What is counted; refusals are counted once in all and once by their name. */
export type CountedMeasure =
  | 'requests' | 'refusals' | 'retries' | 'recomputed-tokens' | 'reused-tokens' | 'imported-bytes' | 'exported-bytes'
  | `refused-${RefusalKind}`

/** A count that grows. */
export interface Counter {
  count: number
}

/** Holds counters. */
export class CounterTable extends SeriesTable<CountedMeasure, Counter> {
  /** Adds to a counter. */
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
