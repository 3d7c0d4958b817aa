/** The value of a cached block: the recompute time that it saves, times its probability of reuse, per byte. */
import { type Milliseconds } from '../common/index.js'

/** Reuse probability of a block in a workspace without history. */
const PRIOR_REUSE_PROBABILITY = 0.5
/** Weight of the prior, in blocks, against the observed reuse of a workspace's blocks. */
const PRIOR_WEIGHT = 20

interface BlockUses {
  workspace: string
  uses: number
}

interface WorkspaceReuse {
  /** Blocks used at least once. */
  usedBlocks: number
  /** Blocks used at least twice. */
  reusedBlocks: number
}

/** Counts the uses of blocks in bounded memory: the least recently used entries are evicted first. */
export class BlockValues {
  private readonly _blocks = new Map<string, BlockUses>()
  private readonly _workspaces = new Map<string, WorkspaceReuse>()

  /**
   * @param _maximumBlocks maximum number of blocks whose uses are retained
   * @param _maximumWorkspaces maximum number of workspaces whose reuse counts are retained
   */
  constructor (private readonly _maximumBlocks: number, private readonly _maximumWorkspaces: number) {}

  /** Number of blocks whose uses are retained. */
  get size (): number {
    return this._blocks.size
  }

  /** Records one use of each block. */
  onUsed (workspace: string, blockKeys: readonly string[]): void {
    const reuse = this._reuseOf(workspace)
    for (const blockKey of blockKeys) {
      const uses = (this._blocks.get(blockKey)?.uses ?? 0) + 1
      if (uses === 1) reuse.usedBlocks += 1
      if (uses === 2) reuse.reusedBlocks += 1
      this._blocks.delete(blockKey)
      this._blocks.set(blockKey, { workspace, uses })
    }
    evictOldest(this._blocks, this._maximumBlocks)
  }

  /** Probability, from 0 to 1, that a block is used again: from its own uses if it was reused, else from its workspace. */
  reuseProbability (workspace: string, blockKey: string): number {
    const uses = this._blocks.get(blockKey)?.uses ?? 0
    if (uses > 1) return uses / (uses + 1)
    const { usedBlocks, reusedBlocks } = this._workspaces.get(workspace) ?? { usedBlocks: 0, reusedBlocks: 0 }
    return (reusedBlocks + PRIOR_REUSE_PROBABILITY * PRIOR_WEIGHT) / (usedBlocks + PRIOR_WEIGHT)
  }

  /** Expected milliseconds of recompute time saved per byte stored. */
  valueOf (workspace: string, blockKey: string, recomputeTime: Milliseconds, sizeBytes: number): number {
    return recomputeTime * this.reuseProbability(workspace, blockKey) / sizeBytes
  }

  private _reuseOf (workspace: string): WorkspaceReuse {
    const reuse = this._workspaces.get(workspace) ?? { usedBlocks: 0, reusedBlocks: 0 }
    this._workspaces.delete(workspace)
    this._workspaces.set(workspace, reuse)
    evictOldest(this._workspaces, this._maximumWorkspaces)
    return reuse
  }
}

function evictOldest (entries: Map<string, unknown>, maximum: number): void {
  while (entries.size > maximum) entries.delete(entries.keys().next().value as string)
}
