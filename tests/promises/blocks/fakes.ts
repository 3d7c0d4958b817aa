/** Engines that evict and restart, and stores that reuse a freed place for another block of the same length. */
import type { CacheEvent, StoredBlock } from '@wasabihead/coordination'
import type { BlockContent } from './blockHistory.js'

const MAXIMUM_RETAINED_EVENTS = 20

/** The bounded cache of an engine, which evicts the block stored longest ago. */
export class EngineFake {
  incarnation = 1
  eventSequence = 0
  events: CacheEvent[] = []
  readonly held = new Map<string, BlockContent>()

  constructor (readonly name: string, private readonly _capacity: number) {}

  /** Caches a block, evicting the oldest blocks above the capacity. */
  hold (blockKey: string, content: BlockContent): void {
    this.held.delete(blockKey)
    this.held.set(blockKey, content)
    this._record('stored', blockKey)
    while (this.held.size > this._capacity) {
      const oldest = this.held.keys().next().value as string
      this.held.delete(oldest)
      this._record('removed', oldest)
    }
  }

  /** Restarts with an empty cache and a new incarnation, under the same address. */
  restart (): void {
    this.held.clear()
    this.events = []
    this.eventSequence = 0
    this.incarnation += 1
  }

  private _record (change: 'stored' | 'removed', blockKey: string): void {
    this.eventSequence += 1
    this.events = [...this.events, { sequence: this.eventSequence, change, blockKey }].slice(-MAXIMUM_RETAINED_EVENTS)
  }
}

interface StorePlace {
  blockKey: string
  generation: number
  content: BlockContent
  isCommitted: boolean
}

/** A store with a few places, which are reused. All blocks have the same length. */
export class StoreFake {
  private _generation = 0
  private readonly _places: Array<StorePlace | undefined>

  constructor (readonly name: string, places: number) {
    this._places = new Array<StorePlace | undefined>(places).fill(undefined)
  }

  /** The committed blocks among `blockKeys`; with `withPartial` also those not yet committed. */
  lookUp (blockKeys: readonly string[], withPartial: boolean): Array<StoredBlock & { place: number }> {
    return this._places.flatMap((held, place) => {
      if (held === undefined || !blockKeys.includes(held.blockKey) || !(held.isCommitted || withPartial)) return []
      const { blockKey, generation, content } = held
      return [{ blockKey, generation, digest: digestOf(content), sizeBytes: 1, place }]
    })
  }

  /** Starts to write a block, replacing any block in its place. Returns the generation to commit with. */
  open (blockKey: string, content: BlockContent, place: number): number {
    this._generation += 1
    this._places[place] = { blockKey, generation: this._generation, content: { ...content, isWhole: false }, isCommitted: false }
    return this._generation
  }

  /** Commits a write, unless its place has been freed or reused since. */
  commit (place: number, generation: number): void {
    const held = this._places[place]
    if (held?.generation !== generation) return
    this._places[place] = { ...held, content: { ...held.content, isWhole: true }, isCommitted: true }
  }

  /** Frees a place, also one with an unfinished write. */
  free (place: number): void {
    this._places[place] = undefined
  }

  /** Reads a committed block whose key, generation and digest match; unchecked, it reads whatever is in the place. */
  read (block: StoredBlock & { place: number }, isChecked: boolean): BlockContent | undefined {
    const held = this._places[block.place]
    if (!isChecked) return held?.content
    const isSame = held?.blockKey === block.blockKey && held.generation === block.generation && held.isCommitted
    return isSame && digestOf(held.content) === block.digest ? held.content : undefined
  }
}

function digestOf (content: BlockContent): string {
  return JSON.stringify(content)
}
