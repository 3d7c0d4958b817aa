/**
 * How long claims are retained. The wall clock decides only this, and when an operator may resolve a claim as not run. A claim is
 * dropped only when the margin has passed since keys of its age are refused, so a key cannot run again while wall clocks differ
 * by less than half the margin.
 */
import type { Milliseconds } from '../common/index.js'
import type { ClaimLimits } from './claimLimits.js'

const TIMESTAMP_DIGITS = 12
const UUID_VERSION_7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** The wall-clock time encoded in a UUIDv7 key; `undefined` for any other key. */
export function keyTime (idempotencyKey: string): Milliseconds | undefined {
  if (!UUID_VERSION_7.test(idempotencyKey)) return undefined
  return Number.parseInt(idempotencyKey.replaceAll('-', '').slice(0, TIMESTAMP_DIGITS), 16)
}

/** Whether a key is outside the window. A key from the future is, too: it would still be accepted after its claim is dropped. */
export function isOutsideWindow (idempotencyKey: string, wall: Milliseconds, limits: ClaimLimits): boolean {
  const time = keyTime(idempotencyKey)
  if (time === undefined) return false
  return time < wall - limits.retentionWindow || time > wall + limits.windowMargin / 2
}

/** Whether a claim recorded then, or every claim of a segment closed then, may be dropped. */
export function isPastRetention (closedAt: Milliseconds, wall: Milliseconds, limits: ClaimLimits): boolean {
  return closedAt + limits.retentionWindow + limits.windowMargin < wall
}
