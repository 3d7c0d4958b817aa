/** What waits to be exported to the cache stores: the most valuable block goes first, and only over a quiet link. */
import type { Milliseconds } from '../common/index.js'
import type { LinkEstimates } from './linkEstimates.js'

/** Longest wait of a block; after it the replica has most likely evicted the block. */
const LONGEST_WAIT: Milliseconds = 600_000

/** A block to export from a replica over a link. */
export interface BlockExport {
  blockKey: string
  replica: string
  link: string
  sizeBytes: number
  /** Expected milliseconds of recompute saved for each byte kept. */
  value: number
}

interface WaitingExport extends BlockExport {
  addedAt: Milliseconds
}

/** Holds the exports that wait, bounded: the least valuable are dropped. */
export class ExportQueue {
  private readonly _waiting = new Map<string, WaitingExport>()

  /** @param _maximumWaiting most exports that wait */
  constructor (private readonly _maximumWaiting: number) {}

  /** Count of exports that wait. */
  get size (): number {
    return this._waiting.size
  }

  /** Adds exports; one for a block and link that already waits is replaced. */
  add (blocks: readonly BlockExport[], now: Milliseconds): void {
    for (const block of blocks) this._waiting.set(exportKey(block), { ...block, addedAt: now })
    while (this._waiting.size > this._maximumWaiting) this._drop(byValue(this._waiting.values(), isLess))
  }

  /** The next export over a link, or undefined while the link carries anything of this instance's. */
  next (link: string, links: LinkEstimates, now: Milliseconds): BlockExport | undefined {
    if (links.bytesUnderWay(link) > 0) return undefined
    const fresh: WaitingExport[] = []
    for (const waiting of this._waiting.values()) {
      if (now - waiting.addedAt > LONGEST_WAIT) this._drop(waiting)
      else if (waiting.link === link) fresh.push(waiting)
    }
    const best = byValue(fresh, isMore)
    if (best !== undefined) this._drop(best)
    return best
  }

  private _drop (waiting: BlockExport | undefined): void {
    if (waiting !== undefined) this._waiting.delete(exportKey(waiting))
  }
}

function byValue (
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
