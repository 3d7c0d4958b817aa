/** The engine's prefix cache: a bounded, least-recently-used set of block keys, with events and a snapshot. */

/** A change of the cache. */
export interface EngineCacheEvent {
  sequence: number
  change: 'stored' | 'removed'
  blockKey: string
}

const MAXIMUM_EVENTS = 1_000

/** Holds block keys in the order of last use. */
export class EngineCache {
  private _held = new Set<string>()
  private _events: EngineCacheEvent[] = []
  private _sequence = 0

  /** @param _capacityBlocks most blocks held at once */
  constructor (private readonly _capacityBlocks: number) {}

  /** Sequence number of the last event. */
  get sequence (): number {
    return this._sequence
  }

  /** All block keys held. */
  get blockKeys (): string[] {
    return [...this._held]
  }

  /** Whether a block is held. */
  has (blockKey: string): boolean {
    return this._held.has(blockKey)
  }

  /** Count of leading blocks that are held. */
  countLeading (blockKeys: readonly string[]): number {
    const missing = blockKeys.findIndex(blockKey => !this._held.has(blockKey))
    return missing === -1 ? blockKeys.length : missing
  }

  /** Holds blocks as just used, evicting the least recently used. */
  hold (blockKeys: readonly string[]): void {
    for (const blockKey of blockKeys) {
      const isNew = !this._held.delete(blockKey)
      this._held.add(blockKey)
      if (isNew) this._record('stored', blockKey)
    }
    while (this._held.size > this._capacityBlocks) this._evictOldest()
  }

  /** Events after a sequence number, as far as they are still kept. */
  eventsAfter (sequence: number): EngineCacheEvent[] {
    return this._events.filter(event => event.sequence > sequence)
  }

  /** Forgets everything, as a restart does. */
  clear (): void {
    this._held = new Set()
    this._events = []
    this._sequence = 0
  }

  private _evictOldest (): void {
    const oldest = this._held.values().next().value as string
    this._held.delete(oldest)
    this._record('removed', oldest)
  }

  private _record (change: 'stored' | 'removed', blockKey: string): void {
    this._sequence += 1
    this._events.push({ sequence: this._sequence, change, blockKey })
    if (this._events.length > MAXIMUM_EVENTS) this._events.shift()
  }
}
