import { blockProofs } from './blocks/proofs.js'
import { OrdersProof } from './orders.js'
import type { Proof } from './proof.js'

/** Every proof, in the order of the users' list of what must always hold. */
export const proofs: readonly Proof[] = [
  ...blockProofs(),
  new OrdersProof()
]

export { Proof, type ProofRun, type Violation } from './proof.js'
