/** The routing state of the prompts of a home: which replicas their blocks were placed on, and when. */
import type { Milliseconds } from '../common/index.js'

/** The most first blocks whose placements are retained. */
const MAXIMUM_FIRST_BLOCKS = 8_000
/** The most placements retained for one first block; all prompts that begin with the block share them. */
const MAXIMUM_PLACEMENTS = 8
/** The most blocks retained of one placement. */
const MAXIMUM_BLOCKS = 64
/** Characters of a block key that homes compare; a false match costs no more than recomputing the block. */
const SHORT_KEY_LENGTH = 16

/** A prompt's blocks and the replica that they were placed on. */
export interface PromptPlacement {
  /** Shortened keys of the prompt's blocks, from the first on. */
  blockKeys: readonly string[]
  replica: string
  /** Incarnation of the replica at that time. */
  incarnation: number
}

/** A replica on which the first blocks of a prompt were placed. */
export interface ReplicaHint {
  replica: string
  incarnation: number
  /** Number of the prompt's blocks, from the first on, that were placed on the replica. */
  blockCount: number
  /** Time since the last placement of these blocks there. */
  age: Milliseconds
}

interface TimedPlacement extends PromptPlacement {
  placedAt: Milliseconds
}

/** The block keys as homes store and exchange them: the first blocks only, each key shortened. */
export function shortBlockKeys (blockKeys: readonly string[]): string[] {
  return blockKeys.slice(0, MAXIMUM_BLOCKS).map(blockKey => blockKey.slice(0, SHORT_KEY_LENGTH))
}

/** The placements of the prompts of this home, by their first block; the least recently used first blocks are evicted. */
export class HomeDirectory {
  private readonly _placements = new Map<string, TimedPlacement[]>()

  /** @param _maximumFirstBlocks the most first blocks whose placements are retained */
  constructor (private readonly _maximumFirstBlocks = MAXIMUM_FIRST_BLOCKS) {}

  /** Number of first blocks whose placements are retained. */
  get size (): number {
    return this._placements.size
  }

  /** Records a placement. It replaces those on the same replica whose blocks it includes; one without blocks is ignored. */
  record (placement: PromptPlacement, now: Milliseconds): void {
    const blockKeys = shortBlockKeys(placement.blockKeys)
    const firstKey = blockKeys[0]
    if (firstKey === undefined) return
    const others = (this._placements.get(firstKey) ?? []).filter(known => !isRepeated(known, placement.replica, blockKeys))
    const { replica, incarnation } = placement
    this._setMostRecent(firstKey, [{ replica, incarnation, blockKeys, placedAt: now }, ...others].slice(0, MAXIMUM_PLACEMENTS))
  }

  /** Finds the replicas on which the first blocks of a prompt were placed: most blocks first, then the most recent. */
  findReplicas (givenKeys: readonly string[], now: Milliseconds): ReplicaHint[] {
    const blockKeys = shortBlockKeys(givenKeys)
    const firstKey = blockKeys[0]
    const placements = firstKey === undefined ? undefined : this._placements.get(firstKey)
    if (firstKey === undefined || placements === undefined) return []
    this._setMostRecent(firstKey, placements)
    const hints = new Map<string, ReplicaHint>()
    for (const placement of placements) {
      const hint = toHint(placement, blockKeys, now)
      const known = hints.get(hint.replica)
      if (known === undefined || isBetter(hint, known)) hints.set(hint.replica, hint)
    }
    return [...hints.values()].sort((left, right) => right.blockCount - left.blockCount || left.age - right.age)
  }

  private _setMostRecent (firstKey: string, placements: TimedPlacement[]): void {
    this._placements.delete(firstKey)
    this._placements.set(firstKey, placements)
    if (this._placements.size <= this._maximumFirstBlocks) return
    this._placements.delete(this._placements.keys().next().value as string)
  }
}

/** Each key depends on the ones before it, so that equal keys at a position mean equal blocks up to it. */
function countSharedBlocks (left: readonly string[], right: readonly string[]): number {
  let count = Math.min(left.length, right.length)
  while (count > 0 && left[count - 1] !== right[count - 1]) count -= 1
  return count
}

/** Whether a new placement on the replica includes all blocks of a known one there. */
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
