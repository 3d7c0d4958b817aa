/** What one instance knows of requests that crash backend servers, and the updates that it still has to gossip. */
import { MILLISECONDS_PER_HOUR, type Milliseconds } from '../common/index.js'
import { UpdateQueue } from '../membership/index.js'
import type { QuarantineEntry, QuarantineState, QuarantineSubject } from './messages.js'

const STATE_RANK: Record<QuarantineState, number> = { cleared: 0, suspect: 1, quarantined: 2 }
const LIFETIMES: Record<QuarantineState, Milliseconds> = {
  cleared: MILLISECONDS_PER_HOUR, suspect: MILLISECONDS_PER_HOUR, quarantined: 24 * MILLISECONDS_PER_HOUR
}
/** Most entries retained for each model; the oldest entries of the least strict state are evicted first. */
export const MAXIMUM_ENTRIES = 256
/** Most entries in one message to a peer. */
const UPDATES_PER_MESSAGE = 16

/** Whether a received entry replaces the known entry of the same request. */
export function replacesEntry (received: QuarantineEntry, known: QuarantineEntry | undefined): boolean {
  if (known === undefined || received.version !== known.version) return received.version > (known?.version ?? 0)
  if (received.state !== known.state) return STATE_RANK[received.state] > STATE_RANK[known.state]
  return received.abandonedTrials > known.abandonedTrials
}

/** The entries to retain: those that have not expired, at most `MAXIMUM_ENTRIES`. */
export function boundEntries (entries: readonly QuarantineEntry[], wallTime: Milliseconds): QuarantineEntry[] {
  const unexpired = entries.filter(entry => wallTime - entry.since < LIFETIMES[entry.state])
  if (unexpired.length <= MAXIMUM_ENTRIES) return unexpired
  return unexpired
    .sort((left, right) => STATE_RANK[right.state] - STATE_RANK[left.state] || right.since - left.since)
    .slice(0, MAXIMUM_ENTRIES)
}

/** The entries of one instance. Parameters called `wallTime` are in milliseconds since the Unix epoch. */
export class QuarantineTable {
  private readonly _entries = new Map<string, QuarantineEntry>()
  private readonly _updateQueue = new UpdateQueue()

  /** Suspect and quarantined requests. */
  get entries (): QuarantineEntry[] {
    return [...this._entries.values()].filter(({ state }) => state !== 'cleared')
  }

  /** All entries of a model, cleared ones included. */
  entriesOf (model: string): QuarantineEntry[] {
    return [...this._entries.values()].filter(entry => entry.model === model)
  }

  /** All entries, cleared ones included, as a restarted instance requests them from a peer. */
  get allEntries (): QuarantineEntry[] {
    return [...this._entries.values()]
  }

  find (fingerprint: string): QuarantineEntry | undefined {
    return this._entries.get(fingerprint)
  }

  /** Merges entries from a peer or the key-value service. Returns whether this queued updates to send. */
  merge (received: readonly QuarantineEntry[]): boolean {
    const differing = received.filter(entry => this._mergeEntry(entry))
    return differing.length > 0
  }

  /** Records that a replica crashed while it ran the request. In a trial this is the second crash, which quarantines it. */
  onCrash (subject: QuarantineSubject, isTrial: boolean, wallTime: Milliseconds): QuarantineEntry {
    const state = this.find(subject.fingerprint)?.state
    if (!isTrial && state !== undefined && state !== 'cleared') return this.find(subject.fingerprint) as QuarantineEntry
    return this._change(subject, isTrial ? 'quarantined' : 'suspect', wallTime)
  }

  /** Clears a suspect request after its trial completed. Returns undefined where the request is not suspect. */
  onCompleted (subject: QuarantineSubject, wallTime: Milliseconds): QuarantineEntry | undefined {
    return this.find(subject.fingerprint)?.state === 'suspect' ? this._change(subject, 'cleared', wallTime) : undefined
  }

  /** Allows a request to run again. Returns undefined where it is neither suspect nor quarantined. */
  release (fingerprint: string, wallTime: Milliseconds): QuarantineEntry | undefined {
    const entry = this.find(fingerprint)
    return entry === undefined || entry.state === 'cleared' ? undefined : this._change(entry, 'cleared', wallTime)
  }

  /** Removes expired entries, and those over `MAXIMUM_ENTRIES` of a model. */
  expire (wallTime: Milliseconds): void {
    for (const model of new Set([...this._entries.values()].map(entry => entry.model))) {
      const kept = new Set(boundEntries(this.entriesOf(model), wallTime))
      for (const entry of this.entriesOf(model)) if (!kept.has(entry)) this._entries.delete(entry.fingerprint)
    }
  }

  /** Entries for one message to a peer; each is sent a bounded number of times. */
  takeUpdates (fleetSize: number): QuarantineEntry[] {
    return this._updateQueue.nextBatch(UPDATES_PER_MESSAGE, fleetSize)
      .flatMap(fingerprint => this._entries.get(fingerprint) ?? [])
  }

  private _change (subject: QuarantineSubject, state: QuarantineState, wallTime: Milliseconds): QuarantineEntry {
    const { fingerprint, workspace, kind, model } = subject
    const version = (this.find(fingerprint)?.version ?? 0) + 1
    const entry = { fingerprint, workspace, kind, model, state, version, abandonedTrials: 0, since: wallTime }
    this._put(entry)
    return entry
  }

  private _mergeEntry (received: QuarantineEntry): boolean {
    const known = this._entries.get(received.fingerprint)
    if (replacesEntry(received, known)) {
      this._put(received)
      return true
    }
    // The sender may have restarted and lost a newer entry, so the known entry is gossiped again.
    if (known === undefined || !replacesEntry(known, received)) return false
    this._updateQueue.add(known.fingerprint)
    return true
  }

  private _put (entry: QuarantineEntry): void {
    this._entries.set(entry.fingerprint, entry)
    this._updateQueue.add(entry.fingerprint)
  }
}
