/** What follows when an attempt on a replica has ended without an answer that can be passed on. */
import type { RequestKind } from '../catalog/index.js'

/** How an attempt ended. */
export type AttemptEnd =
  /** Nothing of the request left this host. */
  | 'not-sent'
  /** The replica stated that it did not run the request and never will. */
  | 'not-run'
  /** The replica answered with a failure of its own. */
  | 'failed'
  /** The connection ended, or what came was no whole answer to this request. */
  | 'broken'
  /** The time that the attempt was allowed is over. */
  | 'timed-out'

/** What is known of a request when an attempt ends. */
export interface AttemptContext {
  kind: RequestKind
  isResumable: boolean
  /** Replicas on which the request may have run so far. */
  possibleRuns: number
  maximumAttempts: number
  /** Whether part of the answer is already with the caller. */
  hasBegunAnswer: boolean
  /** Whether another replica could take the request now. */
  hasOtherReplica: boolean
  isTimeLeft: boolean
}

/** What to do next; `refuse` promises that the request has not run. */
export type AttemptVerdict = 'try-another' | 'refuse' | 'pass-failure' | 'fail' | 'break-off'

/** Whether a request that may have run may run again. */
export function isRepeatable (kind: RequestKind, isResumable: boolean): boolean {
  return kind === 'safe' || (kind === 'streaming' && isResumable)
}

/** Decides what follows. The retry budget is asked separately, and only for `try-another`. */
export function decideAfterAttempt (end: AttemptEnd, context: AttemptContext): AttemptVerdict {
  // Only a stream can go on with another replica's answer once the caller has part of one.
  if (context.hasBegunAnswer && context.kind !== 'streaming') return finalVerdict(end, context)
  const mayRunAgain = context.possibleRuns === 0 ||
    (isRepeatable(context.kind, context.isResumable) && context.possibleRuns < context.maximumAttempts)
  if (context.isTimeLeft && context.hasOtherReplica && mayRunAgain) return 'try-another'
  return finalVerdict(end, context)
}

/** What the caller is told when no other replica is tried. */
export function finalVerdict (end: AttemptEnd, context: AttemptContext): AttemptVerdict {
  if (context.hasBegunAnswer) return 'break-off'
  if (context.possibleRuns === 0) return 'refuse'
  return end === 'failed' ? 'pass-failure' : 'fail'
}
