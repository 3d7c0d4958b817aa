/**
 * The latest changes of the store that said something new. The instances that read the store tell them to the others, which
 * then need not read it for each change, so that the calls do not grow with the fleet.
 */
import * as z from 'zod'
import type { Milliseconds } from '../common/index.js'
import type { StoreChange } from './storeMirror.js'

/** Changes as one instance tells them to another. */
export const toldChangesSchema = z.object({
  /** Every change that said something new after this revision, up to the one that is told with it, is among the changes. */
  after: z.number(),
  /** Key, revision, and value; null where the key was removed. */
  changes: z.array(z.tuple([z.string(), z.number(), z.string().nullable()]))
})
/** Changes as one instance tells them to another. */
export type ToldChanges = z.infer<typeof toldChangesSchema>

type ToldChange = ToldChanges['changes'][number]

/** A change is told for this long, since heartbeats may be lost; who is further behind reads the store. */
const NEWS_LIFETIME: Milliseconds = 3_000
/** Bound on the values that are told at once, before they are deflated. */
const MAXIMUM_CHARACTERS = 16_384

/** Holds the changes, the oldest first. */
export class ChangeLog {
  private _after = Infinity
  private _changes: { change: StoreChange, at: Milliseconds }[] = []

  /** Begins anew: what changed up to the revision is not known one by one. */
  begin (revision: number): void {
    this._after = revision
    this._changes = []
  }

  /** Takes a change that said something new. */
  add (change: StoreChange, now: Milliseconds): void {
    this._changes.push({ change, at: now })
    let size = 0
    const firstKept = this._changes.findLastIndex(({ change: { key, value } }) => {
      size += key.length + (value?.length ?? 0)
      return size > MAXIMUM_CHARACTERS
    }) + 1
    this._drop(firstKept)
  }

  /** What to tell now; undefined before the first listing. */
  news (now: Milliseconds): ToldChanges | undefined {
    const firstKept = this._changes.findIndex(({ at }) => now - at < NEWS_LIFETIME)
    this._drop(firstKept < 0 ? this._changes.length : firstKept)
    if (!Number.isFinite(this._after)) return undefined
    const changes = this._changes.map(({ change: { key, revision, value } }): ToldChange => [key, revision, value ?? null])
    return { after: this._after, changes }
  }

  private _drop (count: number): void {
    const dropped = this._changes.splice(0, count)
    for (const { change } of dropped) this._after = Math.max(this._after, change.revision)
  }
}
