/** Bounds the memory that answers take together which are held until more of them has arrived. */

/** What each of many holders holds, in bytes, and which of them have to let go of it. */
export class HeldBytes<Holder> {
  private readonly _held = new Map<Holder, number>()
  private _total = 0

  /** @param _limit bytes that all holders together may hold */
  constructor (private readonly _limit: number) {}

  /** Bytes that all holders hold together. */
  get total (): number {
    return this._total
  }

  /** Records how much a holder holds now. */
  set (holder: Holder, bytes: number): void {
    this._total += bytes - (this._held.get(holder) ?? 0)
    if (bytes > 0) this._held.set(holder, bytes)
    else this._held.delete(holder)
  }

  /** Records that a holder holds nothing any more. */
  release (holder: Holder): void {
    this.set(holder, 0)
  }

  /** Whether so much is held that a holder which can do without should hold no more. */
  get isCrowded (): boolean {
    return this._total > this._limit / 2
  }

  /** Whether the holders exceed the limit and this one holds at least an equal share of it, so that it has to let go. */
  isExcessive (holder: Holder): boolean {
    return this._total > this._limit && (this._held.get(holder) ?? 0) * this._held.size >= this._limit
  }
}
