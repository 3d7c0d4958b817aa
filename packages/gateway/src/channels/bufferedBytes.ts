/** Buffer for bytes that are processed together with later ones. */
import { concatenateOwned, type OwnedBytes } from './ownedBytes.js'

/** Each piece has a memory overhead, so pieces are joined when there are this many. */
const MAXIMUM_SEPARATE_PIECES = 256

/** An ordered buffer of byte pieces. */
export class BufferedBytes {
  private _joined: OwnedBytes[] = []
  private _pieces: OwnedBytes[] = []
  private _length = 0

  /** Number of buffered bytes. */
  get length (): number {
    return this._length
  }

  /** Appends a piece without copying it; many small pieces are joined later. */
  add (piece: OwnedBytes): void {
    this._pieces.push(piece)
    this._length += piece.length
    if (this._pieces.length < MAXIMUM_SEPARATE_PIECES) return
    this._joined.push(concatenateOwned(this._pieces))
    this._pieces = []
  }

  /** Returns all buffered bytes as one buffer and empties this one. */
  takeAll (): OwnedBytes {
    const bytes = concatenateOwned([...this._joined, ...this._pieces])
    this._joined = []
    this._pieces = []
    this._length = 0
    return bytes
  }
}
