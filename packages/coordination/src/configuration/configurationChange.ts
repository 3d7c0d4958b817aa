/**
 * One operator's change, from the first read until its outcome is certain or the time for settling it is over.
 *
 * A write without an answer may land at any later time. Only a compare-and-swap on the same revision that is answered
 * settles it: one that wins puts the change in force, and one that loses shows that the key has moved on, so that the
 * delayed write can no longer win. So the same write is repeated with the same change token.
 */
import { ABSENT_REVISION, type CompareAndSwapOutcome } from '../platform/index.js'
import type { Milliseconds } from '../common/index.js'
import type { ConfigurationRecord } from './configurationState.js'

/** How long one request of an operator is spent on settling a change. */
export const SETTLEMENT_LIMIT: Milliseconds = 10_000

const RETRY_DELAY: Milliseconds = 250

/** What the service holds under the configuration key. */
export interface ReadConfiguration {
  record: ConfigurationRecord | undefined
  /** Revision of the key in the service, for the next compare-and-swap. */
  keyRevision: number
}

/** How a call on the service ended without a result. */
export type CallFailure = 'refused' | 'ambiguous'

/** A message to the change. */
export type ChangeMessage =
  | { kind: 'start' }
  | { kind: 'current-read', current: ReadConfiguration }
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
  /** The change may be in force, or may come into force; the change token tells when it is looked up. */
  | { kind: 'unknown', changeToken: string }

/** What the daemon has to do; each effect is answered by the message of its name, `failed`, or after a delay `retry`. */
export type ChangeEffect =
  | { kind: 'read-current' }
  | { kind: 'read-history', revision: number }
  /** Keep the record under its history key unless it stands there; the answer may be won or lost alike. */
  | { kind: 'keep-history', record: ConfigurationRecord }
  | { kind: 'write', record: ConfigurationRecord, expectedRevision: number }
  | { kind: 'wait', delay: Milliseconds }
  | { kind: 'finish', outcome: ChangeOutcome }

/** Decides one change. */
export class ConfigurationChangeAttempt {
  private _startedAt: Milliseconds | undefined
  private _keyRevision = ABSENT_REVISION
  private _wasLost = false
  private _current: ConfigurationRecord | undefined
  private _pending: ChangeEffect = { kind: 'read-current' }

  /**
   * @param _wanted the record to put in force; its revision is one above the one that the operator saw
   * @param _hasOpenWrite whether a write of this change may still land, as when the operator sends the change again
   */
  constructor (private readonly _wanted: ConfigurationRecord, private _hasOpenWrite: boolean) {}

  /** Takes one message; gives the one thing to do next. */
  handle (message: ChangeMessage, now: Milliseconds): ChangeEffect {
    this._startedAt ??= now
    const effect = this._decide(message, now - this._startedAt >= SETTLEMENT_LIMIT)
    if (effect.kind !== 'wait') this._pending = effect
    return effect
  }

  private _decide (message: ChangeMessage, isOver: boolean): ChangeEffect {
    switch (message.kind) {
      case 'start': return { kind: 'read-current' }
      case 'current-read': return this._judgeCurrent(message.current)
      case 'history-read': return this._judgeHistory(message.record)
      case 'history-kept': return { kind: 'write', record: this._wanted, expectedRevision: this._keyRevision }
      case 'written': return this._judgeWrite(message.outcome)
      case 'failed': return this._judgeFailure(message.failure, isOver)
      case 'retry': return this._pending
    }
  }

  private _judgeCurrent ({ record, keyRevision }: ReadConfiguration): ChangeEffect {
    this._current = record
    const revision = record?.revision ?? 0
    if (record?.changeToken === this._wanted.changeToken) return finish({ kind: 'accepted', record })
    // A change that won and was followed by another one is found in the history.
    if (revision > this._wanted.revision) return { kind: 'read-history', revision: this._wanted.revision }
    if (this._wasLost || revision !== this._wanted.revision - 1) return this._conflict()
    this._keyRevision = keyRevision
    // Kept before it is replaced: otherwise a writer that died would leave a hole, and a lost answer could not be settled.
    return record === undefined
      ? { kind: 'write', record: this._wanted, expectedRevision: keyRevision }
      : { kind: 'keep-history', record }
  }

  private _judgeHistory (record: ConfigurationRecord | undefined): ChangeEffect {
    if (record?.changeToken === this._wanted.changeToken) return finish({ kind: 'accepted', record })
    // An entry that has been trimmed tells nothing of a write that was left open.
    return record === undefined && this._hasOpenWrite ? this._unknown() : this._conflict()
  }

  private _judgeWrite (outcome: CompareAndSwapOutcome): ChangeEffect {
    if (outcome.kind === 'won') return finish({ kind: 'accepted', record: this._wanted })
    // It may have lost against its own earlier send, so the change token is looked up before the change is refused.
    this._wasLost = true
    return { kind: 'read-current' }
  }

  private _judgeFailure (failure: CallFailure, isOver: boolean): ChangeEffect {
    if (failure === 'ambiguous' && this._pending.kind === 'write') this._hasOpenWrite = true
    if (this._hasOpenWrite) return isOver ? this._unknown() : { kind: 'wait', delay: RETRY_DELAY }
    if (failure === 'refused' || isOver) return finish({ kind: 'refused' })
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
