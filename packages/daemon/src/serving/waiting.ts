/** Waiting in the daemon's loop. */
import type { Milliseconds } from '@wasabihead/coordination'

/** Resolves after a duration. */
export async function waitFor (duration: Milliseconds): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, duration) })
}
