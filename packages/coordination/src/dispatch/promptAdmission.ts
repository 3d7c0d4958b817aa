/**
 * Keeps engines from being promised more memory than they have. An engine whose memory runs out preempts requests and reads
 * them again, so that under overload everything becomes late; a request that waits before it is sent, or comes back later,
 * costs less.
 */
import type { Milliseconds } from '../common/index.js'

/** Part of the objective for which a request waits for memory; a refusal by then still counts as early. */
const HOLD_SHARE = 0.12
/** Shares of an engine's memory that may be promised beyond what it has. */
const URGENT_ALLOWANCE = 0.3
const LATE_ALLOWANCE = 0.3

/** What is known of a prompt that is about to be sent. */
export interface PromptPressure {
  /** Memory that the best replica lacks for the request, against the replica's whole memory; 0 where it fits. */
  crowding: number
  heldFor: Milliseconds
  objective: Milliseconds
  /** Whether no request is more urgent. */
  isMostUrgent: boolean
}

/** Send it, look again shortly, or refuse it as not run. */
export type PromptAdmission = 'send' | 'hold' | 'refuse'

/** Decides for one prompt that has not been sent yet. */
export function admitPrompt ({ crowding, heldFor, objective, isMostUrgent }: PromptPressure): PromptAdmission {
  const allowance = isMostUrgent ? URGENT_ALLOWANCE : 0
  if (crowding <= allowance) return 'send'
  if (heldFor < objective * HOLD_SHARE) return 'hold'
  return crowding <= allowance + LATE_ALLOWANCE ? 'send' : 'refuse'
}
