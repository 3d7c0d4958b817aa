/** A queue of one class that divides service among workspaces by their shares (start-time fair queueing). */
import type { AdmissionEntry } from './messages.js'

const FORGET_INTERVAL = 64

interface WaitingEntry {
  entry: AdmissionEntry
  startTag: number
}

interface WorkspaceLine {
  share: number
  waiting: WaitingEntry[]
}

/** Waiting entries by workspace. A workspace's virtual time advances by cost over share with each entry. */
export class FairQueue {
  private _size = 0
  private _virtualTime = 0
  private _waitingShares = 0
  private _sinceForgetting = 0
  private readonly _lines = new Map<string, WorkspaceLine>()
  private readonly _finishTags = new Map<string, number>()

  /** Entries that wait. */
  get size (): number {
    return this._size
  }

  /** Workspaces whose past service is still remembered, for measurements. */
  get rememberedWorkspaces (): number {
    return this._finishTags.size
  }

  /** All waiting entries, by workspace. */
  * entries (): IterableIterator<AdmissionEntry> {
    for (const line of this._lines.values()) {
      for (const { entry } of line.waiting) yield entry
    }
  }

  /** Adds an entry whose service is expected to cost `cost`, in any one unit. */
  add (entry: AdmissionEntry, cost: number): void {
    const startTag = Math.max(this._virtualTime, this._finishTags.get(entry.workspace) ?? 0)
    this._finishTags.set(entry.workspace, startTag + cost / entry.share)
    this._lineOf(entry).waiting.push({ entry, startTag })
    this._size += 1
    this._forgetPast()
  }

  /** Takes the entry that is next by fair share among the eligible. */
  takeNext (isEligible: (entry: AdmissionEntry) => boolean): AdmissionEntry | undefined {
    let best: WaitingEntry | undefined
    for (const { waiting } of this._lines.values()) {
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
    const line = this._lines.get(entry.workspace)
    const index = line?.waiting.findIndex(waiting => waiting.entry.id === entry.id) ?? -1
    if (line === undefined || index < 0) return
    line.waiting.splice(index, 1)
    this._size -= 1
    if (line.waiting.length > 0) return
    this._lines.delete(entry.workspace)
    this._waitingShares -= line.share
  }

  /** Entries that will be served before a new one of the workspace, about. */
  countAhead (workspace: string, share: number): number {
    const line = this._lines.get(workspace)
    const shares = this._waitingShares + (line === undefined ? share : 0)
    const rounds = (line?.waiting.length ?? 0) + 1
    return Math.min(this._size, rounds * shares / share - 1)
  }

  /** Waiting entries of a workspace over its share. */
  loadOf (workspace: string): number {
    const line = this._lines.get(workspace)
    return line === undefined ? 0 : line.waiting.length / line.share
  }

  /** The newest entry of the workspace that waits with the most entries over its share. */
  findNewestOfLongest (): AdmissionEntry | undefined {
    let longest: WorkspaceLine | undefined
    for (const line of this._lines.values()) {
      if (longest === undefined || line.waiting.length / line.share > longest.waiting.length / longest.share) longest = line
    }
    return longest?.waiting.at(-1)?.entry
  }

  private _lineOf (entry: AdmissionEntry): WorkspaceLine {
    const known = this._lines.get(entry.workspace)
    if (known !== undefined) return known
    const line: WorkspaceLine = { share: entry.share, waiting: [] }
    this._lines.set(entry.workspace, line)
    this._waitingShares += entry.share
    return line
  }

  /** A finish tag that virtual time has passed gives the workspace neither credit nor debt. */
  private _forgetPast (): void {
    this._sinceForgetting += 1
    if (this._sinceForgetting < FORGET_INTERVAL) return
    this._sinceForgetting = 0
    for (const [workspace, tag] of this._finishTags) {
      if (tag <= this._virtualTime) this._finishTags.delete(workspace)
    }
  }
}
