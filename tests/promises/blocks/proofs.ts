/** The proofs about cache blocks: each block read is whole, of the same workspace, and of the same weight version. */
import { Proof, type ProofRun, type Violation } from '../proof.js'
import { findMixedVersions, findSharedBlocks, findWrongBlocks, type BlockRead } from './blockHistory.js'
import { BlockRun, correctVariant, type BlockRunVariant } from './blockRun.js'

const failures = [
  'blocks freed between look-up and read, their places given to blocks of the same length', 'exports that never commit',
  'replicas that restart empty under the same address', 'late events of old incarnations', 'weight swaps under running requests'
]

/** A proof over the runs of blocks. The proofs share these runs and differ in their check. */
export class BlockProof extends Proof {
  override readonly failures = failures

  constructor (
    override readonly name: string,
    override readonly promise: string,
    private readonly _check: (history: readonly BlockRead[]) => Violation[],
    private readonly _variant: BlockRunVariant = correctVariant
  ) {
    super()
  }

  override run (seed: number): ProofRun {
    const { history, counts } = new BlockRun(seed, this._variant).run()
    return { counts: { ...counts, reads: history.length }, violations: this._check(history) }
  }
}

/** Creates the proofs about blocks, all over one variant of the run. */
export function blockProofs (variant: BlockRunVariant = correctVariant): BlockProof[] {
  return [
    new BlockProof('blocks', 'No request ever reads a block that has been freed or is only partly written',
      findWrongBlocks, variant),
    new BlockProof('workspaces-apart', 'The cache of each workspace stays apart from every other workspace\'s',
      findSharedBlocks, variant),
    new BlockProof('weight-versions', 'A new request never uses blocks from another weight version',
      findMixedVersions, variant)
  ]
}
