/** What a cached block is worth: the recompute time it saves times its chance of return, for each byte it takes. */
import { type Milliseconds } from '../common/index.js'

const FIRST_RETURN_CHANCE = 0.5
/** Weight of the first guess, in blocks, against what a workspace's own blocks show. */
const GUESS_WEIGHT = 20

interface BlockUses {
  workspace: string
  uses: number
}

interface WorkspaceReturns {
  firstUses: number
  returned: number
}

/** Counts the uses of blocks, bounded: the block least recently used is forgotten first. */
export class BlockValues {
  private readonly _blocks = new Map<string, BlockUses>()
  private readonly _workspaces = new Map<string, WorkspaceReturns>()

  /**
   * @param _maximumBlocks most blocks whose uses are kept
   * @param _maximumWorkspaces most workspaces whose share of returns is kept
   */
  constructor (private readonly _maximumBlocks: number, private readonly _maximumWorkspaces: number) {}

  /** Count of blocks whose uses are kept. */
  get size (): number {
    return this._blocks.size
  }

  /** Counts one use of each block. */
  onUsed (workspace: string, blockKeys: readonly string[]): void {
    const returns = this._returnsOf(workspace)
    for (const blockKey of blockKeys) {
      const uses = (this._blocks.get(blockKey)?.uses ?? 0) + 1
      if (uses === 1) returns.firstUses += 1
      if (uses === 2) returns.returned += 1
      this._blocks.delete(blockKey)
      this._blocks.set(blockKey, { workspace, uses })
    }
    forgetOldest(this._blocks, this._maximumBlocks)
  }

  /** Chance, from 0 to 1, that a block is used again. */
  chanceOfReturn (workspace: string, blockKey: string): number {
    const uses = this._blocks.get(blockKey)?.uses ?? 0
    if (uses > 1) return uses / (uses + 1)
    const { firstUses, returned } = this._workspaces.get(workspace) ?? { firstUses: 0, returned: 0 }
    return (returned + FIRST_RETURN_CHANCE * GUESS_WEIGHT) / (firstUses + GUESS_WEIGHT)
  }

  /** Expected milliseconds of recompute saved for each byte kept. */
  valueOf (workspace: string, blockKey: string, recomputeTime: Milliseconds, sizeBytes: number): number {
    return recomputeTime * this.chanceOfReturn(workspace, blockKey) / sizeBytes
  }

  private _returnsOf (workspace: string): WorkspaceReturns {
    const returns = this._workspaces.get(workspace) ?? { firstUses: 0, returned: 0 }
    this._workspaces.delete(workspace)
    this._workspaces.set(workspace, returns)
    forgetOldest(this._workspaces, this._maximumWorkspaces)
    return returns
  }
}

function forgetOldest (entries: Map<string, unknown>, maximum: number): void {
  while (entries.size > maximum) entries.delete(entries.keys().next().value as string)
}
