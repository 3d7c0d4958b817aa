/** Which replicas an instance reads next, so that reading costs a bounded number of calls however many replicas there are. */

/** Takes names in turn. */
export class ReadRotation {
  private _names: string[] = []
  private _next = 0

  /** @param _namesPerTurn most names in one turn */
  constructor (private readonly _namesPerTurn: number) {}

  /** Sets the names; the turn goes on where it was. */
  configure (names: readonly string[]): void {
    this._names = [...names]
    this._next = names.length === 0 ? 0 : this._next % names.length
  }

  /** The names of the next turn, each at most once. */
  takeTurn (): string[] {
    const count = Math.min(this._namesPerTurn, this._names.length)
    const turn = Array.from({ length: count }, (_, index) => this._names[(this._next + index) % this._names.length] as string)
    this._next = count === 0 ? 0 : (this._next + count) % this._names.length
    return turn
  }
}
