/** Round-robin over the replicas to poll, so that each round costs a bounded number of calls for any number of replicas. */

/** Returns the names in batches, in turn. */
export class ReadRotation {
  private _names: string[] = []
  private _nextIndex = 0

  /** @param _batchSize maximum number of names in one batch */
  constructor (private readonly _batchSize: number) {}

  /** Replaces the names; the rotation continues at the same index, modulo the new count. */
  configure (names: readonly string[]): void {
    this._names = [...names]
    this._nextIndex = names.length === 0 ? 0 : this._nextIndex % names.length
  }

  /** The names of the next batch, each at most once. */
  takeBatch (): string[] {
    const count = Math.min(this._batchSize, this._names.length)
    const batch = Array.from({ length: count }, (_, index) =>
      this._names[(this._nextIndex + index) % this._names.length] as string)
    this._nextIndex = count === 0 ? 0 : (this._nextIndex + count) % this._names.length
    return batch
  }
}
