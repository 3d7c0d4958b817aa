/** The data centres that operators have evacuated: their replicas get no requests until the entry in the store is removed. */
import { NO_ERA } from '../platform/index.js'
import type { Revised } from './messages.js'

/** The data centres whose evacuation has begun and ended. */
export interface EvacuationChanges {
  evacuated: string[]
  restored: string[]
}

/** Maximum number of ended evacuations retained. */
const MAXIMUM_ENDED = 1_000

/** Evacuated data centres by name. */
export class Evacuations {
  private readonly _entries = new Map<string, { era: number, revision: number }>()
  /** The last entries that were removed, which a peer's older catalog may still have. */
  private readonly _ended = new Map<string, { era: number, revision: number }>()

  has (zone: string): boolean {
    return this._entries.has(zone)
  }

  /** The evacuated data centres, to send to peers. */
  get entries (): Revised<string>[] {
    return [...this._entries].map(([value, { era, revision }]) => ({ era, revision, value }))
  }

  /**
   * Applies all entries of the store. An entry that a return of the store to an older copy has lost was not removed by an
   * operator: it stays in force until it is written and removed again.
   * @param era the era of the store that was listed
   */
  applyListing (listed: readonly Revised<string>[], era: number): EvacuationChanges {
    const evacuated = listed.filter(entry => this._add(entry)).map(({ value }) => value)
    const names = new Set(listed.map(({ value }) => value))
    const restored = [...this._entries].filter(([zone, entry]) => !names.has(zone) && entry.era === era).map(([zone]) => zone)
    for (const zone of restored) this._end(zone)
    return { evacuated, restored }
  }

  /** Applies the entries of a peer's catalog, which may be older; it removes nothing. Returns the data centres that are new. */
  applyPeerListing (listed: readonly Revised<string>[]): string[] {
    return listed.filter(entry => !this._isEnded(entry) && this._add(entry)).map(({ value }) => value)
  }

  private _add ({ era = NO_ERA, revision, value }: Revised<string>): boolean {
    const known = this._entries.get(value)
    if (known !== undefined && (known.era > era || (known.era === era && known.revision >= revision))) return false
    this._entries.set(value, { era, revision })
    return known === undefined
  }

  private _isEnded ({ era = NO_ERA, revision, value }: Revised<string>): boolean {
    const ended = this._ended.get(value)
    return ended !== undefined && (ended.era > era || (ended.era === era && ended.revision >= revision))
  }

  private _end (zone: string): void {
    const entry = this._entries.get(zone)
    this._entries.delete(zone)
    if (entry === undefined) return
    const oldest = this._ended.keys().next()
    if (this._ended.size >= MAXIMUM_ENDED && oldest.done !== true) this._ended.delete(oldest.value)
    this._ended.set(zone, entry)
  }
}
