/**
 * One operator's change, from the first read until its outcome is certain or `SETTLEMENT_TIMEOUT` has passed.
 *
 * A write whose answer was lost may still be applied at any later time. Only an answered compare-and-swap on the same
 * revision settles it: if it wins, the change is in force; if it loses, the key has a newer revision, so the delayed write
 * can no longer win. The same write is therefore repeated with the same change token.
 */
import { ABSENT_REVISION, type CompareAndSwapOutcome } from '../platform/index.js'
import type { Milliseconds } from '../common/index.js'
import type { ConfigurationRecord } from './configurationState.js'

/** Time after which a change whose outcome is still uncertain ends as `unknown` or `refused`. */
export const SETTLEMENT_TIMEOUT: Milliseconds = 10_000

const RETRY_DELAY: Milliseconds = 250

/** What the key-value service stores under the configuration key; `record` is undefined where the key does not exist. */
export interface ConfigurationReadResult {
  record: ConfigurationRecord | undefined
  /** Revision of the key in the service (not of the configuration), for the next compare-and-swap. */
  keyRevision: number
}

/** How a call to the service failed: `refused` had no effect; `ambiguous` may have had one, or may still have one. */
export type CallFailure = 'refused' | 'ambiguous'

/** A message to `ConfigurationChangeAttempt`. */
export type ChangeMessage =
  | { kind: 'start' }
  | { kind: 'current-read', current: ConfigurationReadResult }
  | { kind: 'history-read', record: ConfigurationRecord | undefined }
  | { kind: 'history-kept' }
  | { kind: 'written', outcome: CompareAndSwapOutcome }
  | { kind: 'failed', failure: CallFailure }
  | { kind: 'retry' }

/** How a change ended. */
export type ChangeOutcome =
  | { kind: 'accepted', record: ConfigurationRecord }
  | { kind: 'conflict', current: ConfigurationRecord | undefined }
  /** The change is not in force and never will be. */
  | { kind: 'refused' }
  /** The change may be in force already or come into force later; looking up the change token shows which. */
  | { kind: 'unknown', changeToken: string }

/** What the daemon has to do. It answers with the message that matches the effect, with `failed`, or with `retry` (`wait`). */
export type ChangeEffect =
  | { kind: 'read-current' }
  | { kind: 'read-history', revision: number }
  /** Store the record under its history key unless the key exists; both outcomes are answered with `history-kept`. */
  | { kind: 'keep-history', record: ConfigurationRecord }
  | { kind: 'write', record: ConfigurationRecord, expectedRevision: number }
  | { kind: 'wait', delay: Milliseconds }
  | { kind: 'finish', outcome: ChangeOutcome }

/** State machine of one change. */
export class ConfigurationChangeAttempt {
  private _startedAt: Milliseconds | undefined
  private _keyRevision = ABSENT_REVISION
  private _wasLost = false
  private _current: ConfigurationRecord | undefined
  private _pending: ChangeEffect = { kind: 'read-current' }

  /**
   * @param _wanted the record to put in force; its revision is one above the revision that the operator's change is based on
   * @param _hasUnsettledWrite whether an earlier write of this change may still be applied, as when the operator resends a change
   */
  constructor (private readonly _wanted: ConfigurationRecord, private _hasUnsettledWrite: boolean) {}

  /** Processes one message and returns the next effect. */
  handle (message: ChangeMessage, now: Milliseconds): ChangeEffect {
    this._startedAt ??= now
    const effect = this._decide(message, now - this._startedAt >= SETTLEMENT_TIMEOUT)
    if (effect.kind !== 'wait') this._pending = effect
    return effect
  }

  private _decide (message: ChangeMessage, isTimedOut: boolean): ChangeEffect {
    switch (message.kind) {
      case 'start': return { kind: 'read-current' }
      case 'current-read': return this._onCurrentRead(message.current)
      case 'history-read': return this._onHistoryRead(message.record)
      case 'history-kept': return { kind: 'write', record: this._wanted, expectedRevision: this._keyRevision }
      case 'written': return this._onWritten(message.outcome)
      case 'failed': return this._onFailed(message.failure, isTimedOut)
      case 'retry': return this._pending
    }
  }

  private _onCurrentRead ({ record, keyRevision }: ConfigurationReadResult): ChangeEffect {
    this._current = record
    const revision = record?.revision ?? 0
    if (record?.changeToken === this._wanted.changeToken) return finish({ kind: 'accepted', record })
    // If this change won and was then replaced by a later one, the history contains it.
    if (revision > this._wanted.revision) return { kind: 'read-history', revision: this._wanted.revision }
    if (this._wasLost || revision !== this._wanted.revision - 1) return this._conflict()
    this._keyRevision = keyRevision
    // The current record is stored in the history before it is replaced. Otherwise a writer that crashes after the write
    // would leave a gap in the history, and a lost answer could not be settled.
    return record === undefined
      ? { kind: 'write', record: this._wanted, expectedRevision: keyRevision }
      : { kind: 'keep-history', record }
  }

  private _onHistoryRead (record: ConfigurationRecord | undefined): ChangeEffect {
    if (record?.changeToken === this._wanted.changeToken) return finish({ kind: 'accepted', record })
    // If the history entry has been trimmed, it cannot show whether an unsettled write won.
    return record === undefined && this._hasUnsettledWrite ? this._unknown() : this._conflict()
  }

  private _onWritten (outcome: CompareAndSwapOutcome): ChangeEffect {
    if (outcome.kind === 'won') return finish({ kind: 'accepted', record: this._wanted })
    // The write may have lost to an earlier send of itself, so the change token is looked up before a conflict is reported.
    this._wasLost = true
    return { kind: 'read-current' }
  }

  private _onFailed (failure: CallFailure, isTimedOut: boolean): ChangeEffect {
    if (failure === 'ambiguous' && this._pending.kind === 'write') this._hasUnsettledWrite = true
    if (this._hasUnsettledWrite) return isTimedOut ? this._unknown() : { kind: 'wait', delay: RETRY_DELAY }
    if (failure === 'refused' || isTimedOut) return finish({ kind: 'refused' })
    return { kind: 'wait', delay: RETRY_DELAY }
  }

  private _conflict (): ChangeEffect {
    return finish({ kind: 'conflict', current: this._current })
  }

  private _unknown (): ChangeEffect {
    return finish({ kind: 'unknown', changeToken: this._wanted.changeToken })
  }
}

function finish (outcome: ChangeOutcome): ChangeEffect {
  return { kind: 'finish', outcome }
}
