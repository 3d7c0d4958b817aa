/**
 * How long claims are kept. The wall clock decides nothing but this window. A claim is forgotten only the margin
 * after a key of its age is refused, so clocks that differ by less than half the margin cannot let a key run again.
 */
import type { Milliseconds } from '../common/index.js'
import type { ClaimLimits } from './claimLimits.js'

const TIMESTAMP_DIGITS = 12
const UUID_VERSION_7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** The wall-clock time inside a UUIDv7 key; `undefined` for any other key. */
export function keyTime (idempotencyKey: string): Milliseconds | undefined {
  if (!UUID_VERSION_7.test(idempotencyKey)) return undefined
  return Number.parseInt(idempotencyKey.replaceAll('-', '').slice(0, TIMESTAMP_DIGITS), 16)
}

/** Whether a key is outside the window. A key from the future would outlive its claim, so it is outside as well. */
export function isOutsideWindow (idempotencyKey: string, wall: Milliseconds, limits: ClaimLimits): boolean {
  const time = keyTime(idempotencyKey)
  if (time === undefined) return false
  return time < wall - limits.retentionWindow || time > wall + limits.windowMargin / 2
}

/** Whether every claim of a segment that was closed then may be forgotten. */
export function isForgettable (closedAt: Milliseconds, wall: Milliseconds, limits: ClaimLimits): boolean {
  return closedAt + limits.retentionWindow + limits.windowMargin < wall
}
