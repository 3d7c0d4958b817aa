/** Collects the prompts sent to replicas since the last heartbeat, to be reported to the other instances. */
import type { PromptPart } from './cachedParts.js'

/** A prompt that was sent to a replica, which then caches its parts. */
export interface SentPrompt {
  replicaId: string
  /** Namespace of the cached parts. */
  salt: string
  parts: readonly PromptPart[]
}

/** Maximum number of prompts waiting to be reported; the oldest are dropped first. */
const MAXIMUM_PENDING = 100

/** Prompts that have not been reported yet. */
export class SentPrompts {
  private _pending: SentPrompt[] = []

  add (sent: SentPrompt): void {
    this._pending.push(sent)
    if (this._pending.length > MAXIMUM_PENDING) this._pending.shift()
  }

  /** Returns the prompts added since the last call, and removes them. */
  take (): SentPrompt[] {
    const sent = this._pending
    this._pending = []
    return sent
  }
}
