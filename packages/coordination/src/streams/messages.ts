/** Messages and effects of the run of one prompt. */
import type { RefusalError } from '../admission/index.js'
import type { Milliseconds } from '../common/index.js'
import type { EnginePart } from '../platform/index.js'
import type { AnswerEnd, OrderedPart } from './answerAssembler.js'

/**
 * How an attempt ended short of a whole answer. `not-sent`: the replica proved that it never ran. `version-refused`: the
 * replica serves another weight version. `broken`: the connection failed or the answer made no sense.
 */
export type AttemptFailure = 'not-sent' | 'version-refused' | 'broken'

/** What happens to a run. Every message but `caller-left` and `wake` names the attempt that it belongs to. */
export type AnswerRunMessage =
  | { kind: 'start' }
  /** A replica was chosen; the nonce is new and unique. `activeWeightVersion` is the version now in force. */
  | { kind: 'attempt-prepared', attempt: number, nonce: string, replica: string, activeWeightVersion: string }
  | { kind: 'no-replica', attempt: number, activeWeightVersion: string }
  | { kind: 'part', attempt: number, part: EnginePart }
  | { kind: 'attempt-ended', attempt: number, failure?: AttemptFailure }
  | { kind: 'probe-ended', attempt: number, isAnswered: boolean }
  /** The request may not run on; `notRun` of the refusal is true only where no attempt was sent. */
  | { kind: 'forbidden', attempt: number, refusal: RefusalError }
  | { kind: 'wake' }
  | { kind: 'caller-left' }

/** What the driver of a run has to do, in order. `finish` and `refuse` are the last effect of a run. */
export type AnswerRunEffect =
  | { kind: 'prepare-attempt', attempt: number, weightVersion: string, excludedReplicas: ReadonlySet<string> }
  | {
    kind: 'open-stream', attempt: number, nonce: string, replica: string, weightVersion: string, resumeAfterTokens: number
  }
  | { kind: 'deliver', part: OrderedPart }
  /** Frees what the replica holds for an attempt; the attempt's own connection is closed too. */
  | { kind: 'cancel-attempt', attempt: number, nonce: string, replica: string }
  /** Asks the replica for a sign of life on a new connection, within `timeout`. */
  | { kind: 'probe', attempt: number, replica: string, timeout: Milliseconds }
  | { kind: 'drop-connections', replica: string }
  | { kind: 'mark-failed', attempt: number, replica: string }
  /** Sends `wake` at this time; a later effect of this kind replaces it. */
  | { kind: 'wake-at', at: Milliseconds }
  | { kind: 'finish', replica: string, weightVersion: string, end: AnswerEnd }
  | { kind: 'refuse', refusal: RefusalError }

/** Longest time without progress in each phase of an attempt. */
export interface IdleBounds {
  /** Choosing a replica and bringing blocks there. */
  prepare: Milliseconds
  /** From opening the stream to its first part: connecting, queueing and computing the prompt. */
  firstPart: Milliseconds
  betweenParts: Milliseconds
  probe: Milliseconds
}
