/** A key-value store in memory with compare-and-swap on one key: all that the library asks of a store. */

/** A value with the revision of its last write. */
export interface StoredValue {
  text: string
  revision: number
}

/** The store. A program of your own has a real one here. */
export class MemoryStore {
  private _revision = 0
  private readonly _values = new Map<string, StoredValue>()

  /** Reads a key. */
  read (key: string): StoredValue | undefined {
    return this._values.get(key)
  }

  /** Writes a key if its revision is the expected one, 0 for absent; gives the new revision, or undefined if it lost. */
  compareAndSwap (key: string, expectedRevision: number, text: string): number | undefined {
    if ((this._values.get(key)?.revision ?? 0) !== expectedRevision) return undefined
    this._revision += 1
    this._values.set(key, { text, revision: this._revision })
    return this._revision
  }
}
