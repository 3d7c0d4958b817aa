/** Which prompts went to which replicas since the last heartbeat, to be told to the other instances. */
import type { PromptPart } from './cachedParts.js'

/** A prompt that a replica computes, and whose parts it then holds. */
export interface SentPrompt {
  replicaId: string
  /** Namespace of the cached parts. */
  salt: string
  parts: readonly PromptPart[]
}

/** Most prompts that wait to be told; the oldest go first. */
const MAXIMUM_WAITING = 100

/** Collects prompts between two heartbeats. */
export class SentPrompts {
  private _waiting: SentPrompt[] = []

  /** A prompt was sent. */
  add (sent: SentPrompt): void {
    this._waiting.push(sent)
    if (this._waiting.length > MAXIMUM_WAITING) this._waiting.shift()
  }

  /** The prompts since the last time. */
  take (): SentPrompt[] {
    const sent = this._waiting
    this._waiting = []
    return sent
  }
}
