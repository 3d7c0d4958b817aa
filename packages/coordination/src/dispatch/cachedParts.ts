/** Which prompt parts each replica is believed to hold, from what was sent to it and in the order of last use. */

/** A part of a prompt: parts that begin alike are shared between requests. */
export interface PromptPart {
  id: string
  tokens: number
}

interface ReplicaParts {
  /** Key to tokens; the least recently used come first. */
  parts: Map<string, number>
  tokens: number
}

/** Holds the beliefs. Keys of parts carry the salt, so a belief is only about one model, weight version and wall. */
export class CachedParts {
  private readonly _replicas = new Map<string, ReplicaParts>()

  /** Whether the replica holds a part. */
  holds (replicaId: string, salt: string, partId: string): boolean {
    return this._replicas.get(replicaId)?.parts.has(keyOf(salt, partId)) ?? false
  }

  /**
   * Parts of the prompt's beginning that the replica holds: a part counts only if all before it are held.
   * @param salt the namespace under which the parts are cached
   */
  heldParts (replicaId: string, salt: string, parts: readonly PromptPart[]): number {
    const held = this._replicas.get(replicaId)
    if (held === undefined) return 0
    const firstMissing = parts.findIndex(({ id }) => !held.parts.has(keyOf(salt, id)))
    return firstMissing < 0 ? parts.length : firstMissing
  }

  /** A prompt is computed on the replica, so that it holds its parts; what was used longest ago yields. */
  onSent (replicaId: string, salt: string, parts: readonly PromptPart[], capacityTokens: number): void {
    const held = this._replicas.get(replicaId) ?? { parts: new Map<string, number>(), tokens: 0 }
    for (const part of parts) {
      const key = keyOf(salt, part.id)
      if (held.parts.delete(key)) held.tokens -= part.tokens
      held.parts.set(key, part.tokens)
      held.tokens += part.tokens
    }
    for (const [key, tokens] of held.parts) {
      if (held.tokens <= capacityTokens) break
      held.parts.delete(key)
      held.tokens -= tokens
    }
    this._replicas.set(replicaId, held)
  }

  /** The replica restarted, took new weights or is gone: it holds nothing. */
  forget (replicaId: string): void {
    this._replicas.delete(replicaId)
  }
}

function keyOf (salt: string, partId: string): string {
  return `${salt}|${partId}`
}
