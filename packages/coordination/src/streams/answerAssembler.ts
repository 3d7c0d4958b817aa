/**
 * Assembles one streamed answer from the parts of one or more attempts. Parts may arrive late, more than once or out of
 * order; parts with the nonce of another attempt or with another weight version than the answer's are dropped.
 */
import type { EnginePart } from '../platform/index.js'

/** Maximum number of parts that are buffered because an earlier one is missing. */
export const MAXIMUM_BUFFERED_PARTS = 256

/** A part that is delivered in order. */
export interface OrderedPart {
  sequence: number
  text: string
}

/** Token counts of a complete answer. */
export interface AnswerEnd {
  tokenCount: number
  promptTokens: number
  cachedTokens: number
}

/** Assembles one answer. The delivered tokens carry over from one attempt to the next. */
export class AnswerAssembler {
  private _nonce = ''
  private _nextSequence = 0
  private readonly _buffered = new Map<number, string>()
  private _end: AnswerEnd | undefined
  private _isInvalid = false

  /**
   * @param weightVersion version that every part must name
   * @param _maximumTokens maximum number of tokens requested; an attempt that exceeds it is invalid
   */
  constructor (readonly weightVersion: string, private readonly _maximumTokens = Infinity) {}

  /** Number of tokens delivered in order so far; the next attempt resumes after them. */
  get deliveredTokens (): number {
    return this._nextSequence
  }

  /** Whether every token up to the end has been delivered. */
  get isWhole (): boolean {
    return !this._isInvalid && this._end !== undefined && this._nextSequence === this._end.tokenCount
  }

  /** Whether the attempt sent something that cannot be part of an answer to this request; it should be abandoned. */
  get isInvalid (): boolean {
    return this._isInvalid
  }

  /** Counts of the answer; undefined until it is complete. */
  get end (): AnswerEnd | undefined {
    return this.isWhole ? this._end : undefined
  }

  /** Starts an attempt; buffered and later parts of earlier attempts are dropped. */
  beginAttempt (nonce: string): void {
    this._nonce = nonce
    this._buffered.clear()
    this._end = undefined
    this._isInvalid = false
  }

  /** Whether a part belongs to the current attempt. A part with another nonce or version does not count as progress. */
  belongs (part: EnginePart): boolean {
    return part.nonce === this._nonce && part.weightVersion === this.weightVersion
  }

  /** Accepts a part; returns the parts that can now be delivered, in order. */
  accept (part: EnginePart): OrderedPart[] {
    if (!this.belongs(part) || this._isInvalid) return []
    if (part.kind === 'end') return this._acceptEnd(part)
    const limit = this._end?.tokenCount ?? this._maximumTokens
    if (part.sequence >= limit) return this._invalidate()
    if (part.sequence >= this._nextSequence) this._buffered.set(part.sequence, part.text)
    const ordered = this._takeOrdered()
    if (this._buffered.size > MAXIMUM_BUFFERED_PARTS) this._invalidate()
    return ordered
  }

  private _acceptEnd (part: Extract<EnginePart, { kind: 'end' }>): OrderedPart[] {
    const highest = Math.max(this._nextSequence - 1, ...this._buffered.keys())
    if (part.tokenCount > this._maximumTokens || part.tokenCount <= highest) return this._invalidate()
    this._end = { tokenCount: part.tokenCount, promptTokens: part.promptTokens, cachedTokens: part.cachedTokens }
    return []
  }

  private _invalidate (): OrderedPart[] {
    this._isInvalid = true
    this._buffered.clear()
    return []
  }

  private _takeOrdered (): OrderedPart[] {
    const ordered: OrderedPart[] = []
    for (;;) {
      const text = this._buffered.get(this._nextSequence)
      if (text === undefined) return ordered
      this._buffered.delete(this._nextSequence)
      ordered.push({ sequence: this._nextSequence, text })
      this._nextSequence += 1
    }
  }
}
