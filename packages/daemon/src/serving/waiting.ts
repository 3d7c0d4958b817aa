/** Delays on the event loop. */
import type { Milliseconds } from '@wasabihead/coordination'

/** Resolves after the duration; cannot be cancelled. */
export async function waitFor (duration: Milliseconds): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, duration) })
}
