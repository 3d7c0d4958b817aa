/** What one instance knows of requests that crash backend servers, and what of it still has to be spread. */
import { MILLISECONDS_PER_HOUR, type Milliseconds } from '../common/index.js'
import { NewsQueue } from '../membership/index.js'
import type { QuarantineEntry, QuarantineState, QuarantineSubject } from './messages.js'

const STATE_RANK: Record<QuarantineState, number> = { cleared: 0, suspect: 1, quarantined: 2 }
const LIFETIMES: Record<QuarantineState, Milliseconds> = {
  cleared: MILLISECONDS_PER_HOUR, suspect: MILLISECONDS_PER_HOUR, quarantined: 24 * MILLISECONDS_PER_HOUR
}
/** Most entries that are kept for each model; the oldest of the mildest state go first. */
export const MAXIMUM_ENTRIES = 256
/** Most entries in one message to a peer. */
const MAXIMUM_NEWS = 16

/** Whether one entry replaces another of the same request. */
export function replacesEntry (heard: QuarantineEntry, known: QuarantineEntry | undefined): boolean {
  if (known === undefined || heard.version !== known.version) return heard.version > (known?.version ?? 0)
  if (heard.state !== known.state) return STATE_RANK[heard.state] > STATE_RANK[known.state]
  return heard.abandonedTrials > known.abandonedTrials
}

/** The entries that have not expired, at most `MAXIMUM_ENTRIES`. */
export function boundEntries (entries: readonly QuarantineEntry[], wall: Milliseconds): QuarantineEntry[] {
  const fresh = entries.filter(entry => wall - entry.since < LIFETIMES[entry.state])
  if (fresh.length <= MAXIMUM_ENTRIES) return fresh
  return fresh
    .sort((left, right) => STATE_RANK[right.state] - STATE_RANK[left.state] || right.since - left.since)
    .slice(0, MAXIMUM_ENTRIES)
}

/** The entries of one instance. Wall time serves the expiry only. */
export class QuarantineTable {
  private readonly _entries = new Map<string, QuarantineEntry>()
  private readonly _news = new NewsQueue()

  /** Suspect and quarantined requests. */
  get entries (): QuarantineEntry[] {
    return [...this._entries.values()].filter(({ state }) => state !== 'cleared')
  }

  /** Everything known of a model's requests, the cleared ones too. */
  entriesOf (model: string): QuarantineEntry[] {
    return [...this._entries.values()].filter(entry => entry.model === model)
  }

  /** Everything known, the cleared requests too; what a restarted instance asks for. */
  get allEntries (): QuarantineEntry[] {
    return [...this._entries.values()]
  }

  /** What is known of a request. */
  find (fingerprint: string): QuarantineEntry | undefined {
    return this._entries.get(fingerprint)
  }

  /** Takes entries from a peer or the key-value service; whether there is now something to spread. */
  merge (heard: readonly QuarantineEntry[]): boolean {
    const differing = heard.filter(entry => this._takeDiffering(entry))
    return differing.length > 0
  }

  /** Takes a crash of a replica that ran the request: in a trial it is the second one. */
  onCrash (subject: QuarantineSubject, isTrial: boolean, wall: Milliseconds): QuarantineEntry {
    const state = this.find(subject.fingerprint)?.state
    if (!isTrial && state !== undefined && state !== 'cleared') return this.find(subject.fingerprint) as QuarantineEntry
    return this._change(subject, isTrial ? 'quarantined' : 'suspect', wall)
  }

  /** Takes a whole run in a trial. Undefined where the request is not suspect. */
  onWhole (subject: QuarantineSubject, wall: Milliseconds): QuarantineEntry | undefined {
    return this.find(subject.fingerprint)?.state === 'suspect' ? this._change(subject, 'cleared', wall) : undefined
  }

  /** Lets a request run again. Undefined where nothing holds it. */
  release (fingerprint: string, wall: Milliseconds): QuarantineEntry | undefined {
    const entry = this.find(fingerprint)
    return entry === undefined || entry.state === 'cleared' ? undefined : this._change(entry, 'cleared', wall)
  }

  /** Drops what has expired and what is over the bound. */
  expire (wall: Milliseconds): void {
    for (const model of new Set([...this._entries.values()].map(entry => entry.model))) {
      const kept = new Set(boundEntries(this.entriesOf(model), wall))
      for (const entry of this.entriesOf(model)) if (!kept.has(entry)) this._entries.delete(entry.fingerprint)
    }
  }

  /** Entries for one message to a peer; each is told a bounded number of times. */
  takeNews (fleetSize: number): QuarantineEntry[] {
    return this._news.take(MAXIMUM_NEWS, fleetSize).flatMap(fingerprint => this._entries.get(fingerprint) ?? [])
  }

  private _change (subject: QuarantineSubject, state: QuarantineState, wall: Milliseconds): QuarantineEntry {
    const { fingerprint, workspace, kind, model } = subject
    const version = (this.find(fingerprint)?.version ?? 0) + 1
    const entry = { fingerprint, workspace, kind, model, state, version, abandonedTrials: 0, since: wall }
    this._put(entry)
    return entry
  }

  private _takeDiffering (heard: QuarantineEntry): boolean {
    const known = this._entries.get(heard.fingerprint)
    if (replacesEntry(heard, known)) {
      this._put(heard)
      return true
    }
    // A restarted instance may tell of a first crash what the others know better; they tell it back.
    if (known === undefined || !replacesEntry(known, heard)) return false
    this._news.add(known.fingerprint)
    return true
  }

  private _put (entry: QuarantineEntry): void {
    this._entries.set(entry.fingerprint, entry)
    this._news.add(entry.fingerprint)
  }
}
