/** A queue of one class that divides service among workspaces by their shares (start-time fair queueing). */
import type { AdmissionEntry } from './messages.js'

/** Additions between two removals of past finish tags. */
const EVICTION_INTERVAL = 64

interface WaitingEntry {
  entry: AdmissionEntry
  /** Virtual time at which the service of the entry starts. */
  startTag: number
}

interface WorkspaceQueue {
  share: number
  waiting: WaitingEntry[]
}

/** Waiting entries by workspace. Each entry advances its workspace's finish tag by cost divided by share. */
export class FairQueue {
  private _size = 0
  private _virtualTime = 0
  private _waitingShares = 0
  private _addedSinceEviction = 0
  private readonly _workspaceQueues = new Map<string, WorkspaceQueue>()
  private readonly _finishTags = new Map<string, number>()

  /** Number of waiting entries. */
  get size (): number {
    return this._size
  }

  /** Number of workspaces whose finish tags are retained. */
  get trackedWorkspaces (): number {
    return this._finishTags.size
  }

  /** All waiting entries, grouped by workspace. */
  * entries (): IterableIterator<AdmissionEntry> {
    for (const queue of this._workspaceQueues.values()) {
      for (const { entry } of queue.waiting) yield entry
    }
  }

  /** Adds an entry with the expected cost of its service; all calls must use the same unit. */
  add (entry: AdmissionEntry, cost: number): void {
    const startTag = Math.max(this._virtualTime, this._finishTags.get(entry.workspace) ?? 0)
    this._finishTags.set(entry.workspace, startTag + cost / entry.share)
    this._queueOf(entry).waiting.push({ entry, startTag })
    this._size += 1
    this._evictPastFinishTags()
  }

  /** Removes and returns the entry that is next by fair share; a workspace whose first entry is not eligible is skipped. */
  takeNext (isEligible: (entry: AdmissionEntry) => boolean): AdmissionEntry | undefined {
    let best: WaitingEntry | undefined
    for (const { waiting } of this._workspaceQueues.values()) {
      const [head] = waiting
      if (head === undefined || (best !== undefined && head.startTag >= best.startTag)) continue
      if (isEligible(head.entry)) best = head
    }
    if (best === undefined) return undefined
    this._virtualTime = Math.max(this._virtualTime, best.startTag)
    this.remove(best.entry)
    return best.entry
  }

  /** Removes a waiting entry. */
  remove (entry: AdmissionEntry): void {
    const queue = this._workspaceQueues.get(entry.workspace)
    const index = queue?.waiting.findIndex(waiting => waiting.entry.id === entry.id) ?? -1
    if (queue === undefined || index < 0) return
    queue.waiting.splice(index, 1)
    this._size -= 1
    if (queue.waiting.length > 0) return
    this._workspaceQueues.delete(entry.workspace)
    this._waitingShares -= queue.share
  }

  /** Estimated number of entries that are served before a new one of the workspace. */
  countAhead (workspace: string, share: number): number {
    const queue = this._workspaceQueues.get(workspace)
    const shares = this._waitingShares + (queue === undefined ? share : 0)
    const rounds = (queue?.waiting.length ?? 0) + 1
    return Math.min(this._size, rounds * shares / share - 1)
  }

  /** Number of waiting entries of a workspace, divided by its share. */
  loadOf (workspace: string): number {
    const queue = this._workspaceQueues.get(workspace)
    return queue === undefined ? 0 : queue.waiting.length / queue.share
  }

  /** The newest entry of the workspace with the most waiting entries per share. */
  findNewestOfLongest (): AdmissionEntry | undefined {
    let longest: WorkspaceQueue | undefined
    for (const queue of this._workspaceQueues.values()) {
      if (longest === undefined || queue.waiting.length / queue.share > longest.waiting.length / longest.share) longest = queue
    }
    return longest?.waiting.at(-1)?.entry
  }

  private _queueOf (entry: AdmissionEntry): WorkspaceQueue {
    const known = this._workspaceQueues.get(entry.workspace)
    if (known !== undefined) return known
    const queue: WorkspaceQueue = { share: entry.share, waiting: [] }
    this._workspaceQueues.set(entry.workspace, queue)
    this._waitingShares += entry.share
    return queue
  }

  /** Removes finish tags that virtual time has passed; they no longer affect the start tags of new entries. */
  private _evictPastFinishTags (): void {
    this._addedSinceEviction += 1
    if (this._addedSinceEviction < EVICTION_INTERVAL) return
    this._addedSinceEviction = 0
    for (const [workspace, tag] of this._finishTags) {
      if (tag <= this._virtualTime) this._finishTags.delete(workspace)
    }
  }
}
