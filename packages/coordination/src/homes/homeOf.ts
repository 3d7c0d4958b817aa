/** The home of a prompt: the one host of a data centre that is responsible for the prompt's routing state. */
import { contentDigest, firstByRendezvous } from '../common/index.js'
import type { Member } from '../membership/index.js'

/** The properties of a prompt that determine its home. */
export interface HomedPrompt {
  /** Affinity key: the same for prompts that share their first block, and never the same for two workspaces. */
  affinity: string
  model: string
  /** The data centre whose hosts are preferred. */
  dataCentre: string
}

/**
 * The affinity key of a prompt whose caller gave none.
 *
 * @param firstBlock text of the prompt's first block
 */
export function affinityOf (workspace: string, model: string, firstBlock: string): string {
  return contentDigest(JSON.stringify([workspace, model, firstBlock]))
}

/**
 * Returns the home of a prompt: the same host that callers are advised to use first for its affinity key. Undefined where
 * no live host has a known address.
 */
export function homeOf (members: readonly Member[], prompt: HomedPrompt): Member | undefined {
  const alive = members.filter(member => member.state === 'alive' && member.callerAddress !== '')
  const near = alive.filter(member => member.dataCentre === prompt.dataCentre)
  const candidates = near.length === 0 ? alive : near
  const host = firstByRendezvous(`${prompt.model}\n${prompt.affinity}`, candidates.map(member => member.host))
  return candidates.find(member => member.host === host)
}
