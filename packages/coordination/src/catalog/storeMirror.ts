/** A copy of what the metadata store holds, from one listing and the changes since. */
import type { Milliseconds } from '../common/index.js'
import type { VersionedValue } from '../platform/index.js'
import { ChangeLog, type ToldChanges } from './changeLog.js'

/** A change of one key; without a value the key was removed. */
export interface StoreChange {
  key: string
  /** The store's revision of the change. */
  revision: number
  value: string | undefined
}

/** All changes after a revision, up to another. */
export interface StoreChanges {
  revision: number
  changes: readonly StoreChange[]
}

/** Everything that the store held at a revision, or later for single keys. */
export interface StoreSnapshot {
  revision: number
  values: readonly VersionedValue[]
}

/** Holds the copy. */
export class StoreMirror {
  private _values = new Map<string, VersionedValue>()
  private _revision = 0
  private _changedAt = 0
  /** The revision up to which others told everything new. */
  private _toldUpTo = 0
  private readonly _log = new ChangeLog()

  /**
   * @param _isSame whether two values of a key say the same
   * @param _isQuiet whether nobody has to read the store for a change of the key
   */
  constructor (
    private readonly _isSame: (before: VersionedValue, after: VersionedValue) => boolean,
    private readonly _isQuiet: (key: string) => boolean
  ) {}

  /** The store's revision up to which the copy was read; 0 before the first listing. */
  get revision (): number {
    return this._revision
  }

  /** The revision up to which the copy has everything new, read or told. */
  get reach (): number {
    return Math.max(this._revision, this._toldUpTo)
  }

  /** The revision of the last change that said something new of a key that is not quiet. */
  get changedAt (): number {
    return this._changedAt
  }

  /** The values, in no order. */
  get values (): VersionedValue[] {
    return [...this._values.values()]
  }

  /** Takes a whole listing. */
  applyListing ({ revision, values }: StoreSnapshot): void {
    // What was told meanwhile is newer, and a listing before it may bring back what has been removed since.
    if (revision < this._toldUpTo) return
    const listed = new Map(values.map(value => [value.key, value]))
    const isMissing = [...this._values.keys()].some(key => !listed.has(key) && !this._isQuiet(key))
    if (this._revision === 0 || isMissing || values.some(value => this._isNew(value))) this._changedAt = revision
    this._values = listed
    this._revision = revision
    this._log.begin(revision)
  }

  /** Takes changes; false where some are missing, so that a listing is needed. */
  applyChanges ({ revision, changes }: StoreChanges, now: Milliseconds): boolean {
    if (revision < this._revision || (revision > this._revision && changes.length === 0)) return false
    if (revision < this._toldUpTo) return true
    for (const change of changes) this._apply(change, now)
    this._revision = revision
    return true
  }

  /** What to tell instances that are behind; undefined before the first listing. */
  recentChanges (now: Milliseconds): ToldChanges | undefined {
    return this._log.news(now)
  }

  /**
   * Takes what another instance tells of the changes up to a revision; false where it does not reach back to this copy.
   * Counts that rise and quiet keys are not told: the next read brings them, from the revision up to which the copy was read.
   */
  applyTold ({ after, changes }: ToldChanges, upTo: number, now: Milliseconds): boolean {
    if (this._revision === 0 || after > this.reach) return false
    for (const [key, revision, value] of changes) {
      if (revision > this.reach) this._apply({ key, revision, value: value ?? undefined }, now)
    }
    this._toldUpTo = Math.max(this._toldUpTo, upTo)
    return true
  }

  private _apply (change: StoreChange, now: Milliseconds): void {
    const { key, revision, value } = change
    const known = this._values.get(key)
    // A listing may hold what a change before it tells once more.
    if (known !== undefined && known.revision >= revision) return
    if (value === undefined) {
      if (this._values.delete(key) && !this._isQuiet(key)) this._note(change, now)
      return
    }
    const after = { key, value, revision }
    if (this._isNew(after)) this._note(change, now)
    this._values.set(key, after)
  }

  private _note (change: StoreChange, now: Milliseconds): void {
    this._changedAt = Math.max(this._changedAt, change.revision)
    this._log.add(change, now)
  }

  private _isNew (after: VersionedValue): boolean {
    if (this._isQuiet(after.key)) return false
    const before = this._values.get(after.key)
    return before === undefined || (before.revision !== after.revision && !this._isSame(before, after))
  }
}
