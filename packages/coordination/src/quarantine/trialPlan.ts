/**
 * The one trial of a model. A replica serves one model, so no two suspects ever share a replica, and a crash in a trial
 * has one suspect to blame. The trial is won by compare-and-swap on the model's record.
 */
import { isSameInstance, type InstanceIdentity, type Milliseconds } from '../common/index.js'
import type { QuarantineEntry, QuarantineRecord, QuarantineTrial } from './messages.js'
import { boundEntries, replacesEntry } from './quarantineTable.js'

/** Longest run of a trial, counted by its holder from before it asked for it. */
export const TRIAL_BOUND: Milliseconds = 60_000
/** Time for which a trial is seen unchanged before another instance takes it over. */
export const TRIAL_TAKEOVER_AFTER: Milliseconds = 75_000
/** Trials that may vanish with their holders before the request counts as crashing. */
const MAXIMUM_ABANDONED_TRIALS = 2
const BUSY_RETRY_AFTER: Milliseconds = 2_000

/** An instance that asks for a trial. */
export interface TrialRequest {
  entry: QuarantineEntry
  /** New and unique. */
  token: string
  holder: InstanceIdentity
  /** Token of the trial of this model that the holder now runs, if any. */
  runningToken?: string
}

/** What to do about a request for a trial. */
export type TrialPlan =
  /** Write the record; the trial is held once the write is won. */
  | { kind: 'write', record: QuarantineRecord, isTrial: boolean }
  | { kind: 'busy', retryAfter: Milliseconds }
  /** The record knows that the request is no longer suspect. */
  | { kind: 'settled', entry: QuarantineEntry }

/** The record with further entries merged, expired ones dropped. */
export function mergeRecord (
  record: QuarantineRecord | undefined, entries: readonly QuarantineEntry[], wall: Milliseconds
): QuarantineRecord {
  const merged = new Map(record?.entries.map(entry => [entry.fingerprint, entry]))
  for (const entry of entries) {
    if (replacesEntry(entry, merged.get(entry.fingerprint))) merged.set(entry.fingerprint, entry)
  }
  return { ...record, entries: boundEntries([...merged.values()], wall) }
}

/** The record without the trial of this token. */
export function endTrial (record: QuarantineRecord, token: string | undefined): QuarantineRecord {
  return record.trial !== undefined && record.trial.token === token ? { entries: record.entries } : record
}

/** Remembers since when each model's trial has been seen, on the local clock: two hosts' clocks are not compared. */
export class TrialWatch {
  private readonly _seen = new Map<string, { token: string, at: Milliseconds }>()

  /** Plans a request for a model's trial against the record just read. */
  plan (record: QuarantineRecord | undefined, request: TrialRequest, now: Milliseconds, wall: Milliseconds): TrialPlan {
    const merged = mergeRecord(record, [request.entry], wall)
    const entry = merged.entries.find(({ fingerprint }) => fingerprint === request.entry.fingerprint)
    if (entry !== undefined && entry.state !== 'suspect') return { kind: 'settled', entry }
    const { trial } = merged
    if (trial === undefined) return this._take(merged, request)
    if (isSameInstance(trial.holder, request.holder)) {
      // A write of this instance's own that landed after it gave up: nothing was run under it.
      return trial.token === request.runningToken ? busy() : this._take(merged, request)
    }
    if (!this._isStale(request.entry.model, trial, now)) return busy()
    return this._takeOver(merged, trial, request, wall)
  }

  private _take (record: QuarantineRecord, { entry, token, holder }: TrialRequest): TrialPlan {
    return { kind: 'write', isTrial: true, record: { ...record, trial: { token, fingerprint: entry.fingerprint, holder } } }
  }

  /** The vanished trial may have crashed its replica unseen, so it counts against its request. */
  private _takeOver (record: QuarantineRecord, trial: QuarantineTrial, request: TrialRequest, wall: Milliseconds): TrialPlan {
    const entries = record.entries.map(entry => entry.fingerprint === trial.fingerprint ? countAbandoned(entry, wall) : entry)
    const own = entries.find(({ fingerprint }) => fingerprint === request.entry.fingerprint)
    if (own?.state === 'quarantined') return { kind: 'write', isTrial: false, record: { entries } }
    return this._take({ entries }, request)
  }

  private _isStale (model: string, { token }: QuarantineTrial, now: Milliseconds): boolean {
    const seen = this._seen.get(model)
    if (seen?.token === token) return now - seen.at >= TRIAL_TAKEOVER_AFTER
    this._seen.set(model, { token, at: now })
    return false
  }
}

function countAbandoned (entry: QuarantineEntry, wall: Milliseconds): QuarantineEntry {
  if (entry.state !== 'suspect') return entry
  const abandonedTrials = entry.abandonedTrials + 1
  const isOver = abandonedTrials >= MAXIMUM_ABANDONED_TRIALS
  return { ...entry, abandonedTrials, version: entry.version + 1, state: isOver ? 'quarantined' : 'suspect', since: wall }
}

function busy (): TrialPlan {
  return { kind: 'busy', retryAfter: BUSY_RETRY_AFTER }
}
