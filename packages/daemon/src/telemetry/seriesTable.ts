/** Series of one sort of value, for each workspace, kind of request and measure, within a bound of memory. */

/** Stands for workspaces and kinds whose own series were given up for others used more lately. */
export const OTHER = 'other'

/** Memory of a series beside its value: its key, names and place in the table. */
const SERIES_BYTES = 500

/** What tells one series from another. */
export interface SeriesName<Measure extends string> {
  workspace: string
  requestKind: string
  measure: Measure
}

/** A series with its value. */
export interface Series<Measure extends string, Value> extends SeriesName<Measure> {
  value: Value
}

interface HeldSeries<Measure extends string, Value> extends Series<Measure, Value> {
  /** Whether it was used since the search for one to give up last came by. */
  isUsed: boolean
}

/** Holds series; those not used lately are merged into "other" when the bound is passed, so that sums stay right. */
export abstract class SeriesTable<Measure extends string, Value> {
  /** In the order in which the search for one to give up comes by; noting a use costs less than moving the series. */
  private readonly _series = new Map<string, HeldSeries<Measure, Value>>()
  private readonly _others = new Map<Measure, Series<Measure, Value>>()
  private _bytes = 0

  /** @param _maximumBytes bound of the memory of all series but the "other" ones */
  constructor (private readonly _maximumBytes: number) {}

  /** All series by workspace, kind and measure. */
  get series (): ReadonlyArray<Series<Measure, Value>> {
    return [...this._series.values(), ...this._others.values()].sort(byName)
  }

  /** Bytes taken by all series but the "other" ones, by reckoning. */
  get bytes (): number {
    return this._bytes
  }

  /** Changes the value of a series. */
  protected update (name: SeriesName<Measure>, change: (value: Value) => void): void {
    const key = `${name.measure}\n${name.workspace}\n${name.requestKind}`
    const series = this._series.get(key) ?? this._add(key, name)
    const bytesBefore = this.bytesOfValue(series.value)
    change(series.value)
    series.isUsed = true
    this._bytes += this.bytesOfValue(series.value) - bytesBefore
    if (this._bytes > this._maximumBytes) this._keepWithinBound()
  }

  /** A value without records. */
  protected abstract create (): Value

  /** Adds one value to another. */
  protected abstract merge (into: Value, from: Value): void

  /** Bytes of a value. */
  protected abstract bytesOfValue (value: Value): number

  private _add (key: string, name: SeriesName<Measure>): HeldSeries<Measure, Value> {
    const series = { ...name, value: this.create(), isUsed: true }
    this._series.set(key, series)
    this._bytes += SERIES_BYTES + this.bytesOfValue(series.value)
    return series
  }

  private _keepWithinBound (): void {
    // A series moved to the end is met again, unused by then, so the search ends within two rounds.
    for (const [key, series] of this._series) {
      if (this._bytes <= this._maximumBytes) return
      this._series.delete(key)
      if (series.isUsed) {
        series.isUsed = false
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
