/** Body data of one read, joined to one piece. */
import { ownedCopy, ownedSlice, type OwnedBytes } from './ownedBytes.js'

/** A piece that is a smaller share of the bytes read than this is copied, so that it does not retain them. */
const MINIMUM_SHARE_TO_RETAIN = 0.5

/** Joins ranges of the same bytes, in order and without a copy of the first one, by moving the later ones forward in them. */
export class BodyPiece {
  private _begin = 0
  private _end = 0

  /** @param _bytes what was read; nothing before the range that is appended next is needed any more */
  constructor (private readonly _bytes: OwnedBytes) {}

  /** Number of bytes appended. */
  get length (): number {
    return this._end - this._begin
  }

  /** Appends a range of the bytes. */
  append (offset: number, length: number): void {
    if (this._end === 0) this._begin = offset
    else if (this._end !== offset) this._bytes.copyWithin(this._end, offset, offset + length)
    this._end = (this._end === 0 ? offset : this._end) + length
  }

  /** Returns the ranges as one piece. Nothing is appended after it. */
  take (): OwnedBytes {
    const piece = ownedSlice(this._bytes, this._begin, this._end)
    return piece.length < this._bytes.length * MINIMUM_SHARE_TO_RETAIN ? ownedCopy(piece) : piece
  }
}
