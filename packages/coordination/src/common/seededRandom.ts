/** A seeded random number generator, so that a replay repeats jitter and samples. */

/** Generates a repeatable sequence (mulberry32). Must not be used for secrets. */
export class SeededRandom {
  private _state: number

  /** @param seed any integer; the same seed gives the same sequence */
  constructor (seed: number) {
    this._state = seed >>> 0
  }

  /** The next number, at least 0 and below 1. */
  next (): number {
    this._state = (this._state + 0x6d2b79f5) >>> 0
    let mixed = this._state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }

  /** A random integer, at least 0 and below the bound. */
  integer (bound: number): number {
    return Math.floor(this.next() * bound)
  }

  /** A random item; the list must not be empty. */
  pick<Item> (items: readonly Item[]): Item {
    return items[this.integer(items.length)] as Item
  }

  /** A shuffled copy of the list (Fisher-Yates). */
  shuffle<Item> (items: readonly Item[]): Item[] {
    const shuffled = [...items]
    for (let index = shuffled.length - 1; index > 0; index--) {
      const other = this.integer(index + 1)
      const held = shuffled[index] as Item
      shuffled[index] = shuffled[other] as Item
      shuffled[other] = held
    }
    return shuffled
  }
}
