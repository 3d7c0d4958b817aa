import { ConfigurationInForceProof } from './configurationInForce.js'
import { MembershipProof } from './membership.js'
import { AtMostOnceProof, DurableWholeProof, NotRunProof } from './claims/index.js'
import { blockProofs } from './blocks/proofs.js'
import { LeavingProof } from './leaving.js'
import { OrdersProof } from './orders.js'
import { CrashingRequestProof } from './crashingRequest.js'
import type { Proof } from './proof.js'
import { RoleLeaseProof } from './roleLease.js'
import { WholeAnswerProof } from './wholeAnswer/wholeAnswer.js'

/** Every proof, in the order of the users' list of what must always hold. */
export const proofs: readonly Proof[] = [
  ...blockProofs(),
  new WholeAnswerProof(),
  new DurableWholeProof(),
  new NotRunProof(),
  new AtMostOnceProof(),
  new LeavingProof(),
  new OrdersProof(),
  new ConfigurationInForceProof(),
  new MembershipProof(),
  new RoleLeaseProof(),
  new CrashingRequestProof()
]

export { Proof, type ProofRun, type Violation } from './proof.js'
