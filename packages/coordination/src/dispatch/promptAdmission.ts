/**
 * Admission control by engine memory. An engine that runs out of memory preempts requests and reads their prompts again, so
 * that under overload all requests become late. Holding a request before it is sent, or refusing it so that the caller retries
 * later, costs less.
 */
import type { Milliseconds } from '../common/index.js'

/** Share of the latency objective for which a request is held; a refusal within this time still counts as early. */
const HOLD_SHARE = 0.12
/** Shares of an engine's memory by which it may be overcommitted: for the most urgent requests, and for held ones. */
const URGENT_ALLOWANCE = 0.3
const HELD_ALLOWANCE = 0.3

/** Inputs of the admission decision for a prompt that is about to be sent. */
export interface AdmissionInputs {
  /** Memory that the best replica lacks for the request, as a share of its total memory; 0 if the request fits. */
  crowding: number
  heldFor: Milliseconds
  objective: Milliseconds
  /** Whether no other request is more urgent. */
  isMostUrgent: boolean
}

/** Send the request, hold it and decide again shortly, or refuse it before it has run. */
export type PromptAdmission = 'send' | 'hold' | 'refuse'

/** Decides whether a prompt that has not been sent yet is admitted. */
export function admitPrompt ({ crowding, heldFor, objective, isMostUrgent }: AdmissionInputs): PromptAdmission {
  const allowance = isMostUrgent ? URGENT_ALLOWANCE : 0
  if (crowding <= allowance) return 'send'
  if (heldFor < objective * HOLD_SHARE) return 'hold'
  return crowding <= allowance + HELD_ALLOWANCE ? 'send' : 'refuse'
}
