/**
 * Block keys: a keyed hash chain over a prompt's whole blocks. Workspace, model, weight version and adapter enter the
 * first digest, and the workspace's secret is the hash key, so keys never match across workspaces or versions.
 */
import { createHmac } from 'node:crypto'

/** Bytes of prompt text that count as one token where no tokenizer is available. */
export const BYTES_PER_TOKEN = 4

/** What a block key depends on besides the prompt: equal text under another scope has other keys. */
export interface BlockScope {
  /** Must not leave the system or be logged. */
  workspaceSecret: string
  workspace: string
  model: string
  weightVersion: string
  adapter: string
  /** Prompt tokens in one block. */
  blockTokens: number
}

/** Estimated number of tokens in a prompt. */
export function estimateTokens (prompt: string): number {
  return Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN)
}

/** The keys of the prompt's whole blocks, in order; a partial last block has no key. */
export function blockKeysOf (scope: BlockScope, prompt: string): string[] {
  const bytes = Buffer.from(prompt)
  const blockBytes = scope.blockTokens * BYTES_PER_TOKEN
  const keys: string[] = []
  let previous = chainDigest(scope.workspaceSecret, serializeScope(scope))
  for (let end = blockBytes; end <= bytes.length; end += blockBytes) {
    previous = chainDigest(scope.workspaceSecret, previous, bytes.subarray(end - blockBytes, end))
    keys.push(previous)
  }
  return keys
}

function serializeScope (scope: BlockScope): string {
  return JSON.stringify([scope.workspace, scope.model, scope.weightVersion, scope.adapter, scope.blockTokens])
}

function chainDigest (secret: string, previous: string, block: Uint8Array = Buffer.alloc(0)): string {
  return createHmac('sha256', secret).update(previous).update(block).digest('hex').slice(0, 32)
}
