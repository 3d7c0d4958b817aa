/** Bytes that wait for those that follow them. */
import { joined, type OwnedBytes } from './ownedBytes.js'

/** Each piece costs memory besides its bytes, so that so many of them are joined. */
const JOINED_PIECES = 256

/** Holds pieces in their order. */
export class HeldBytes {
  private _joined: OwnedBytes[] = []
  private _pieces: OwnedBytes[] = []
  private _length = 0

  /** Bytes that are held. */
  get length (): number {
    return this._length
  }

  /** Adds a piece. */
  add (piece: OwnedBytes): void {
    this._pieces.push(piece)
    this._length += piece.length
    if (this._pieces.length < JOINED_PIECES) return
    this._joined.push(joined(this._pieces))
    this._pieces = []
  }

  /** All that is held, which is then held no longer. */
  take (): OwnedBytes {
    const bytes = joined([...this._joined, ...this._pieces])
    this._joined = []
    this._pieces = []
    this._length = 0
    return bytes
  }
}
