/** The history of a run of the claim log, and its checks. The checks use the promises alone, not how they are kept. */
import type { KeptAnswer, Milliseconds } from '@wasabihead/coordination'
import type { Violation } from '../proof.js'

const SHOWN_EVENTS = 60

/** One event. `call` identifies one request of a caller; a caller that sends its key again makes a new call. */
export type ClaimEvent =
  | { kind: 'asked', at: number, key: string, call: string, host: string }
  | { kind: 'ran', at: number, key: string, call: string, host: string }
  | { kind: 'refused', at: number, key: string, call: string, reason: string, notRun: boolean | 'unknown' }
  | { kind: 'answered', at: number, key: string, call: string, answer: KeptAnswer }
  | { kind: 'accepted', at: number, key: string, call: string }

/** Checks that the request of each at-most-once key reached the service at most once. */
export function checkAtMostOnce (history: readonly ClaimEvent[], isAtMostOnce: (key: string) => boolean): Violation[] {
  return breachesByKey(history, isAtMostOnce, events => {
    const runs = events.filter(({ kind }) => kind === 'ran').length
    return runs > 1 ? `it ran ${runs} times` : undefined
  })
}

/** Checks that a call refused as "not run" never ran, nor a key whose every call was refused so. */
export function checkNotRun (history: readonly ClaimEvent[]): Violation[] {
  return breachesByKey(history, () => true, events => {
    const runs = events.filter(({ kind }) => kind === 'ran')
    const refused = new Set(events.flatMap(event => event.kind === 'refused' && event.notRun === true ? [event.call] : []))
    if (runs.some(({ call }) => refused.has(call))) return 'a call that was told "not run" ran'
    const isAllRefused = events.every(event => event.kind === 'ran' || refused.has(event.call))
    return isAllRefused && runs.length > 0 ? 'it ran although every call was told "not run"' : undefined
  })
}

/**
 * Checks that an accepted key is answered in the end, in full, and with the same answer to every caller.
 * @param keptFor how long an answer must stay available, from the first event of its key
 */
export function checkDurableWhole (
  history: readonly ClaimEvent[], isDurable: (key: string) => boolean, keptFor: Milliseconds = Infinity
): Violation[] {
  return breachesByKey(history, isDurable, events => {
    const answers = events.flatMap(event => event.kind === 'answered' ? [event.answer.body] : [])
    const key = events[0]?.key ?? ''
    if (!answers.every(body => isWhole(key, body))) return 'an answer is not whole'
    if (new Set(answers).size > 1) return 'callers got different answers'
    const keptUntil = (events[0]?.at ?? 0) + keptFor
    const isLost = events.some(event => event.kind === 'refused' && event.reason === 'answer-not-kept' && event.at < keptUntil)
    if (isLost) return 'its answer was not kept'
    const isAccepted = events.some(({ kind }) => kind === 'accepted')
    return isAccepted && answers.length === 0 ? 'it was accepted and never answered' : undefined
  })
}

/** Whether an answer is complete. Answers number their parts, so that a missing or repeated part is detected. */
function isWhole (key: string, body: string): boolean {
  if (!body.startsWith(`answer of ${key}:`) || !body.endsWith('.')) return false
  const [, parts] = body.slice(0, -1).split(', parts ')
  return parts === undefined || parts.split(' ').every((part, index) => part === String(index + 1))
}

/** The first and the last events; those between are mostly callers that retry every second. */
function evidenceOf (events: ClaimEvent[]): string[] {
  const shown = events.length <= SHOWN_EVENTS ? events : [...events.slice(0, SHOWN_EVENTS - 5), ...events.slice(-5)]
  return shown.map(event => JSON.stringify(event))
}

function breachesByKey (
  history: readonly ClaimEvent[], isChecked: (key: string) => boolean, check: (events: ClaimEvent[]) => string | undefined
): Violation[] {
  const keys = [...new Set(history.map(({ key }) => key))].filter(isChecked)
  return keys.flatMap(key => {
    const events = history.filter(event => event.key === key)
    const problem = check(events)
    return problem === undefined ? [] : [{ problem: `${key}: ${problem}`, evidence: evidenceOf(events) }]
  })
}
