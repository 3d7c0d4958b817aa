/**
 * The single trial of a model. A replica serves one model, so two suspects never run on the same replica, and a crash in a
 * trial is attributable to one suspect. A trial is acquired by compare-and-swap on the model's record.
 */
import { isSameInstance, type InstanceIdentity, type Milliseconds } from '../common/index.js'
import type { QuarantineEntry, QuarantineRecord, QuarantineTrial } from './messages.js'
import { boundEntries, replacesEntry } from './quarantineTable.js'

/** Longest duration of a trial. The holder counts it from before it requests the trial. */
export const MAXIMUM_TRIAL_DURATION: Milliseconds = 60_000
/** An instance takes over a trial that it has observed unchanged for this long. */
export const TRIAL_TAKEOVER_AFTER: Milliseconds = 75_000
/** Count of abandoned trials (see `QuarantineEntry`) at which the request is quarantined. */
const MAXIMUM_ABANDONED_TRIALS = 2
const BUSY_RETRY_DELAY: Milliseconds = 2_000

/** An instance's request to run a trial. */
export interface TrialRequest {
  entry: QuarantineEntry
  /** Unique token of the new trial. */
  token: string
  holder: InstanceIdentity
  /** Token of the trial of this model that the holder is running, if any. */
  runningToken?: string
}

/** What the caller has to do about a request for a trial. */
export type TrialPlan =
  /** Write the record by compare-and-swap. If the write wins and `isTrial` is true, this instance holds the trial. */
  | { kind: 'write', record: QuarantineRecord, isTrial: boolean }
  | { kind: 'busy', retryAfter: Milliseconds }
  /** The record shows that the request is no longer suspect, so no trial is needed. */
  | { kind: 'settled', entry: QuarantineEntry }

/** The record with `entries` merged into it and expired entries removed. */
export function mergeRecord (
  record: QuarantineRecord | undefined, entries: readonly QuarantineEntry[], wallTime: Milliseconds
): QuarantineRecord {
  const merged = new Map(record?.entries.map(entry => [entry.fingerprint, entry]))
  for (const entry of entries) {
    if (replacesEntry(entry, merged.get(entry.fingerprint))) merged.set(entry.fingerprint, entry)
  }
  return { ...record, entries: boundEntries([...merged.values()], wallTime) }
}

/** The record without its trial if that has this token, otherwise the record unchanged. */
export function endTrial (record: QuarantineRecord, token: string | undefined): QuarantineRecord {
  return record.trial !== undefined && record.trial.token === token ? { entries: record.entries } : record
}

/**
 * Plans requests for trials. It records when each model's current trial was first observed on the local monotonic clock,
 * because the clocks of two hosts are not compared.
 */
export class TrialPlanner {
  private readonly _firstSeen = new Map<string, { token: string, at: Milliseconds }>()

  /** Plans a request for a trial. `record` is the model's record as just read; `now` is monotonic, `wallTime` is not. */
  plan (record: QuarantineRecord | undefined, request: TrialRequest, now: Milliseconds, wallTime: Milliseconds): TrialPlan {
    const merged = mergeRecord(record, [request.entry], wallTime)
    const entry = merged.entries.find(({ fingerprint }) => fingerprint === request.entry.fingerprint)
    if (entry !== undefined && entry.state !== 'suspect') return { kind: 'settled', entry }
    const { trial } = merged
    if (trial === undefined) return this._acquire(merged, request)
    if (isSameInstance(trial.holder, request.holder)) {
      // An earlier write of this instance was applied after the instance gave up on it, so that trial never ran.
      return trial.token === request.runningToken ? busy() : this._acquire(merged, request)
    }
    if (!this._isStale(request.entry.model, trial, now)) return busy()
    return this._takeOver(merged, trial, request, wallTime)
  }

  private _acquire (record: QuarantineRecord, { entry, token, holder }: TrialRequest): TrialPlan {
    return { kind: 'write', isTrial: true, record: { ...record, trial: { token, fingerprint: entry.fingerprint, holder } } }
  }

  /** An abandoned trial may have crashed its replica unnoticed, so it is counted against its request. */
  private _takeOver (record: QuarantineRecord, trial: QuarantineTrial, request: TrialRequest, wallTime: Milliseconds): TrialPlan {
    const entries = record.entries.map(entry => entry.fingerprint === trial.fingerprint ? countAbandoned(entry, wallTime) : entry)
    const own = entries.find(({ fingerprint }) => fingerprint === request.entry.fingerprint)
    if (own?.state === 'quarantined') return { kind: 'write', isTrial: false, record: { entries } }
    return this._acquire({ entries }, request)
  }

  private _isStale (model: string, { token }: QuarantineTrial, now: Milliseconds): boolean {
    const seen = this._firstSeen.get(model)
    if (seen?.token === token) return now - seen.at >= TRIAL_TAKEOVER_AFTER
    this._firstSeen.set(model, { token, at: now })
    return false
  }
}

function countAbandoned (entry: QuarantineEntry, wallTime: Milliseconds): QuarantineEntry {
  if (entry.state !== 'suspect') return entry
  const abandonedTrials = entry.abandonedTrials + 1
  const isAtLimit = abandonedTrials >= MAXIMUM_ABANDONED_TRIALS
  return { ...entry, abandonedTrials, version: entry.version + 1, state: isAtLimit ? 'quarantined' : 'suspect', since: wallTime }
}

function busy (): TrialPlan {
  return { kind: 'busy', retryAfter: BUSY_RETRY_DELAY }
}
