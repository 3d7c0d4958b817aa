/** Estimates which prompt parts each replica caches, from the prompts sent to it. Parts are kept in the order of last use. */

/** A part of a prompt. Requests whose prompts begin with the same parts share the cached results of those parts. */
export interface PromptPart {
  id: string
  tokens: number
}

interface ReplicaCache {
  /** Tokens by part key, least recently used first. */
  parts: Map<string, number>
  tokens: number
}

/**
 * Estimated cache contents by replica. Keys of parts include the salt, so an entry is valid only for one model, weight version
 * and isolated workspace.
 */
export class CachedParts {
  private readonly _replicas = new Map<string, ReplicaCache>()

  /** Whether the replica is expected to hold a part. */
  holds (replicaId: string, salt: string, partId: string): boolean {
    return this._replicas.get(replicaId)?.parts.has(keyOf(salt, partId)) ?? false
  }

  /**
   * Returns the number of leading parts of the prompt that the replica is expected to hold, up to the first missing part.
   * @param salt namespace under which the parts are cached
   */
  heldPrefixLength (replicaId: string, salt: string, parts: readonly PromptPart[]): number {
    const held = this._replicas.get(replicaId)
    if (held === undefined) return 0
    const firstMissing = parts.findIndex(({ id }) => !held.parts.has(keyOf(salt, id)))
    return firstMissing < 0 ? parts.length : firstMissing
  }

  /** Records that a prompt was sent to the replica, which then caches its parts and evicts the least recently used ones. */
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

  /** Discards the state of a replica that restarted, loaded new weights or was removed, and so caches nothing. */
  forget (replicaId: string): void {
    this._replicas.delete(replicaId)
  }
}

function keyOf (salt: string, partId: string): string {
  return `${salt}|${partId}`
}
