/** Loads the segments that a head names. A missing segment is an error and never means that it holds no claims. */
import { contentDigest } from '../common/index.js'
import type { ClosedSegment } from './claimStore.js'
import { segmentSchema, type ClaimEffect, type SegmentDescriptor, type ShardHead } from './messages.js'

const MAXIMUM_CONCURRENT_READS = 4

/** Collects the segments of one head. The caller performs the reads and passes in their texts. */
export class SegmentLoader {
  private readonly _texts = new Map<string, string>()
  private readonly _requested = new Set<string>()

  /**
   * @param head the head whose segments are read; `undefined` where the shard is new
   * @param revision the head's revision
   */
  constructor (readonly head: ShardHead | undefined, readonly revision: number) {}

  /** Whether every named segment is loaded. */
  get isComplete (): boolean {
    return this._descriptors.every(({ name }) => this._texts.has(name))
  }

  /** The segments, oldest first. Use it only once `isComplete` is true. */
  get segments (): ClosedSegment[] {
    return this._descriptors.map(descriptor => ({
      descriptor, claims: segmentSchema.parse(JSON.parse(this._texts.get(descriptor.name) as string))
    }))
  }

  /** The next reads to perform. Only a few run at the same time, to limit the load on the key-value service. */
  nextReads (): ClaimEffect[] {
    const running = this._requested.size - this._texts.size
    const next = this._descriptors.filter(({ name }) => !this._requested.has(name)).slice(0, MAXIMUM_CONCURRENT_READS - running)
    for (const { name } of next) this._requested.add(name)
    return next.map(({ name }) => ({ kind: 'read-segment', name }))
  }

  /** Adds a segment's text. Returns false where it is missing or its digest is not the one in the head. */
  accept (name: string, text: string | undefined): boolean {
    const named = this._descriptors.find(candidate => candidate.name === name)
    if (named === undefined || text === undefined || contentDigest(text) !== named.digest) return false
    this._texts.set(name, text)
    return true
  }

  /** Whether a read of the segment was requested and has not succeeded yet. */
  isWaitingFor (name: string): boolean {
    return this._requested.has(name) && !this._texts.has(name)
  }

  private get _descriptors (): readonly SegmentDescriptor[] {
    return this.head?.segments ?? []
  }
}
