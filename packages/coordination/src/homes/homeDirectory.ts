/** The routing state that a home keeps of its prompts: which replicas were given their blocks, and when. */
import type { Milliseconds } from '../common/index.js'

/** Most first blocks of which placements are kept. */
const MAXIMUM_FIRST_BLOCKS = 8_000
/** Most placements kept for one first block; prompts that share a long beginning share it. */
const MAXIMUM_PLACEMENTS = 8
/** Most blocks kept of one placement. */
const MAXIMUM_BLOCKS = 64
/** Characters of a block key that tell the blocks of one home apart; a mistaken match costs a recompute, no more. */
const SHORT_KEY_LENGTH = 16

/** A prompt's blocks given to a replica. */
export interface PromptPlacement {
  /** Shortened keys of the prompt's blocks, from the first on. */
  blockKeys: readonly string[]
  replica: string
  /** Incarnation of the replica that was given the blocks. */
  incarnation: number
}

/** A replica that was given the first blocks of a prompt. */
export interface ReplicaHint {
  replica: string
  incarnation: number
  blockCount: number
  /** Time since the last placement of these blocks there. */
  age: Milliseconds
}

interface TimedPlacement extends PromptPlacement {
  placedAt: Milliseconds
}

/** The block keys as homes keep and exchange them. */
export function shortBlockKeys (blockKeys: readonly string[]): string[] {
  return blockKeys.slice(0, MAXIMUM_BLOCKS).map(blockKey => blockKey.slice(0, SHORT_KEY_LENGTH))
}

/** Keeps the placements of homed prompts; the first blocks used least lately are dropped first. */
export class HomeDirectory {
  private readonly _placements = new Map<string, TimedPlacement[]>()

  /** @param _maximumFirstBlocks most first blocks of which placements are kept */
  constructor (private readonly _maximumFirstBlocks = MAXIMUM_FIRST_BLOCKS) {}

  /** Count of first blocks of which placements are kept. */
  get size (): number {
    return this._placements.size
  }

  /** Remembers a placement; the same blocks on the same replica are remembered once. */
  tell (placement: PromptPlacement, now: Milliseconds): void {
    const blockKeys = shortBlockKeys(placement.blockKeys)
    const firstKey = blockKeys[0]
    if (firstKey === undefined) return
    const others = (this._placements.get(firstKey) ?? []).filter(known => !isRepeated(known, placement.replica, blockKeys))
    const { replica, incarnation } = placement
    this._keep(firstKey, [{ replica, incarnation, blockKeys, placedAt: now }, ...others].slice(0, MAXIMUM_PLACEMENTS))
  }

  /** The replicas that were given the first blocks of a prompt: most blocks first, then the latest. */
  ask (givenKeys: readonly string[], now: Milliseconds): ReplicaHint[] {
    const blockKeys = shortBlockKeys(givenKeys)
    const firstKey = blockKeys[0]
    const placements = firstKey === undefined ? undefined : this._placements.get(firstKey)
    if (firstKey === undefined || placements === undefined) return []
    this._keep(firstKey, placements)
    const hints = new Map<string, ReplicaHint>()
    for (const placement of placements) {
      const hint = toHint(placement, blockKeys, now)
      const known = hints.get(hint.replica)
      if (known === undefined || isBetter(hint, known)) hints.set(hint.replica, hint)
    }
    return [...hints.values()].sort((left, right) => right.blockCount - left.blockCount || left.age - right.age)
  }

  private _keep (firstKey: string, placements: TimedPlacement[]): void {
    this._placements.delete(firstKey)
    this._placements.set(firstKey, placements)
    if (this._placements.size <= this._maximumFirstBlocks) return
    this._placements.delete(this._placements.keys().next().value as string)
  }
}

/** Keys are chained, so equal keys at one position mean equal blocks up to it. */
function countSharedBlocks (left: readonly string[], right: readonly string[]): number {
  let count = Math.min(left.length, right.length)
  while (count > 0 && left[count - 1] !== right[count - 1]) count -= 1
  return count
}

/** Whether a placement on the replica says nothing that the new one does not. */
function isRepeated (known: TimedPlacement, replica: string, blockKeys: readonly string[]): boolean {
  return known.replica === replica && countSharedBlocks(known.blockKeys, blockKeys) === known.blockKeys.length
}

/** A later incarnation has lost the blocks of an earlier one. */
function isBetter (hint: ReplicaHint, known: ReplicaHint): boolean {
  if (hint.incarnation !== known.incarnation) return hint.incarnation > known.incarnation
  return hint.blockCount > known.blockCount
}

function toHint (placement: TimedPlacement, blockKeys: readonly string[], now: Milliseconds): ReplicaHint {
  return {
    replica: placement.replica,
    incarnation: placement.incarnation,
    blockCount: countSharedBlocks(placement.blockKeys, blockKeys),
    age: Math.max(0, now - placement.placedAt)
  }
}
