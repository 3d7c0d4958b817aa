import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  ClaimedAttempt, ClaimShard,
  type AttemptEffect, type AttemptMessage, type ClaimEffect, type ClaimMessage, type InstanceIdentity
} from '@wasabihead/coordination'
import type { Proof } from '../proof.js'
import { checkAtMostOnce, checkDurableWhole, checkNotRun, type ClaimEvent } from './claimHistory.js'
import { REAL_DECISION_FACTORIES, RUN_ANSWER_LIMITS, RUN_LIMITS, type ClaimDecisionFactories } from './claimRun.js'
import { AtMostOnceProof, DurableWholeProof, NotRunProof } from './index.js'

const RUNS = 6
const RUNS_OF_BROKEN_VARIANT = 60

const ran: ClaimEvent = { kind: 'ran', at: 1, key: 'a', call: 'call-1', host: 'entry-0' }
const refused: ClaimEvent = { kind: 'refused', at: 2, key: 'a', call: 'call-1', reason: 'not-sent', notRun: true }
const accepted: ClaimEvent = { kind: 'accepted', at: 0, key: 'a', call: 'call-1' }
const answeredBy = (body: string): ClaimEvent => ({ kind: 'answered', at: 3, key: 'a', call: 'call-1', answer: { status: 200, body } })
const every = (): boolean => true

const histories = [
  { title: 'two runs of one key', check: () => checkAtMostOnce([ran, { ...ran, at: 9 }], every), isBroken: true },
  { title: 'one run of each of two keys', check: () => checkAtMostOnce([ran, { ...ran, key: 'b' }], every), isBroken: false },
  { title: 'a run after "not run"', check: () => checkNotRun([refused, { ...ran, at: 9 }]), isBroken: true },
  { title: 'a hand-over of a key never accepted', check: () => checkNotRun([refused, { ...ran, call: 'call-9' }]), isBroken: true },
  { title: 'an unknown outcome that ran', check: () => checkNotRun([{ ...refused, notRun: 'unknown' }, ran]), isBroken: false },
  { title: 'an accepted request without answer', check: () => checkDurableWhole([accepted], every), isBroken: true },
  { title: 'a cut answer', check: () => checkDurableWhole([accepted, answeredBy('answer of a: r')], every), isBroken: true },
  {
    title: 'an answer without a part',
    check: () => checkDurableWhole([answeredBy('answer of a: run 1, parts 1 3.')], every),
    isBroken: true
  },
  {
    title: 'an answer not kept within its time',
    check: () => checkDurableWhole([accepted, { ...refused, reason: 'answer-not-kept' }, answeredBy('answer of a: run 1.')], every),
    isBroken: true
  },
  {
    title: 'two answers to one key',
    check: () => checkDurableWhole([answeredBy('answer of a: run 1.'), answeredBy('answer of a: run 2.')], every),
    isBroken: true
  },
  { title: 'a whole answer', check: () => checkDurableWhole([accepted, answeredBy('answer of a: run 1.')], every), isBroken: false }
]
for (const { title, check, isBroken } of histories) {
  test(`should judge a history with ${title} as ${isBroken ? 'broken' : 'whole'}`, () => {
    assert.is(check().length > 0, isBroken)
  })
}

/** Grants a claim before the head write has succeeded. */
class EarlyGrantingShard extends ClaimShard {
  override handle (message: ClaimMessage, now: number): ClaimEffect[] {
    const effects = super.handle(message, now)
    const isWriting = effects.some(({ kind }) => kind === 'write-head')
    if (message.kind !== 'claim' || !isWriting) return effects
    return [{ kind: 'reply', callId: message.callId, reply: { kind: 'granted' } }, ...effects]
  }
}

/** Treats each segment named in the head, missing or not, as empty. */
class MissingSegmentIgnoringShard extends ClaimShard {
  override handle (message: ClaimMessage, now: number): ClaimEffect[] {
    if (message.kind !== 'head-read' || message.head === undefined) return super.handle(message, now)
    return super.handle({ ...message, head: { ...message.head, segments: [] } }, now)
  }
}

/** Treats every claimed executor, and the first incarnation seen of every host, as live. */
class EveryExecutorLiveShard extends ClaimShard {
  private readonly _seen: InstanceIdentity[] = []

  override handle (message: ClaimMessage, now: number): ClaimEffect[] {
    if (message.kind === 'claim') this._seen.push(message.request.executor)
    if (message.kind !== 'tick') return super.handle(message, now)
    const claimed = this.claims.map(({ executor }) => executor)
    const everyone = [...this._seen, ...claimed]
    const isLater = (one: InstanceIdentity): boolean =>
      everyone.some(other => other.host === one.host && other.incarnation < one.incarnation)
    return super.handle({ ...message, live: [...everyone.filter(one => !isLater(one)), ...claimed] }, now)
  }
}

/** Reports a lost answer as "not sent". */
class LostAnswerAsNotSentAttempt extends ClaimedAttempt {
  override handle (message: AttemptMessage, now: number): AttemptEffect[] {
    const isLostAnswer = message.kind === 'call-ended' && message.end.kind === 'ambiguous'
    return super.handle(isLostAnswer ? { kind: 'call-ended', end: { kind: 'not-sent' } } : message, now)
  }
}

/** Sends the request when a report is recorded after the attempt has ended, also where the caller was refused with "not run". */
class LateSendingAttempt extends ClaimedAttempt {
  override handle (message: AttemptMessage, now: number): AttemptEffect[] {
    const effects = super.handle(message, now)
    const isLateGrant = message.kind === 'report-replied' && message.reply.kind === 'recorded' && effects.length > 0
    return isLateGrant && this.isEnded ? [{ kind: 'send' }, ...effects] : effects
  }
}

/** Reports an answer as stored before its chunks are written. */
class EarlyReportingAttempt extends ClaimedAttempt {
  override handle (message: AttemptMessage, now: number): AttemptEffect[] {
    const effects = super.handle(message, now)
    if (!effects.some(({ kind }) => kind === 'store-answer')) return effects
    return [...effects, ...super.handle({ kind: 'answer-stored', isWhole: true }, now)]
  }
}

/** Removes the chunks of an answer after an ambiguous report, which may still be recorded. */
class EarlyRemovingAttempt extends ClaimedAttempt {
  private _removal: AttemptEffect[] = []

  override handle (message: AttemptMessage, now: number): AttemptEffect[] {
    const effects = super.handle(message, now)
    const stored = effects.find(effect => effect.kind === 'store-answer')
    if (stored !== undefined) this._removal = [{ kind: 'remove-answer', storedAnswer: stored.storedAnswer }]
    const isUnsure = message.kind === 'report-replied' && message.reply.kind === 'ambiguous'
    return isUnsure ? [...this._removal, ...effects] : effects
  }
}

const shardWith = (Shard: typeof ClaimShard, limits = RUN_LIMITS): ClaimDecisionFactories =>
  ({ ...REAL_DECISION_FACTORIES, createShard: identity => new Shard(identity, limits) })
const attemptWith = (Attempt: typeof ClaimedAttempt): ClaimDecisionFactories =>
  ({ ...REAL_DECISION_FACTORIES, createAttempt: (request, rules) => new Attempt(request, rules, RUN_ANSWER_LIMITS) })

const broken: Array<{ title: string, proof: Proof }> = [
  { title: 'grants before its write has succeeded', proof: new AtMostOnceProof(shardWith(EarlyGrantingShard)) },
  { title: 'treats a missing segment as empty', proof: new AtMostOnceProof(shardWith(MissingSegmentIgnoringShard)) },
  {
    title: 'drops claims before their keys expire',
    proof: new AtMostOnceProof(shardWith(ClaimShard, { ...RUN_LIMITS, windowMargin: -RUN_LIMITS.retentionWindow }))
  },
  { title: 'releases after sending', proof: new AtMostOnceProof(attemptWith(LostAnswerAsNotSentAttempt)) },
  { title: 'reports a lost answer as not run', proof: new NotRunProof(attemptWith(LostAnswerAsNotSentAttempt)) },
  { title: 'sends after its refusal', proof: new NotRunProof(attemptWith(LateSendingAttempt)) },
  {
    title: 'stores no answer above the size of a record',
    proof: new DurableWholeProof({
      ...REAL_DECISION_FACTORIES,
      createAttempt: (request, rules) => new ClaimedAttempt(request, rules, { ...RUN_ANSWER_LIMITS, maximumChunks: 0 })
    })
  },
  { title: 'records an answer before its chunks are written', proof: new DurableWholeProof(attemptWith(EarlyReportingAttempt)) },
  { title: 'removes chunks that may still be recorded', proof: new DurableWholeProof(attemptWith(EarlyRemovingAttempt)) },
  { title: 'never hands durable work over', proof: new DurableWholeProof(shardWith(EveryExecutorLiveShard)) }
]
for (const { title, proof } of broken) {
  test(`should find the breach of ${proof.name} by a variant that ${title}`, () => {
    const seeds = Array.from({ length: RUNS_OF_BROKEN_VARIANT }, (_, index) => index + 1)
    assert.ok(seeds.some(seed => proof.run(seed).violations.length > 0))
  })
}

for (const proof of [new AtMostOnceProof(), new NotRunProof(), new DurableWholeProof()]) {
  test(`should keep the promise ${proof.name} in seeded runs`, () => {
    const runs = Array.from({ length: RUNS }, (_, index) => proof.run(index + 1))
    assert.equal(runs.flatMap(({ violations }) => violations), [])
    assert.ok(runs.every(({ counts }) => (counts.ran ?? 0) > 0))
  })
}

test.run()
