/**
 * Admission control by engine memory. An engine that runs out of memory preempts requests and reads their prompts again, so
 * that under overload all requests become late. Holding a request before it is sent, or refusing it so that the caller retries
 * later, costs less.
 */
import type { Milliseconds } from '../common/index.js'

/** Share of the latency objective for which a request is held; a refusal within this time still counts as early. */
const HOLD_SHARE = 0.12
/**
 * Share of the shortest objective that reading all queued prompts may take, so that a short prompt behind them is on time. The
 * rest is for queues that are longer than known, since peers' loads are up to a heartbeat old.
 */
const QUEUE_SHARE = 0.75
/** Share of the shortest objective up to which a queue is short. */
const SHORT_QUEUE_SHARE = 0.1
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

/** The queue in front of a prompt at an engine. */
export interface PromptQueue {
  /** Time in which the engine reads the prompts that are queued. */
  queueTime: Milliseconds
  /** Time in which it reads what it lacks of this prompt. */
  readTime: Milliseconds
  /** The shortest objective among the routes whose streams the engine serves. */
  shortestObjective: Milliseconds
}

/**
 * Whether a prompt would make the queue of an engine so long that short prompts behind it are late. Load pattern: a burst of long
 * prompts fits into the engines' memory, but reading them takes longer than callers of short ones may wait. However long a prompt
 * is, it may follow a short queue.
 */
export function isQueueTooLong ({ queueTime, readTime, shortestObjective }: PromptQueue): boolean {
  return queueTime > Math.max(shortestObjective * SHORT_QUEUE_SHARE, shortestObjective * QUEUE_SHARE - readTime)
}

/** Number of priorities of routes that are told apart within one priority of workspaces. */
const ROUTE_PRIORITIES = 3

/**
 * Urgency of a request at an engine and in a queue; 0 is the most urgent. The priority of the workspace goes before that of the
 * route, which decides between requests of workspaces of the same priority. Load pattern: callers of all workspaces send long
 * prompts that may take seconds and short ones that may not.
 */
export function urgencyOf (route: { priority: number }, workspace: { priority?: number | undefined } | undefined): number {
  if (workspace?.priority === undefined) return route.priority
  return workspace.priority * ROUTE_PRIORITIES + Math.min(route.priority, ROUTE_PRIORITIES - 1)
}
