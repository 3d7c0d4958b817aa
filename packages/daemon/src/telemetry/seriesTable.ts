/** Series of values for each workspace, kind of request and measure, within a limit on memory. */

/** Name of the workspace and kind under which evicted series are merged. */
export const OTHER = 'other'

/** Estimated memory of a series besides its value: its key, names and map entry. */
const SERIES_BYTES = 500

/** Identifies a series. */
export interface SeriesName<Measure extends string> {
  workspace: string
  requestKind: string
  measure: Measure
}

/** A series with its value. */
export interface Series<Measure extends string, Value> extends SeriesName<Measure> {
  value: Value
}

interface SeriesEntry<Measure extends string, Value> extends Series<Measure, Value> {
  /** Whether it was updated since the last eviction scan passed it. */
  isRecentlyUsed: boolean
}

/** A table of series. Beyond the limit, series without recent updates are merged into "other", so that sums stay correct. */
export abstract class SeriesTable<Measure extends string, Value> {
  /** In the order of the eviction scan (second chance, or clock): setting a flag on use costs less than moving the series. */
  private readonly _series = new Map<string, SeriesEntry<Measure, Value>>()
  private readonly _others = new Map<Measure, Series<Measure, Value>>()
  private _bytes = 0

  /** @param _maximumBytes limit on the estimated memory of all series but the "other" ones */
  constructor (private readonly _maximumBytes: number) {}

  /** All series, sorted by workspace, kind and measure. */
  get series (): ReadonlyArray<Series<Measure, Value>> {
    return [...this._series.values(), ...this._others.values()].sort(byName)
  }

  /** Estimated memory of all series but the "other" ones, in bytes. */
  get bytes (): number {
    return this._bytes
  }

  /** Applies the change to the value of a series, which is created if it is new. */
  protected update (name: SeriesName<Measure>, change: (value: Value) => void): void {
    const key = `${name.measure}\n${name.workspace}\n${name.requestKind}`
    const series = this._series.get(key) ?? this._add(key, name)
    const bytesBefore = this.bytesOfValue(series.value)
    change(series.value)
    series.isRecentlyUsed = true
    this._bytes += this.bytesOfValue(series.value) - bytesBefore
    if (this._bytes > this._maximumBytes) this._evict()
  }

  /** Creates an empty value. */
  protected abstract create (): Value

  /** Adds the second value to the first. */
  protected abstract merge (into: Value, from: Value): void

  /** Estimated memory of a value in bytes. */
  protected abstract bytesOfValue (value: Value): number

  private _add (key: string, name: SeriesName<Measure>): SeriesEntry<Measure, Value> {
    const series = { ...name, value: this.create(), isRecentlyUsed: true }
    this._series.set(key, series)
    this._bytes += SERIES_BYTES + this.bytesOfValue(series.value)
    return series
  }

  private _evict (): void {
    // A series that is moved to the end is visited again with its flag cleared, so the scan ends within two rounds.
    for (const [key, series] of this._series) {
      if (this._bytes <= this._maximumBytes) return
      this._series.delete(key)
      if (series.isRecentlyUsed) {
        series.isRecentlyUsed = false
        this._series.set(key, series)
      } else {
        this._bytes -= SERIES_BYTES + this.bytesOfValue(series.value)
        this.merge(this._otherOf(series.measure).value, series.value)
      }
    }
  }

  private _otherOf (measure: Measure): Series<Measure, Value> {
    const known = this._others.get(measure)
    if (known !== undefined) return known
    const other = { workspace: OTHER, requestKind: OTHER, measure, value: this.create() }
    this._others.set(measure, other)
    return other
  }
}

function byName (left: SeriesName<string>, right: SeriesName<string>): number {
  if (left.workspace !== right.workspace) return left.workspace < right.workspace ? -1 : 1
  if (left.requestKind !== right.requestKind) return left.requestKind < right.requestKind ? -1 : 1
  return left.measure < right.measure ? -1 : 1
}
