/** A copy of what the metadata store holds, from one listing and the changes since. */
import type { Milliseconds } from '../common/index.js'
import { NO_ERA, type VersionedValue } from '../platform/index.js'
import { ChangeLog, type PeerChanges } from './changeLog.js'

/** A change of one key; without a value the key was removed. */
export interface StoreChange {
  key: string
  /** The store's revision of the change. */
  revision: number
  value: string | undefined
}

/** All changes after a revision, up to another. */
export interface StoreChanges {
  /** The era of the store in which the revisions were given out; absent where it states none. */
  era?: number
  revision: number
  changes: readonly StoreChange[]
}

/** Everything that the store held at a revision; single keys may be newer, since later pages of a listing are read later. */
export interface StoreSnapshot {
  /** The era of the store in which the revisions were given out; absent where it states none. */
  era?: number
  revision: number
  values: readonly VersionedValue[]
}

/**
 * A copy of the store. A change is significant unless its key is quiet or its value is equivalent to the one before; only
 * significant changes are sent to peers.
 */
export class StoreMirror {
  private _values = new Map<string, VersionedValue>()
  private _era = NO_ERA
  private _revision = 0
  private _changedAt = 0
  /** The revision up to which peers have sent all significant changes. */
  private _peerChangesUpTo = 0
  private readonly _log = new ChangeLog()

  /**
   * @param _isSame whether two values of a key are equivalent, for example where they differ in a counter only
   * @param _isQuiet whether no instance has to read the store for changes of the key
   */
  constructor (
    private readonly _isSame: (before: VersionedValue, after: VersionedValue) => boolean,
    private readonly _isQuiet: (key: string) => boolean
  ) {}

  /** The era of the store that the copy was read in. */
  get era (): number {
    return this._era
  }

  /** The store's revision up to which this instance has read it; 0 before the first listing. */
  get revision (): number {
    return this._revision
  }

  /** The revision up to which the copy has all significant changes, read by this instance or sent by peers. */
  get reach (): number {
    return Math.max(this._revision, this._peerChangesUpTo)
  }

  /** The revision of the last significant change. */
  get changedAt (): number {
    return this._changedAt
  }

  /** The values, in no particular order. */
  get values (): VersionedValue[] {
    return [...this._values.values()]
  }

  /** Replaces the copy by a complete listing, unless peers have sent later changes of the same era. */
  applyListing ({ era = NO_ERA, revision, values }: StoreSnapshot): void {
    // Revisions are given out again in another era.
    if (era !== this._era) this._reset()
    // Changes that peers have sent are newer, and an older listing could bring back keys that have been removed since.
    if (revision < this._peerChangesUpTo) return
    const listed = new Map(values.map(value => [value.key, value]))
    const isMissing = [...this._values.keys()].some(key => !listed.has(key) && !this._isQuiet(key))
    if (this._revision === 0 || isMissing || values.some(value => this._isSignificant(value))) this._changedAt = revision
    this._values = listed
    this._era = era
    this._revision = revision
    this._log.reset(revision)
  }

  /** Applies changes read from the store; false where some are missing, so that a listing is needed. */
  applyChanges ({ era = NO_ERA, revision, changes }: StoreChanges, now: Milliseconds): boolean {
    if (era !== this._era) return false
    if (revision < this._revision || (revision > this._revision && changes.length === 0)) return false
    if (revision < this._peerChangesUpTo) return true
    for (const change of changes) this._apply(change, now)
    this._revision = revision
    return true
  }

  /** The changes to send to peers that are behind; undefined before the first listing. */
  recentChanges (now: Milliseconds): PeerChanges | undefined {
    return this._log.recentChanges(now)
  }

  /**
   * Applies the changes up to a revision that a peer has sent; false where they do not reach back to this copy, so that some
   * would be missing. Peers send significant changes only: the next read brings the others, and therefore still begins at
   * `revision`.
   */
  applyPeerChanges ({ after, changes }: PeerChanges, upTo: number, now: Milliseconds): boolean {
    if (this._revision === 0 || after > this.reach) return false
    for (const [key, revision, value] of changes) {
      if (revision > this.reach) this._apply({ key, revision, value: value ?? undefined }, now)
    }
    this._peerChangesUpTo = Math.max(this._peerChangesUpTo, upTo)
    return true
  }

  private _reset (): void {
    this._values = new Map()
    this._revision = 0
    this._changedAt = 0
    this._peerChangesUpTo = 0
  }

  private _apply (change: StoreChange, now: Milliseconds): void {
    const { key, revision, value } = change
    const known = this._values.get(key)
    // The copy may have this change already, from a listing whose later pages were newer than its revision.
    if (known !== undefined && known.revision >= revision) return
    if (value === undefined) {
      if (this._values.delete(key) && !this._isQuiet(key)) this._recordChange(change, now)
      return
    }
    const after = { key, value, revision }
    if (this._isSignificant(after)) this._recordChange(change, now)
    this._values.set(key, after)
  }

  private _recordChange (change: StoreChange, now: Milliseconds): void {
    this._changedAt = Math.max(this._changedAt, change.revision)
    this._log.add(change, now)
  }

  private _isSignificant (after: VersionedValue): boolean {
    if (this._isQuiet(after.key)) return false
    const before = this._values.get(after.key)
    return before === undefined || (before.revision !== after.revision && !this._isSame(before, after))
  }
}
