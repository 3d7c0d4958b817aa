/** Reads the segments that a head names. A named segment that is missing is never taken for "no claim". */
import { contentDigest } from '../common/index.js'
import type { ClosedSegment } from './claimStore.js'
import { segmentSchema, type ClaimEffect, type SegmentName, type ShardHead } from './messages.js'

const READS_AT_ONCE = 4

/** Loads one head's segments. */
export class SegmentLoader {
  private readonly _texts = new Map<string, string>()
  private readonly _asked = new Set<string>()

  /**
   * @param head the head whose segments are read; `undefined` where the shard is new
   * @param revision the head's revision
   */
  constructor (readonly head: ShardHead | undefined, readonly revision: number) {}

  /** Whether every named segment is here. */
  get isComplete (): boolean {
    return this._names.every(({ name }) => this._texts.has(name))
  }

  /** The segments, oldest first; call it once they are complete. */
  get segments (): ClosedSegment[] {
    return this._names.map(name => ({
      name, claims: segmentSchema.parse(JSON.parse(this._texts.get(name.name) as string))
    }))
  }

  /** The next reads to perform; a few at a time, to spare the service. */
  nextReads (): ClaimEffect[] {
    const running = this._asked.size - this._texts.size
    const next = this._names.filter(({ name }) => !this._asked.has(name)).slice(0, READS_AT_ONCE - running)
    for (const { name } of next) this._asked.add(name)
    return next.map(({ name }) => ({ kind: 'read-segment', name }))
  }

  /** Takes a segment's text; false where it is missing or not the one that the head names. */
  accept (name: string, text: string | undefined): boolean {
    const named = this._names.find(candidate => candidate.name === name)
    if (named === undefined || text === undefined || contentDigest(text) !== named.digest) return false
    this._texts.set(name, text)
    return true
  }

  /** Whether the reader has asked for this segment and waits for it. */
  isWaitingFor (name: string): boolean {
    return this._asked.has(name) && !this._texts.has(name)
  }

  private get _names (): readonly SegmentName[] {
    return this.head?.segments ?? []
  }
}
