/**
 * Divides room among workspaces by their recent demand (start-time fair queueing). A workspace's virtual finish time advances
 * when a request of it is sent. `FairQueue` of the daemon's admission advances it on arrival instead and keeps the order of
 * arrival within a workspace; here most arrivals may be refused, and the most urgent request of a workspace goes first.
 */
import type { Milliseconds } from '../common/index.js'

/** Half-life of the demand by which room is divided. */
const DEMAND_HALF_LIFE: Milliseconds = 5_000
/** Workspaces whose demand is remembered; the one that has asked least recently is removed first. */
const MAXIMUM_WORKSPACES = 1_024

interface WorkspaceShare {
  demand: number
  demandedAt: Milliseconds
  finish: number
}

/** Virtual times of the workspaces of one service. */
export class WorkspaceShares {
  private _virtualTime = 0
  private readonly _shares = new Map<string, WorkspaceShare>()

  /** Records that a workspace asks for room. */
  onDemand (workspace: string, room: number, now: Milliseconds): void {
    const share = this._shares.get(workspace) ?? { demand: 0, demandedAt: now, finish: 0 }
    share.demand = share.demand * 0.5 ** (Math.max(0, now - share.demandedAt) / DEMAND_HALF_LIFE) + room
    share.demandedAt = now
    this._shares.delete(workspace)
    this._shares.set(workspace, share)
    if (this._shares.size > MAXIMUM_WORKSPACES) this._shares.delete(this._shares.keys().next().value as string)
  }

  /** Records that a request of the workspace was sent. */
  onSent (workspace: string, room: number): void {
    const start = this.startOf(workspace)
    this._virtualTime = Math.max(this._virtualTime, start)
    const share = this._shares.get(workspace)
    if (share !== undefined) share.finish = start + this.costOf(workspace, room)
  }

  /** Virtual time at which the next request of the workspace starts. */
  startOf (workspace: string): number {
    return Math.max(this._virtualTime, this._shares.get(workspace)?.finish ?? 0)
  }

  /** By how much a request advances the virtual time of its workspace. */
  costOf (workspace: string, room: number): number {
    return room / Math.max(room, this._shares.get(workspace)?.demand ?? 0)
  }

  /** Merges lists by workspace, each already in order, into the order in which they are served. */
  merge<Entry extends { workspace: string, room: number }> (lists: ReadonlyMap<string, readonly Entry[]>): Entry[] {
    const queues = [...lists].map(([workspace, entries]) => ({ workspace, entries, next: 0, start: this.startOf(workspace) }))
    const merged: Entry[] = []
    for (;;) {
      let first: (typeof queues)[number] | undefined
      for (const queue of queues) {
        if (queue.next < queue.entries.length && (first === undefined || queue.start < first.start)) first = queue
      }
      const entry = first?.entries[first.next]
      if (first === undefined || entry === undefined) return merged
      merged.push(entry)
      first.next += 1
      first.start += this.costOf(first.workspace, entry.room)
    }
  }
}
