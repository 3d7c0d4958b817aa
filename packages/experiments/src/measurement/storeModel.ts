/** Cost model of a cache store: a memory tier over a disk tier, behind one link that imports and exports share. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '@wasabihead/coordination'
import type { VirtualTime } from '../simulation/index.js'
import type { Workload } from './workload.js'

/** One store. The most recently used blocks are in memory, the others on disk; the least recently used are freed. */
export class StoreModel {
  isLost = false
  /** Share of its speed that the link has now. */
  linkSpeed = 1
  importedBytes = 0
  exportedBytes = 0
  private _memory = new Set<string>()
  private _disk = new Set<string>()
  private readonly _everHeld = new Set<string>()
  private _linkFreeAt: Milliseconds = 0

  constructor (readonly name: string, private readonly _time: VirtualTime, private readonly _workload: Workload) {}

  /** Whether the store holds the block committed. */
  holds (blockKey: string): boolean {
    return !this.isLost && (this._memory.has(blockKey) || this._disk.has(blockKey))
  }

  /** Whether the store ever held the block. */
  hasHeld (blockKey: string): boolean {
    return this._everHeld.has(blockKey)
  }

  /** Reads a block over the link; tells whether it was still there at the end. */
  read (blockKey: string, done: (isRead: boolean) => void): void {
    const rate = this._memory.has(blockKey) ? Infinity : this._workload.diskBytesPerSecond
    this._transfer(rate, () => {
      const isRead = this.holds(blockKey)
      if (isRead) {
        this._use(blockKey)
        this.importedBytes += this._workload.blockBytes
      }
      done(isRead)
    })
  }

  /** Writes a block over the link; it is there once the whole of it is. */
  write (blockKey: string, done: () => void): void {
    this._transfer(Infinity, () => {
      if (!this.isLost) this._use(blockKey)
      this.exportedBytes += this._workload.blockBytes
      done()
    })
  }

  /** Loses all blocks. */
  lose (): void {
    this.isLost = true
    this._memory = new Set()
    this._disk = new Set()
  }

  private _transfer (tierBytesPerSecond: number, done: () => void): void {
    const rate = Math.min(tierBytesPerSecond, this._workload.linkBytesPerSecond * this.linkSpeed)
    this._linkFreeAt = Math.max(this._time.now, this._linkFreeAt) + this._workload.blockBytes / rate * MILLISECONDS_PER_SECOND
    this._time.after(this._linkFreeAt - this._time.now, done)
  }

  private _use (blockKey: string): void {
    this._memory.delete(blockKey)
    this._disk.delete(blockKey)
    this._memory.add(blockKey)
    this._everHeld.add(blockKey)
    if (this._memory.size > this._workload.storeMemoryBlocks) this._disk.add(removeOldest(this._memory))
    if (this._disk.size > this._workload.storeDiskBlocks) removeOldest(this._disk)
  }
}

function removeOldest (blockKeys: Set<string>): string {
  const oldest = blockKeys.values().next().value as string
  blockKeys.delete(oldest)
  return oldest
}
