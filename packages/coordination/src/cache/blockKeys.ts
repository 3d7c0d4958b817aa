/**
 * Block keys: a keyed hash chain over a prompt's whole blocks. Workspace secret, model, weight version and adapter
 * enter the first link, so nothing can be found across workspaces or versions by construction.
 */
import { createHmac } from 'node:crypto'

/** Bytes of prompt text that count as one token where no tokenizer is at hand. */
export const BYTES_PER_TOKEN = 4

/** Everything that separates one prompt's blocks from another's. */
export interface BlockScope {
  /** Known to the system alone, never logged. */
  workspaceSecret: string
  workspace: string
  model: string
  weightVersion: string
  adapter: string
  /** Prompt tokens in one block. */
  blockTokens: number
}

/** Count of tokens that a prompt is taken to have. */
export function estimateTokens (prompt: string): number {
  return Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN)
}

/** The keys of the prompt's whole blocks in order; a last, partial block has none. */
export function blockKeysOf (scope: BlockScope, prompt: string): string[] {
  const bytes = Buffer.from(prompt)
  const blockBytes = scope.blockTokens * BYTES_PER_TOKEN
  const keys: string[] = []
  let previous = linkDigest(scope.workspaceSecret, firstLink(scope))
  for (let end = blockBytes; end <= bytes.length; end += blockBytes) {
    previous = linkDigest(scope.workspaceSecret, previous, bytes.subarray(end - blockBytes, end))
    keys.push(previous)
  }
  return keys
}

function firstLink (scope: BlockScope): string {
  return JSON.stringify([scope.workspace, scope.model, scope.weightVersion, scope.adapter, scope.blockTokens])
}

function linkDigest (secret: string, previous: string, block: Uint8Array = Buffer.alloc(0)): string {
  return createHmac('sha256', secret).update(previous).update(block).digest('hex').slice(0, 32)
}
