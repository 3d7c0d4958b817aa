/** Messages to the run of one prompt, and the effects that it returns. */
import type { RefusalError } from '../admission/index.js'
import type { Milliseconds } from '../common/index.js'
import type { EnginePart } from '../platform/index.js'
import type { AnswerEnd, OrderedPart } from './answerAssembler.js'

/**
 * How an attempt ended without a complete answer. `not-sent`: the request provably never ran on the replica.
 * `version-refused`: the replica serves another weight version. `broken`: the connection failed or the answer was invalid.
 */
export type AttemptFailure = 'not-sent' | 'version-refused' | 'broken'

/** An input of a run. Messages that name an attempt are ignored unless it is the current one. */
export type AnswerRunMessage =
  | { kind: 'start' }
  /** A replica was chosen; the nonce is unique to the attempt. `activeWeightVersion` is the version in force. */
  | { kind: 'attempt-prepared', attempt: number, nonce: string, replica: string, activeWeightVersion: string }
  | { kind: 'no-replica', attempt: number, activeWeightVersion: string }
  | { kind: 'part', attempt: number, part: EnginePart }
  /** The stream ended before the answer was complete; without a `failure` it counts as `broken`. */
  | { kind: 'attempt-ended', attempt: number, failure?: AttemptFailure }
  | { kind: 'probe-ended', attempt: number, isAnswered: boolean }
  /** The run must end with this refusal; its `notRun` is replaced, by true only if no attempt can have run. */
  | { kind: 'forbidden', attempt: number, refusal: RefusalError }
  | { kind: 'wake' }
  | { kind: 'caller-left' }

/** An action for the driver of a run. Effects are carried out in order; `finish` or `refuse` is the last of a run. */
export type AnswerRunEffect =
  | { kind: 'prepare-attempt', attempt: number, weightVersion: string, excludedReplicas: ReadonlySet<string> }
  | {
    kind: 'open-stream', attempt: number, nonce: string, replica: string, weightVersion: string, resumeAfterTokens: number
  }
  | { kind: 'deliver', part: OrderedPart }
  /** Cancel the attempt on the replica, which frees its resources there, and close its connection. */
  | { kind: 'cancel-attempt', attempt: number, nonce: string, replica: string }
  /** Probe the replica on a new connection; it must respond within `timeout`. */
  | { kind: 'probe', attempt: number, replica: string, timeout: Milliseconds }
  | { kind: 'drop-connections', replica: string }
  | { kind: 'mark-failed', attempt: number, replica: string }
  /** Send `wake` at this time; a later effect of this kind replaces it. */
  | { kind: 'wake-at', at: Milliseconds }
  | { kind: 'finish', replica: string, weightVersion: string, end: AnswerEnd }
  | { kind: 'refuse', refusal: RefusalError }

/** Maximum time without progress in each phase of an attempt. */
export interface IdleTimeouts {
  /** Choosing a replica and importing blocks there. */
  prepare: Milliseconds
  /** From opening the stream to its first part: connecting, queueing and prefill of the prompt. */
  firstPart: Milliseconds
  betweenParts: Milliseconds
  probe: Milliseconds
}
