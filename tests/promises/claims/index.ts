/** The proofs about claimed requests. */
import { Proof, type ProofRun } from '../proof.js'
import { checkAtMostOnce, checkDurableWhole, checkNotRun, type ClaimEvent } from './claimHistory.js'
import { ClaimRun, isAtMostOnceKey, REAL_DECISION_FACTORIES, RUN_LIMITS, type ClaimDecisionFactories } from './claimRun.js'

const FAILURES = [
  'instances killed and restarted', 'freezes between a decision and its effect', 'wrong beliefs about the owner and the members',
  'messages lost and late', 'answers in chunks whose writes and reads fail half way', 'key-value outages, lost answers, writes that land late', 'service calls lost and unanswered',
  'the same key at two hosts at once and after the window', 'wall clocks that differ', 'operators resolving claims'
]

abstract class ClaimProof extends Proof {
  override readonly failures = FAILURES

  /** @param _parts creates the decision code to run; only the specs pass a broken variant */
  constructor (private readonly _parts: ClaimDecisionFactories = REAL_DECISION_FACTORIES) {
    super()
  }

  override run (seed: number): ProofRun {
    const { history, counts } = new ClaimRun(seed, this._parts).run()
    return { counts: { ...counts, ...countKinds(history) }, violations: this.check(history) }
  }

  /** Checks one history against the promise. */
  abstract check (history: readonly ClaimEvent[]): ProofRun['violations']
}

/** A non-idempotent request runs at most once. */
export class AtMostOnceProof extends ClaimProof {
  override readonly name = 'at-most-once'
  override readonly promise = 'A request marked non-idempotent runs at most once'

  override check (history: readonly ClaimEvent[]): ProofRun['violations'] {
    return checkAtMostOnce(history, isAtMostOnceKey)
  }
}

/** A request refused as "not run" did not run and never will. */
export class NotRunProof extends ClaimProof {
  override readonly name = 'not-run'
  override readonly promise = 'When a refusal says "not run", the request did not run and never will'

  override check (history: readonly ClaimEvent[]): ProofRun['violations'] {
    return checkNotRun(history)
  }
}

/** Each accepted durable request gets its whole answer. */
export class DurableWholeProof extends ClaimProof {
  override readonly name = 'durable-whole'
  override readonly promise = 'An accepted durable request gets its whole answer in the end, and everyone gets the same'

  override check (history: readonly ClaimEvent[]): ProofRun['violations'] {
    return checkDurableWhole(history, key => !isAtMostOnceKey(key), RUN_LIMITS.retentionWindow)
  }
}

function countKinds (history: readonly ClaimEvent[]): Record<string, number> {
  const notRun = history.filter(event => event.kind === 'refused' && event.notRun === true).length
  const answered = history.filter(({ kind }) => kind === 'answered').length
  const handedOver = history.filter(({ call }) => call.startsWith('handed over')).length
  return { notRun, answered, handedOver }
}
