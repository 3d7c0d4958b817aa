/**
 * Puts the parts of one streamed answer together over one or more attempts. Parts may come late, twice or out of
 * order; parts of another attempt's nonce or another weight version than the answer began with are dropped.
 */
import type { EnginePart } from '../platform/index.js'

/** Most parts that are held because an earlier one is missing. */
export const MAXIMUM_EARLY_PARTS = 256

/** A part in the answer's order. */
export interface OrderedPart {
  sequence: number
  text: string
}

/** What the assembler knows when an answer is whole. */
export interface AnswerEnd {
  tokenCount: number
  promptTokens: number
  cachedTokens: number
}

/** Assembles one answer. */
export class AnswerAssembler {
  private _nonce = ''
  private _nextSequence = 0
  private readonly _early = new Map<number, string>()
  private _end: AnswerEnd | undefined
  private _isInvalid = false

  /**
   * @param weightVersion the version chosen at admission; a replica must echo it
   * @param _maximumTokens most tokens asked for; an attempt that goes past them is not ours to trust
   */
  constructor (readonly weightVersion: string, private readonly _maximumTokens = Infinity) {}

  /** Count of tokens delivered in order so far; a next attempt resumes after them. */
  get deliveredTokens (): number {
    return this._nextSequence
  }

  /** Whether every token up to the end has been delivered. */
  get isWhole (): boolean {
    return !this._isInvalid && this._end !== undefined && this._nextSequence === this._end.tokenCount
  }

  /** Whether the attempt sent what cannot belong to an answer of this request; it should be given up. */
  get isInvalid (): boolean {
    return this._isInvalid
  }

  /** Counts of the finished answer, once whole. */
  get end (): AnswerEnd | undefined {
    return this.isWhole ? this._end : undefined
  }

  /** Begins an attempt; parts of earlier attempts are dropped from now on. */
  beginAttempt (nonce: string): void {
    this._nonce = nonce
    this._early.clear()
    this._end = undefined
    this._isInvalid = false
  }

  /** Whether a part belongs to the attempt under way. Another nonce or version is no progress. */
  belongs (part: EnginePart): boolean {
    return part.nonce === this._nonce && part.weightVersion === this.weightVersion
  }

  /** Takes a part; returns those that can now be delivered in order. */
  accept (part: EnginePart): OrderedPart[] {
    if (!this.belongs(part) || this._isInvalid) return []
    if (part.kind === 'end') return this._acceptEnd(part)
    const limit = this._end?.tokenCount ?? this._maximumTokens
    if (part.sequence >= limit) return this._giveUp()
    if (part.sequence >= this._nextSequence) this._early.set(part.sequence, part.text)
    const ordered = this._takeOrdered()
    if (this._early.size > MAXIMUM_EARLY_PARTS) this._giveUp()
    return ordered
  }

  private _acceptEnd (part: Extract<EnginePart, { kind: 'end' }>): OrderedPart[] {
    const highest = Math.max(this._nextSequence - 1, ...this._early.keys())
    if (part.tokenCount > this._maximumTokens || part.tokenCount <= highest) return this._giveUp()
    this._end = { tokenCount: part.tokenCount, promptTokens: part.promptTokens, cachedTokens: part.cachedTokens }
    return []
  }

  private _giveUp (): OrderedPart[] {
    this._isInvalid = true
    this._early.clear()
    return []
  }

  private _takeOrdered (): OrderedPart[] {
    const ordered: OrderedPart[] = []
    for (;;) {
      const text = this._early.get(this._nextSequence)
      if (text === undefined) return ordered
      this._early.delete(this._nextSequence)
      ordered.push({ sequence: this._nextSequence, text })
      this._nextSequence += 1
    }
  }
}
