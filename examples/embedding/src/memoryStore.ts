/** A key-value store in memory with compare-and-swap on single keys, which is all that the library requires of a store. */

/** A value with the revision of its last write. */
export interface StoredValue {
  text: string
  revision: number
}

/** Replace it by a persistent store that all processes share. */
export class MemoryStore {
  private _revision = 0
  private readonly _values = new Map<string, StoredValue>()

  /** Reads a key; undefined if it is absent. */
  read (key: string): StoredValue | undefined {
    return this._values.get(key)
  }

  /**
   * Writes a key if its revision is the expected one; 0 stands for an absent key.
   * @returns the new revision, or undefined if the revision was another
   */
  compareAndSwap (key: string, expectedRevision: number, text: string): number | undefined {
    if ((this._values.get(key)?.revision ?? 0) !== expectedRevision) return undefined
    this._revision += 1
    this._values.set(key, { text, revision: this._revision })
    return this._revision
  }
}
