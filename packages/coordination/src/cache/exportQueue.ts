/** Pending exports to the cache stores: the most valuable block is exported first, and only over an idle link. */
import type { Milliseconds } from '../common/index.js'
import type { LinkEstimates } from './linkEstimates.js'

/** Exports older than this are dropped, since the replica has most likely evicted the block. */
const LONGEST_WAIT: Milliseconds = 600_000

/** A block to export from a replica over a link. */
export interface BlockExport {
  blockKey: string
  replica: string
  link: string
  sizeBytes: number
  /** Expected milliseconds of recompute time saved per byte stored. */
  value: number
}

interface WaitingExport extends BlockExport {
  addedAt: Milliseconds
}

/** A bounded queue of exports: past the bound, the least valuable are dropped. */
export class ExportQueue {
  private readonly _waiting = new Map<string, WaitingExport>()

  /** @param _maximumWaiting maximum number of pending exports */
  constructor (private readonly _maximumWaiting: number) {}

  /** Number of pending exports. */
  get size (): number {
    return this._waiting.size
  }

  /** Adds exports; a pending export of the same block over the same link is replaced. */
  add (blocks: readonly BlockExport[], now: Milliseconds): void {
    for (const block of blocks) this._waiting.set(exportKey(block), { ...block, addedAt: now })
    while (this._waiting.size > this._maximumWaiting) this._drop(selectByValue(this._waiting.values(), isLess))
  }

  /** Removes and returns the next export over a link; undefined if there is none, or if this instance uses the link already. */
  next (link: string, links: LinkEstimates, now: Milliseconds): BlockExport | undefined {
    if (links.bytesInFlight(link) > 0) return undefined
    const fresh: WaitingExport[] = []
    for (const waiting of this._waiting.values()) {
      if (now - waiting.addedAt > LONGEST_WAIT) this._drop(waiting)
      else if (waiting.link === link) fresh.push(waiting)
    }
    const best = selectByValue(fresh, isMore)
    if (best !== undefined) this._drop(best)
    return best
  }

  private _drop (waiting: BlockExport | undefined): void {
    if (waiting !== undefined) this._waiting.delete(exportKey(waiting))
  }
}

function selectByValue (
  exports: Iterable<WaitingExport>, isBetter: (left: number, right: number) => boolean
): WaitingExport | undefined {
  let best: WaitingExport | undefined
  for (const candidate of exports) {
    if (best === undefined || isBetter(candidate.value, best.value)) best = candidate
  }
  return best
}

function isLess (left: number, right: number): boolean {
  return left < right
}

function isMore (left: number, right: number): boolean {
  return left > right
}

function exportKey (block: BlockExport): string {
  return `${block.link}\n${block.blockKey}`
}
