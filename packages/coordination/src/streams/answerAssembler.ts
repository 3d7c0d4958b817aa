/**
 * Puts the parts of one streamed answer together over one or more attempts. Parts may come late, twice or out of
 * order; parts of another attempt's nonce or another weight version than the answer began with are dropped.
 */
import type { EnginePart } from '../platform/index.js'

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

  /** @param weightVersion the version chosen at admission; a replica must echo it */
  constructor (readonly weightVersion: string) {}

  /** Count of tokens delivered in order so far; a next attempt resumes after them. */
  get deliveredTokens (): number {
    return this._nextSequence
  }

  /** Whether every token up to the end has been delivered. */
  get isWhole (): boolean {
    return this._end !== undefined && this._nextSequence === this._end.tokenCount
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
  }

  /** Takes a part; returns those that can now be delivered in order. */
  accept (part: EnginePart): OrderedPart[] {
    if (part.nonce !== this._nonce || part.weightVersion !== this.weightVersion) return []
    if (part.kind === 'end') {
      this._end = { tokenCount: part.tokenCount, promptTokens: part.promptTokens, cachedTokens: part.cachedTokens }
      return []
    }
    if (part.sequence >= this._nextSequence) this._early.set(part.sequence, part.text)
    return this._takeOrdered()
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
