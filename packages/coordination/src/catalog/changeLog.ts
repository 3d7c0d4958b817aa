/**
 * The latest significant changes of the store. The instances that read the store send them to their peers, which then need
 * not read the store for each change, so that the number of calls does not grow with the fleet.
 */
import * as z from 'zod'
import type { Milliseconds } from '../common/index.js'
import type { StoreChange } from './storeMirror.js'

/** Changes as one instance sends them to another. */
export const peerChangesSchema = z.object({
  /** The changes are complete after this revision, up to the `changedAt` that is sent with them. */
  after: z.number(),
  /** Key, revision, and value; null where the key was removed. */
  changes: z.array(z.tuple([z.string(), z.number(), z.string().nullable()]))
})
/** Changes as one instance sends them to another. */
export type PeerChanges = z.infer<typeof peerChangesSchema>

type PeerChange = PeerChanges['changes'][number]

/** A change is sent repeatedly for this long, since heartbeats may be lost; a peer that is further behind reads the store. */
const CHANGE_RETENTION: Milliseconds = 3_000
/** Bound on the keys and values that are sent at once, before compression. */
const MAXIMUM_CHARACTERS = 16_384

/** Retains the latest significant changes, oldest first, within a bound on their age and total size. */
export class ChangeLog {
  /** The log has every significant change after this revision; Infinity before the first listing. */
  private _completeAfter = Infinity
  private _changes: { change: StoreChange, at: Milliseconds }[] = []

  /** Drops all changes: the store was listed at the revision, and single changes up to it are not known. */
  reset (revision: number): void {
    this._completeAfter = revision
    this._changes = []
  }

  /** Adds a significant change, and drops the oldest ones where the log grows too large. */
  add (change: StoreChange, now: Milliseconds): void {
    this._changes.push({ change, at: now })
    let size = 0
    const firstKept = this._changes.findLastIndex(({ change: { key, value } }) => {
      size += key.length + (value?.length ?? 0)
      return size > MAXIMUM_CHARACTERS
    }) + 1
    this._drop(firstKept)
  }

  /** The changes to send to peers now; undefined before the first listing. */
  recentChanges (now: Milliseconds): PeerChanges | undefined {
    const firstKept = this._changes.findIndex(({ at }) => now - at < CHANGE_RETENTION)
    this._drop(firstKept < 0 ? this._changes.length : firstKept)
    if (!Number.isFinite(this._completeAfter)) return undefined
    const changes = this._changes.map(({ change: { key, revision, value } }): PeerChange => [key, revision, value ?? null])
    return { after: this._completeAfter, changes }
  }

  private _drop (count: number): void {
    const dropped = this._changes.splice(0, count)
    for (const { change } of dropped) this._completeAfter = Math.max(this._completeAfter, change.revision)
  }
}
