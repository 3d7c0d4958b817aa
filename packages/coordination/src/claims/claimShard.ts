/**
 * One shard of the claim log: the log's head is one key, changed by compare-and-swap on its revision.
 * Safety comes from the compare-and-swap alone; a deposed owner's next write fails, and it then knows.
 */
import type { InstanceIdentity, Milliseconds } from '../common/index.js'
import { AttemptAudit } from './attemptAudit.js'
import { claimId, decideClaim, decideReport, decideResolution, type ClaimDecision } from './claimDecisions.js'
import { CLAIM_LIMITS, type ClaimLimits } from './claimLimits.js'
import { ClaimStore, headContents, valueBytes, type ClosedSegment, type SegmentPlan } from './claimStore.js'
import { ExecutorWatch } from './executorWatch.js'
import type { Claim, ClaimCall, ClaimEffect, ClaimMessage, ClaimReply, ClaimRequest, ShardHead } from './messages.js'
import { isOutsideWindow, keyTime } from './retention.js'
import { SegmentLoader } from './segmentLoader.js'
import { WritePacer } from './writePacer.js'

const RETRY_AFTER: Milliseconds = 1_000
const AMBIGUOUS: ClaimReply = { kind: 'ambiguous', retryAfter: RETRY_AFTER }
const OVERLOADED_RETRY_AFTER: Milliseconds = 5_000
/** An owner that was deposed leaves the shard alone for this long, so that differing beliefs do not flap. */
const TAKEOVER_HOLD: Milliseconds = 3_000
/** A gap between messages above this means that the process was paused; ticks come about once a second. */
const PAUSE_GAP: Milliseconds = 5_000
const HAND_OVERS_PER_WRITE = 16

interface PendingReply {
  callId: number
  reply: ClaimReply
}

interface WriteInFlight {
  head: ShardHead
  expectedRevision: number
  replies: PendingReply[]
  open: Claim[]
  segments: readonly ClosedSegment[]
  /** The closing of which this write is the last step. */
  plan?: SegmentPlan
  /** What to perform once the write is won. */
  afterwards: ClaimEffect[]
}

/** Decides for one shard. Feed it messages; perform the effects it returns, in order. */
export class ClaimShard {
  private _phase: 'follower' | 'reading' | 'confirming' | 'owner' = 'follower'
  private _epoch = 0
  private _revision = 0
  private _writeCount = 0
  private _lastToken = ''
  private _lastMessageAt: Milliseconds | undefined
  private _heldUntil: Milliseconds = 0
  private _unavailableUntil: Milliseconds = 0
  private _wall: Milliseconds | undefined
  private _isWakeAsked = false
  private _waiting: ClaimCall[] = []
  private _loader: SegmentLoader | undefined
  private _closing: SegmentPlan | undefined
  private _inFlight: WriteInFlight | undefined
  private readonly _store: ClaimStore
  private readonly _audit = new AttemptAudit()
  private readonly _denied = new Set<string>()
  private readonly _executors = new ExecutorWatch()
  private readonly _pacer = new WritePacer()

  /**
   * @param _self the instance that drives this shard
   * @param _limits sizes and times; the same in all instances of an environment
   */
  constructor (private readonly _self: InstanceIdentity, private readonly _limits: ClaimLimits = CLAIM_LIMITS) {
    this._store = new ClaimStore(_limits)
  }

  /** Whether this instance believes that it owns the shard. */
  get isOwner (): boolean {
    return this._phase === 'owner'
  }

  /** The claims as last known to be recorded. */
  get claims (): readonly Claim[] {
    return this._store.claims
  }

  /** Handles one message. */
  handle (message: ClaimMessage, now: Milliseconds): ClaimEffect[] {
    const staleEffects = this._noticePause(now)
    return [...staleEffects, ...this._dispatch(message, now)]
  }

  private _dispatch (message: ClaimMessage, now: Milliseconds): ClaimEffect[] {
    switch (message.kind) {
      case 'take-over': return this._takeOver(now)
      case 'tick': return this._tick(message.live, message.wall, now)
      case 'attempt-denied':
        if (this._phase === 'owner') this._denied.add(message.attemptToken)
        return this._flush(now)
      case 'wake':
        this._isWakeAsked = false
        return this._flush(now)
      case 'head-read': return this._onHeadRead(message.head, message.revision, now)
      case 'head-read-failed': return this._abandon(now)
      case 'head-written': return this._onHeadWritten(message.revision, now)
      case 'head-write-lost': return this._onHeadWriteLost(now)
      case 'head-write-ambiguous': return [{ kind: 'read-head' }]
      case 'segment-read': return this._onSegmentRead(message.name, message.text, now)
      case 'segment-read-failed': return this._loader?.isWaitingFor(message.name) === true ? this._abandon(now) : []
      case 'segment-written': return this._onSegmentWritten(message.name, now)
      case 'segment-write-failed': return this._onSegmentWriteFailed(message.name, now)
      default: return this._enqueue(message, now)
    }
  }

  /** After a pause, ownership is only a belief until the head is read again. */
  private _noticePause (now: Milliseconds): ClaimEffect[] {
    const gap = now - (this._lastMessageAt ?? now)
    this._lastMessageAt = now
    if (gap <= PAUSE_GAP) return []
    this._executors.reset()
    if (this._phase !== 'owner' || this._inFlight !== undefined || this._closing !== undefined) return []
    this._phase = 'confirming'
    return [{ kind: 'read-head' }]
  }

  private _takeOver (now: Milliseconds): ClaimEffect[] {
    if (this._phase !== 'follower' || now < this._heldUntil || now < this._unavailableUntil) return []
    this._phase = 'reading'
    return [{ kind: 'read-head' }]
  }

  private _tick (live: readonly InstanceIdentity[], wall: Milliseconds, now: Milliseconds): ClaimEffect[] {
    this._wall = wall
    if (this._phase !== 'owner') return []
    const claimed = this._store.open.filter(claim => claim.state === 'claimed')
    this._executors.update(live, claimed.map(claim => claim.executor), now)
    const questions = this._audit.due(claimed, now).map((claim): ClaimEffect => ({ kind: 'ask-executor', claim }))
    return [...questions, ...this._flush(now)]
  }

  private _enqueue (call: ClaimCall, now: Milliseconds): ClaimEffect[] {
    if (this._phase === 'follower') {
      const reply: ClaimReply = now < this._unavailableUntil
        ? { kind: 'unavailable', retryAfter: this._unavailableUntil - now }
        : { kind: 'not-owner' }
      return [{ kind: 'reply', callId: call.callId, reply }]
    }
    this._waiting.push(call)
    return this._flush(now)
  }

  private _onHeadRead (head: ShardHead | undefined, revision: number, now: Milliseconds): ClaimEffect[] {
    if (this._inFlight !== undefined) return this._settleAmbiguousWrite(head, revision, now)
    if (this._phase === 'confirming') return this._confirm(head, revision, now)
    if (this._phase !== 'reading') return []
    if (this._loader !== undefined && this._loader.revision === revision) return this._abandon(now)
    this._loader = new SegmentLoader(head, revision)
    return this._loadOrTakeOver(now)
  }

  private _confirm (head: ShardHead | undefined, revision: number, now: Milliseconds): ClaimEffect[] {
    if (head?.writerToken !== this._lastToken || revision !== this._revision) return this._onHeadWriteLost(now)
    this._phase = 'owner'
    return this._flush(now)
  }

  private _onSegmentRead (name: string, text: string | undefined, now: Milliseconds): ClaimEffect[] {
    if (this._loader?.isWaitingFor(name) !== true) return []
    // Another owner may have dropped the segment since; a head that still names it cannot be understood.
    if (!this._loader.accept(name, text)) return [{ kind: 'read-head' }]
    return this._loadOrTakeOver(now)
  }

  private _loadOrTakeOver (now: Milliseconds): ClaimEffect[] {
    const loader = this._loader as SegmentLoader
    if (!loader.isComplete) return loader.nextReads()
    this._loader = undefined
    this._store.load(loader.head?.claims ?? [], loader.segments)
    this._revision = loader.revision
    this._epoch = (loader.head?.epoch ?? 0) + 1
    this._phase = 'owner'
    return this._write({ open: this._store.open, segments: this._store.segments }, now)
  }

  /** Only a write that wins on the same revision, or our own token read back, settles an ambiguous write. */
  private _settleAmbiguousWrite (head: ShardHead | undefined, revision: number, now: Milliseconds): ClaimEffect[] {
    const write = this._inFlight as WriteInFlight
    if (head?.writerToken === write.head.writerToken) return this._onHeadWritten(revision, now)
    if (revision === write.expectedRevision) {
      return [{ kind: 'write-head', head: write.head, expectedRevision: write.expectedRevision }]
    }
    // Our write may have been won and followed by another owner's: what it recorded stays recorded.
    return this._onHeadWriteLost(now, AMBIGUOUS)
  }

  private _flush (now: Milliseconds): ClaimEffect[] {
    if (this._phase !== 'owner' || this._inFlight !== undefined || this._closing !== undefined) return []
    const delay = this._pacer.delayAt(now)
    if (delay > 0) return this._askToWake(delay)
    if (this._store.isCloseDue && this._wall !== undefined) return this._close(this._wall, now)
    return this._decideWaiting(now)
  }

  private _askToWake (delay: Milliseconds): ClaimEffect[] {
    if (this._isWakeAsked || this._waiting.length === 0) return []
    this._isWakeAsked = true
    return [{ kind: 'wake-after', delay }]
  }

  private _close (wall: Milliseconds, now: Milliseconds): ClaimEffect[] {
    this._pacer.take(now)
    this._closing = this._store.planClose(this._nextToken().replaceAll('/', '.'), wall)
    return [{ kind: 'write-segment', name: this._closing.segment.name.name, text: this._closing.text }]
  }

  private _onSegmentWritten (name: string, now: Milliseconds): ClaimEffect[] {
    const plan = this._closing
    if (plan?.segment.name.name !== name) return []
    this._closing = undefined
    const segments = plan.dropped.map((dropped): ClaimEffect => ({ kind: 'remove-segment', name: dropped }))
    const answers = plan.droppedAnswers.map((storedAnswer): ClaimEffect => ({ kind: 'remove-answer', storedAnswer }))
    const afterwards = [...segments, ...answers]
    this._pacer.take(now, segments.length + plan.droppedAnswers.reduce((sum, { chunkCount }) => sum + chunkCount, 0))
    return this._write({ open: plan.open, segments: plan.segments, plan, afterwards }, now)
  }

  /** The next try takes another name, so that a write that lands late is named by no head. */
  private _onSegmentWriteFailed (name: string, now: Milliseconds): ClaimEffect[] {
    if (this._closing?.segment.name.name !== name) return []
    this._closing = undefined
    return this._abandon(now)
  }

  private _decideWaiting (now: Milliseconds): ClaimEffect[] {
    const calls = this._takeBatch()
    const changed = new Map<string, Claim>()
    const afterwards = this._settleOrphans(changed, now)
    const replies = calls.map(call => ({ callId: call.callId, reply: this._decide(call, changed) }))
    // An executor ends on a conflict, so a deposed owner must not give one from memory: the write proves that it is current.
    const isProofNeeded = calls.some((call, index) => call.kind === 'report' && replies[index]?.reply.kind === 'conflict')
    if (changed.size === 0 && !isProofNeeded) {
      return [...replies.map((pending): ClaimEffect => ({ kind: 'reply', ...pending })), ...this._flushRest(now)]
    }
    const open = [...new Map([...this._store.open.map(withId), ...changed]).values()]
    return this._write({ open, segments: this._store.segments, replies, afterwards }, now)
  }

  /** Calls that did not fit the last batch go on at once where that wrote nothing. */
  private _flushRest (now: Milliseconds): ClaimEffect[] {
    return this._waiting.length === 0 ? [] : this._flush(now)
  }

  /** As many waiting calls as the head has room for, in their order; at least one, and the rest wait for the next write. */
  private _takeBatch (): ClaimCall[] {
    let bytes = this._store.openBytes
    const end = this._waiting.findIndex((call, index) => {
      bytes += bytesOf(call)
      return index > 0 && bytes > this._limits.headMaximumBytes
    })
    const batch = end === -1 ? this._waiting : this._waiting.slice(0, end)
    this._waiting = end === -1 ? [] : this._waiting.slice(end)
    return batch
  }

  /**
   * Durable work of an executor that is gone is taken over. An at-most-once request of such an executor may have run; one that
   * its executor denies was never sent, since what is sent stays known there until its outcome is recorded.
   */
  private _settleOrphans (changed: Map<string, Claim>, now: Milliseconds): ClaimEffect[] {
    const isOrphan = (claim: Claim): boolean =>
      claim.state === 'claimed' && (this._denied.has(claim.attemptToken) || this._executors.isGone(claim.executor, now))
    const orphans = this._store.open.filter(isOrphan).slice(0, HAND_OVERS_PER_WRITE)
    const settled = orphans.map((claim): Claim => {
      if (claim.treatment === 'durable') return this._handOver(claim)
      return { ...claim, state: this._denied.has(claim.attemptToken) ? 'released' : 'unknown' }
    })
    this._denied.clear()
    for (const claim of settled) changed.set(claimId(claim), claim)
    return settled.filter(claim => claim.state === 'claimed').map(claim => ({ kind: 'run-durable', claim }))
  }

  private _handOver (claim: Claim): Claim {
    return { ...claim, executor: this._self, attemptToken: this._nextToken(), attempt: (claim.attempt ?? 1) + 1 }
  }

  private _decide (call: ClaimCall, changed: Map<string, Claim>): ClaimReply {
    const id = idOf(call)
    const decision = this._decideCall(call, changed.get(id) ?? this._store.find(id), changed)
    if (decision.record !== undefined) changed.set(id, decision.record)
    return decision.reply
  }

  private _decideCall (call: ClaimCall, known: Claim | undefined, changed: ReadonlyMap<string, Claim>): ClaimDecision {
    switch (call.kind) {
      case 'claim': return this._decideClaim(call.request, known, changed)
      case 'report': return decideReport(call.report, known)
      case 'find': return { reply: { kind: 'found', claim: known } }
      case 'resolve':
        return this._wall === undefined
          ? { reply: { kind: 'unavailable', retryAfter: RETRY_AFTER } }
          : decideResolution(call.resolution, known, this._wall, this._limits.largestPause)
    }
  }

  private _decideClaim (request: ClaimRequest, known: Claim | undefined, changed: ReadonlyMap<string, Claim>): ClaimDecision {
    const decision = decideClaim(request, known)
    if (decision.record === undefined) return decision
    if (keyTime(request.idempotencyKey) !== undefined) {
      if (this._wall === undefined) return { reply: { kind: 'unavailable', retryAfter: RETRY_AFTER } }
      if (isOutsideWindow(request.idempotencyKey, this._wall, this._limits)) return { reply: { kind: 'expired' } }
    }
    if (this._isFull(request, changed)) return { reply: { kind: 'overloaded', retryAfter: OVERLOADED_RETRY_AFTER } }
    return decision
  }

  private _isFull (request: ClaimRequest, changed: ReadonlyMap<string, Claim>): boolean {
    const newBytes = [...changed.values(), request].reduce((sum, claim) => sum + valueBytes(claim), 0)
    if (this._store.openBytes + newBytes > this._limits.headMaximumBytes) return true
    if (request.treatment !== 'durable' || request.maximumBacklog === undefined) return false
    const isBacklog = (claim: Claim): boolean =>
      claim.treatment === 'durable' && claim.state === 'claimed' && claim.workspace === request.workspace
    const backlog = [...this._store.open, ...changed.values()].filter(isBacklog)
    return new Set(backlog.map(claimId)).size >= request.maximumBacklog
  }

  private _write (
    next: Pick<WriteInFlight, 'open' | 'segments'> & Partial<Pick<WriteInFlight, 'plan' | 'replies' | 'afterwards'>>, now: Milliseconds
  ): ClaimEffect[] {
    this._pacer.take(now)
    const head: ShardHead = {
      writerToken: this._nextToken(), epoch: this._epoch, owner: this._self, ...headContents(next.open, next.segments)
    }
    this._inFlight = { replies: [], afterwards: [], ...next, head, expectedRevision: this._revision }
    return [{ kind: 'write-head', head, expectedRevision: this._revision }]
  }

  private _nextToken (): string {
    this._writeCount += 1
    return `${this._self.host}/${this._self.incarnation}/${this._epoch}/${this._writeCount}`
  }

  private _onHeadWritten (revision: number, now: Milliseconds): ClaimEffect[] {
    const write = this._inFlight
    if (write === undefined) return []
    this._inFlight = undefined
    this._revision = revision
    this._lastToken = write.head.writerToken
    if (write.plan === undefined) this._store.record(write.open)
    else this._store.close(write.plan)
    return [...write.replies.map(pending => ({ kind: 'reply' as const, ...pending })), ...write.afterwards, ...this._flush(now)]
  }

  /** Another owner has written: nothing of the lost write was granted, and nothing more will be here. */
  private _onHeadWriteLost (now: Milliseconds, written: ClaimReply = { kind: 'not-owner' }): ClaimEffect[] {
    this._heldUntil = now + TAKEOVER_HOLD
    return this._stepDown({ kind: 'not-owner' }, written)
  }

  private _abandon (now: Milliseconds): ClaimEffect[] {
    this._unavailableUntil = now + RETRY_AFTER
    return this._stepDown({ kind: 'unavailable', retryAfter: RETRY_AFTER }, AMBIGUOUS)
  }

  /**
   * @param waiting the reply to calls of which nothing was written
   * @param written the reply to calls of the write in flight
   */
  private _stepDown (waiting: ClaimReply, written: ClaimReply): ClaimEffect[] {
    const inFlight = (this._inFlight?.replies ?? []).map(({ callId }) => ({ callId, reply: written }))
    const replies = [...inFlight, ...this._waiting.map(({ callId }) => ({ callId, reply: waiting }))]
    this._phase = 'follower'
    this._inFlight = undefined
    this._closing = undefined
    this._loader = undefined
    this._waiting = []
    this._store.load([], [])
    this._executors.reset()
    this._audit.reset()
    this._denied.clear()
    return replies.map(pending => ({ kind: 'reply', ...pending }))
  }
}

function idOf (call: ClaimCall): string {
  switch (call.kind) {
    case 'claim': return claimId(call.request)
    case 'report': return claimId(call.report)
    case 'resolve': return claimId(call.resolution)
    case 'find': return claimId(call)
  }
}

function withId (claim: Claim): [string, Claim] {
  return [claimId(claim), claim]
}

/** What a call may add to the head; a report's record also repeats its claim, which the head holds already. */
function bytesOf (call: ClaimCall): number {
  switch (call.kind) {
    case 'claim': return valueBytes(call.request)
    case 'report': return valueBytes(call.report)
    case 'resolve': return valueBytes(call.resolution)
    case 'find': return 0
  }
}
