/** Engines and stores that restart, fill, free, and give a freed place to another block of the same length. */
import type { CacheEvent, StoredBlock } from '@wasabihead/coordination'
import type { BlockContent } from './blockHistory.js'

const EVENTS_KEPT = 20

/** An engine's bounded cache. */
export class EngineFake {
  incarnation = 1
  eventSequence = 0
  events: CacheEvent[] = []
  readonly held = new Map<string, BlockContent>()

  constructor (readonly name: string, private readonly _capacity: number) {}

  /** Holds a block, evicting the oldest. */
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

  /** Starts again, empty, under the same address. */
  restart (): void {
    this.held.clear()
    this.events = []
    this.eventSequence = 0
    this.incarnation += 1
  }

  private _record (change: 'stored' | 'removed', blockKey: string): void {
    this.eventSequence += 1
    this.events = [...this.events, { sequence: this.eventSequence, change, blockKey }].slice(-EVENTS_KEPT)
  }
}

interface StorePlace {
  blockKey: string
  generation: number
  content: BlockContent
  isCommitted: boolean
}

/** A store with few places, which are used again. All blocks have the same length. */
export class StoreFake {
  private _generation = 0
  private readonly _places: Array<StorePlace | undefined>

  constructor (readonly name: string, places: number) {
    this._places = new Array<StorePlace | undefined>(places).fill(undefined)
  }

  /** The committed blocks among those asked for, and with `withPartial` those under way too. */
  lookUp (blockKeys: readonly string[], withPartial: boolean): Array<StoredBlock & { place: number }> {
    return this._places.flatMap((held, place) => {
      if (held === undefined || !blockKeys.includes(held.blockKey) || !(held.isCommitted || withPartial)) return []
      const { blockKey, generation, content } = held
      return [{ blockKey, generation, digest: digestOf(content), sizeBytes: 1, place }]
    })
  }

  /** Begins to write; the place of an older block may be taken. */
  open (blockKey: string, content: BlockContent, place: number): number {
    this._generation += 1
    this._places[place] = { blockKey, generation: this._generation, content: { ...content, isWhole: false }, isCommitted: false }
    return this._generation
  }

  /** Ends a write, unless its place was taken. */
  commit (place: number, generation: number): void {
    const held = this._places[place]
    if (held?.generation !== generation) return
    this._places[place] = { ...held, content: { ...held.content, isWhole: true }, isCommitted: true }
  }

  /** Frees a place. */
  free (place: number): void {
    this._places[place] = undefined
  }

  /** Reads by key, generation and digest; without the check it reads whatever is in the place. */
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
