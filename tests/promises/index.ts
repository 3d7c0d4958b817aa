import { OrdersProof } from './orders.js'
import type { Proof } from './proof.js'
import { WholeAnswerProof } from './wholeAnswer/wholeAnswer.js'

/** Every proof, in the order of the users' list of what must always hold. */
export const proofs: readonly Proof[] = [
  new WholeAnswerProof(),
  new OrdersProof()
]

export { Proof, type ProofRun, type Violation } from './proof.js'
