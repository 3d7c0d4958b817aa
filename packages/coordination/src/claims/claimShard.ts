/**
 * One shard of the claim log. The head of the log is one key, changed by compare-and-swap on its revision.
 * Safety depends on the compare-and-swap alone: a deposed owner learns that it was deposed when its next write fails.
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
/** A deposed owner does not take the shard over for this long, so that instances with different member lists do not alternate. */
const TAKEOVER_BACKOFF: Milliseconds = 3_000
/** A longer gap between messages means that the process was paused; ticks arrive about once a second. */
const PAUSE_THRESHOLD: Milliseconds = 5_000
const MAXIMUM_ORPHANS_PER_WRITE = 16

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
  /** The plan that this write completes. */
  plan?: SegmentPlan
  /** What to perform once the write has succeeded. */
  effectsOnSuccess: ClaimEffect[]
}

/** Decides for one shard. The caller passes in messages and performs the returned effects in order. */
export class ClaimShard {
  private _phase: 'follower' | 'reading' | 'confirming' | 'owner' = 'follower'
  private _epoch = 0
  private _revision = 0
  private _writeCount = 0
  private _lastWriterToken = ''
  private _lastMessageAt: Milliseconds | undefined
  private _takeoverBlockedUntil: Milliseconds = 0
  private _unavailableUntil: Milliseconds = 0
  private _wall: Milliseconds | undefined
  private _isWakeRequested = false
  private _pendingCalls: ClaimCall[] = []
  private _loader: SegmentLoader | undefined
  private _closing: SegmentPlan | undefined
  private _inFlight: WriteInFlight | undefined
  private readonly _store: ClaimStore
  private readonly _audit = new AttemptAudit()
  private readonly _deniedAttempts = new Set<string>()
  private readonly _executors = new ExecutorWatch()
  private readonly _pacer = new WritePacer()

  /**
   * @param _self the instance that drives this shard
   * @param _limits sizes and times; the same in all instances of an environment
   */
  constructor (private readonly _self: InstanceIdentity, private readonly _limits: ClaimLimits = CLAIM_LIMITS) {
    this._store = new ClaimStore(_limits)
  }

  /** Whether this instance is the owner as far as it knows; another instance may have deposed it since. */
  get isOwner (): boolean {
    return this._phase === 'owner'
  }

  /** The last known record of every claim. Empty while this instance is a follower. */
  get claims (): readonly Claim[] {
    return this._store.claims
  }

  /** Handles one message and returns the effects to perform. */
  handle (message: ClaimMessage, now: Milliseconds): ClaimEffect[] {
    const pauseEffects = this._detectPause(now)
    return [...pauseEffects, ...this._dispatch(message, now)]
  }

  private _dispatch (message: ClaimMessage, now: Milliseconds): ClaimEffect[] {
    switch (message.kind) {
      case 'take-over': return this._takeOver(now)
      case 'tick': return this._tick(message.live, message.wall, now)
      case 'attempt-denied':
        if (this._phase === 'owner') this._deniedAttempts.add(message.attemptToken)
        return this._flush(now)
      case 'wake':
        this._isWakeRequested = false
        return this._flush(now)
      case 'head-read': return this._onHeadRead(message.head, message.revision, now)
      case 'head-read-failed': return this._becomeUnavailable(now)
      case 'head-written': return this._onHeadWritten(message.revision, now)
      case 'head-write-lost': return this._onHeadWriteLost(now)
      case 'head-write-ambiguous': return [{ kind: 'read-head' }]
      case 'segment-read': return this._onSegmentRead(message.name, message.text, now)
      case 'segment-read-failed': return this._loader?.isWaitingFor(message.name) === true ? this._becomeUnavailable(now) : []
      case 'segment-written': return this._onSegmentWritten(message.name, now)
      case 'segment-write-failed': return this._onSegmentWriteFailed(message.name, now)
      default: return this._enqueue(message, now)
    }
  }

  /** After a pause, another instance may own the shard, so the head is read again before any reply. */
  private _detectPause (now: Milliseconds): ClaimEffect[] {
    const gap = now - (this._lastMessageAt ?? now)
    this._lastMessageAt = now
    if (gap <= PAUSE_THRESHOLD) return []
    this._executors.reset()
    if (this._phase !== 'owner' || this._inFlight !== undefined || this._closing !== undefined) return []
    this._phase = 'confirming'
    return [{ kind: 'read-head' }]
  }

  private _takeOver (now: Milliseconds): ClaimEffect[] {
    if (this._phase !== 'follower' || now < this._takeoverBlockedUntil || now < this._unavailableUntil) return []
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
    this._pendingCalls.push(call)
    return this._flush(now)
  }

  private _onHeadRead (head: ShardHead | undefined, revision: number, now: Milliseconds): ClaimEffect[] {
    if (this._inFlight !== undefined) return this._settleAmbiguousWrite(head, revision, now)
    if (this._phase === 'confirming') return this._confirmOwnership(head, revision, now)
    if (this._phase !== 'reading') return []
    if (this._loader !== undefined && this._loader.revision === revision) return this._becomeUnavailable(now)
    this._loader = new SegmentLoader(head, revision)
    return this._loadOrTakeOver(now)
  }

  private _confirmOwnership (head: ShardHead | undefined, revision: number, now: Milliseconds): ClaimEffect[] {
    if (head?.writerToken !== this._lastWriterToken || revision !== this._revision) return this._onHeadWriteLost(now)
    this._phase = 'owner'
    return this._flush(now)
  }

  private _onSegmentRead (name: string, text: string | undefined, now: Milliseconds): ClaimEffect[] {
    if (this._loader?.isWaitingFor(name) !== true) return []
    // Another owner may have dropped the segment since. If the head still names it, the shard cannot be loaded.
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

  /** An ambiguous write is settled only by its own token read back, or by a repeated write that succeeds on the same revision. */
  private _settleAmbiguousWrite (head: ShardHead | undefined, revision: number, now: Milliseconds): ClaimEffect[] {
    const write = this._inFlight as WriteInFlight
    if (head?.writerToken === write.head.writerToken) return this._onHeadWritten(revision, now)
    if (revision === write.expectedRevision) {
      return [{ kind: 'write-head', head: write.head, expectedRevision: write.expectedRevision }]
    }
    // The write may have succeeded before another owner's write. What it recorded then stays recorded.
    return this._onHeadWriteLost(now, AMBIGUOUS)
  }

  private _flush (now: Milliseconds): ClaimEffect[] {
    if (this._phase !== 'owner' || this._inFlight !== undefined || this._closing !== undefined) return []
    const delay = this._pacer.delayAt(now)
    if (delay > 0) return this._requestWake(delay)
    if (this._store.isCloseDue && this._wall !== undefined) return this._startClosing(this._wall, now)
    return this._decidePendingCalls(now)
  }

  private _requestWake (delay: Milliseconds): ClaimEffect[] {
    if (this._isWakeRequested || this._pendingCalls.length === 0) return []
    this._isWakeRequested = true
    return [{ kind: 'wake-after', delay }]
  }

  private _startClosing (wall: Milliseconds, now: Milliseconds): ClaimEffect[] {
    this._pacer.take(now)
    this._closing = this._store.planClose(this._nextToken().replaceAll('/', '.'), wall)
    return [{ kind: 'write-segment', name: this._closing.segment.descriptor.name, text: this._closing.text }]
  }

  private _onSegmentWritten (name: string, now: Milliseconds): ClaimEffect[] {
    const plan = this._closing
    if (plan?.segment.descriptor.name !== name) return []
    this._closing = undefined
    const segments = plan.dropped.map((dropped): ClaimEffect => ({ kind: 'remove-segment', name: dropped }))
    const answers = plan.droppedAnswers.map((storedAnswer): ClaimEffect => ({ kind: 'remove-answer', storedAnswer }))
    const effectsOnSuccess = [...segments, ...answers]
    this._pacer.take(now, segments.length + plan.droppedAnswers.reduce((sum, { chunkCount }) => sum + chunkCount, 0))
    return this._write({ open: plan.open, segments: plan.segments, plan, effectsOnSuccess }, now)
  }

  /** The next attempt uses another name, so that no head names a segment whose write takes effect late. */
  private _onSegmentWriteFailed (name: string, now: Milliseconds): ClaimEffect[] {
    if (this._closing?.segment.descriptor.name !== name) return []
    this._closing = undefined
    return this._becomeUnavailable(now)
  }

  private _decidePendingCalls (now: Milliseconds): ClaimEffect[] {
    const calls = this._takeBatch()
    const changed = new Map<string, Claim>()
    const effectsOnSuccess = this._settleOrphans(changed, now)
    const replies = calls.map(call => ({ callId: call.callId, reply: this._decide(call, changed) }))
    // An executor ends its attempt on a conflict, so a deposed owner must not send one. A successful write proves ownership.
    const isOwnershipProofNeeded = calls.some((call, index) => call.kind === 'report' && replies[index]?.reply.kind === 'conflict')
    if (changed.size === 0 && !isOwnershipProofNeeded) {
      return [...replies.map((pending): ClaimEffect => ({ kind: 'reply', ...pending })), ...this._flushRemaining(now)]
    }
    const open = [...new Map([...this._store.open.map(withId), ...changed]).values()]
    return this._write({ open, segments: this._store.segments, replies, effectsOnSuccess }, now)
  }

  /** Handles the calls that did not fit into the last batch at once, where that batch wrote nothing. */
  private _flushRemaining (now: Milliseconds): ClaimEffect[] {
    return this._pendingCalls.length === 0 ? [] : this._flush(now)
  }

  /** Takes as many pending calls as the head has room for, in order and at least one. The others wait for the next write. */
  private _takeBatch (): ClaimCall[] {
    let bytes = this._store.openBytes
    const end = this._pendingCalls.findIndex((call, index) => {
      bytes += bytesOf(call)
      return index > 0 && bytes > this._limits.headMaximumBytes
    })
    const batch = end === -1 ? this._pendingCalls : this._pendingCalls.slice(0, end)
    this._pendingCalls = end === -1 ? [] : this._pendingCalls.slice(end)
    return batch
  }

  /**
   * Settles claims of executors that are gone or deny the attempt. Durable work is taken over. An at-most-once request of an
   * executor that is gone may have run. One that its executor denies was never sent: an executor retains each attempt that it
   * has sent until the outcome is recorded.
   */
  private _settleOrphans (changed: Map<string, Claim>, now: Milliseconds): ClaimEffect[] {
    const isOrphan = (claim: Claim): boolean =>
      claim.state === 'claimed' && (this._deniedAttempts.has(claim.attemptToken) || this._executors.isGone(claim.executor, now))
    const orphans = this._store.open.filter(isOrphan).slice(0, MAXIMUM_ORPHANS_PER_WRITE)
    const settled = orphans.map((claim): Claim => {
      if (claim.treatment === 'durable') return this._handOver(claim)
      return { ...claim, state: this._deniedAttempts.has(claim.attemptToken) ? 'released' : 'unknown' }
    })
    this._deniedAttempts.clear()
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
    next: Pick<WriteInFlight, 'open' | 'segments'> & Partial<Pick<WriteInFlight, 'plan' | 'replies' | 'effectsOnSuccess'>>,
    now: Milliseconds
  ): ClaimEffect[] {
    this._pacer.take(now)
    const head: ShardHead = {
      writerToken: this._nextToken(), epoch: this._epoch, owner: this._self, ...headContents(next.open, next.segments)
    }
    this._inFlight = { replies: [], effectsOnSuccess: [], ...next, head, expectedRevision: this._revision }
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
    this._lastWriterToken = write.head.writerToken
    if (write.plan === undefined) this._store.record(write.open)
    else this._store.close(write.plan)
    return [...write.replies.map(pending => ({ kind: 'reply' as const, ...pending })), ...write.effectsOnSuccess, ...this._flush(now)]
  }

  /** Another owner has written the head: no call of the lost write is granted, and this instance no longer owns the shard. */
  private _onHeadWriteLost (now: Milliseconds, inFlightReply: ClaimReply = { kind: 'not-owner' }): ClaimEffect[] {
    this._takeoverBlockedUntil = now + TAKEOVER_BACKOFF
    return this._stepDown({ kind: 'not-owner' }, inFlightReply)
  }

  private _becomeUnavailable (now: Milliseconds): ClaimEffect[] {
    this._unavailableUntil = now + RETRY_AFTER
    return this._stepDown({ kind: 'unavailable', retryAfter: RETRY_AFTER }, AMBIGUOUS)
  }

  /**
   * Gives up ownership and replies to all calls.
   * @param pendingReply the reply to calls that are not part of any write
   * @param inFlightReply the reply to calls of the write in flight
   */
  private _stepDown (pendingReply: ClaimReply, inFlightReply: ClaimReply): ClaimEffect[] {
    const inFlight = (this._inFlight?.replies ?? []).map(({ callId }) => ({ callId, reply: inFlightReply }))
    const replies = [...inFlight, ...this._pendingCalls.map(({ callId }) => ({ callId, reply: pendingReply }))]
    this._phase = 'follower'
    this._inFlight = undefined
    this._closing = undefined
    this._loader = undefined
    this._pendingCalls = []
    this._store.load([], [])
    this._executors.reset()
    this._audit.reset()
    this._deniedAttempts.clear()
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

/** Bytes that a call may add to the head. The record of a report also contains its claim, which the head already contains. */
function bytesOf (call: ClaimCall): number {
  switch (call.kind) {
    case 'claim': return valueBytes(call.request)
    case 'report': return valueBytes(call.report)
    case 'resolve': return valueBytes(call.resolution)
    case 'find': return 0
  }
}
