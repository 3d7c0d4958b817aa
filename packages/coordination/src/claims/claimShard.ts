/**
 * One shard of the claim log: the log's head is one key, changed by compare-and-swap on its revision.
 * Safety comes from the compare-and-swap alone; a deposed owner's next write fails, and it then knows.
 */
import type { InstanceIdentity, Milliseconds } from '../common/index.js'
import type {
  Claim, ClaimEffect, ClaimMessage, ClaimReply, ClaimReport, ClaimRequest, ShardHead
} from './messages.js'

const RETRY_AFTER: Milliseconds = 1_000

interface PendingReply {
  callId: number
  reply: ClaimReply
}

interface WriteInFlight {
  head: ShardHead
  expectedRevision: number
  replies: PendingReply[]
}

/** Decides for one shard. Feed it messages; perform the effects it returns, in order. */
export class ClaimShard {
  private _phase: 'follower' | 'reading' | 'owner' = 'follower'
  private _epoch = 0
  private _revision = 0
  private _writeCount = 0
  private readonly _claims = new Map<string, Claim>()
  private _waiting: Array<Extract<ClaimMessage, { kind: 'claim' | 'report' }>> = []
  private _inFlight: WriteInFlight | undefined

  /** @param _self the instance that drives this shard */
  constructor (private readonly _self: InstanceIdentity) {}

  /** Whether this instance believes that it owns the shard. */
  get isOwner (): boolean {
    return this._phase === 'owner'
  }

  /** The claims as last known to be recorded. */
  get claims (): readonly Claim[] {
    return [...this._claims.values()]
  }

  /** Handles one message. */
  handle (message: ClaimMessage, _now: Milliseconds): ClaimEffect[] {
    switch (message.kind) {
      case 'take-over': return this._takeOver()
      case 'claim':
      case 'report': return this._enqueue(message)
      case 'head-read': return this._onHeadRead(message.head, message.revision)
      case 'head-read-failed': return this._abandon()
      case 'head-written': return this._onHeadWritten(message.revision)
      case 'head-write-lost': return this._onHeadWriteLost()
      case 'head-write-ambiguous': return [{ kind: 'read-head' }]
    }
  }

  private _takeOver (): ClaimEffect[] {
    if (this._phase !== 'follower') return []
    this._phase = 'reading'
    return [{ kind: 'read-head' }]
  }

  private _enqueue (message: Extract<ClaimMessage, { kind: 'claim' | 'report' }>): ClaimEffect[] {
    if (this._phase === 'follower') {
      return [{ kind: 'reply', callId: message.callId, reply: { kind: 'not-owner' } }]
    }
    this._waiting.push(message)
    return this._flush()
  }

  private _onHeadRead (head: ShardHead | undefined, revision: number): ClaimEffect[] {
    if (this._inFlight !== undefined) return this._settleAmbiguousWrite(head, revision)
    if (this._phase !== 'reading') return []
    this._load(head, revision)
    this._phase = 'owner'
    this._epoch = (head?.epoch ?? 0) + 1
    return this._write([])
  }

  /** Only a write that wins on the same revision, or our own token read back, settles an ambiguous write. */
  private _settleAmbiguousWrite (head: ShardHead | undefined, revision: number): ClaimEffect[] {
    const write = this._inFlight as WriteInFlight
    if (head?.writerToken === write.head.writerToken) return this._onHeadWritten(revision)
    if (revision === write.expectedRevision) {
      return [{ kind: 'write-head', head: write.head, expectedRevision: write.expectedRevision }]
    }
    return this._onHeadWriteLost()
  }

  private _load (head: ShardHead | undefined, revision: number): void {
    this._claims.clear()
    for (const claim of head?.claims ?? []) this._claims.set(claimId(claim), claim)
    this._revision = revision
  }

  private _flush (): ClaimEffect[] {
    if (this._phase !== 'owner' || this._inFlight !== undefined || this._waiting.length === 0) return []
    const messages = this._waiting
    this._waiting = []
    const changed = new Map<string, Claim>()
    const replies = messages.map(message => ({ callId: message.callId, reply: this._decide(message, changed) }))
    if (changed.size === 0) return replies.map(pending => ({ kind: 'reply', ...pending }))
    return this._write(replies, changed)
  }

  private _decide (message: Extract<ClaimMessage, { kind: 'claim' | 'report' }>, changed: Map<string, Claim>): ClaimReply {
    const id = claimId(message.kind === 'claim' ? message.request : message.report)
    const known = changed.get(id) ?? this._claims.get(id)
    return message.kind === 'claim'
      ? decideClaim(message.request, known, claim => { changed.set(id, claim) })
      : decideReport(message.report, known, claim => { changed.set(id, claim) })
  }

  private _write (replies: PendingReply[], changed: ReadonlyMap<string, Claim> = new Map()): ClaimEffect[] {
    this._writeCount += 1
    const claims = new Map([...this._claims, ...changed])
    const head: ShardHead = {
      writerToken: `${this._self.host}/${this._self.incarnation}/${this._epoch}/${this._writeCount}`,
      epoch: this._epoch,
      owner: this._self,
      claims: [...claims.values()]
    }
    this._inFlight = { head, expectedRevision: this._revision, replies }
    return [{ kind: 'write-head', head, expectedRevision: this._revision }]
  }

  private _onHeadWritten (revision: number): ClaimEffect[] {
    const write = this._inFlight
    if (write === undefined) return []
    this._inFlight = undefined
    this._load(write.head, revision)
    return [...write.replies.map(pending => ({ kind: 'reply' as const, ...pending })), ...this._flush()]
  }

  /** Another owner has written: nothing of the lost write was granted, and nothing more will be here. */
  private _onHeadWriteLost (): ClaimEffect[] {
    return this._stepDown({ kind: 'not-owner' })
  }

  private _abandon (): ClaimEffect[] {
    return this._stepDown({ kind: 'unavailable', retryAfter: RETRY_AFTER })
  }

  private _stepDown (reply: ClaimReply): ClaimEffect[] {
    const callIds = [...(this._inFlight?.replies ?? []), ...this._waiting].map(pending => pending.callId)
    this._phase = 'follower'
    this._inFlight = undefined
    this._waiting = []
    this._claims.clear()
    return callIds.map(callId => ({ kind: 'reply', callId, reply }))
  }
}

function claimId (claim: Pick<Claim, 'workspace' | 'idempotencyKey'>): string {
  return `${claim.workspace}\n${claim.idempotencyKey}`
}

function decideClaim (request: ClaimRequest, known: Claim | undefined, record: (claim: Claim) => void): ClaimReply {
  if (known !== undefined && known.requestDigest !== request.requestDigest) return { kind: 'conflict' }
  if (known === undefined || known.state === 'released') {
    record({ ...request, state: 'claimed' })
    return { kind: 'granted' }
  }
  if (known.state === 'done' && known.answer !== undefined) return { kind: 'done', answer: known.answer }
  if (known.state === 'unknown') return { kind: 'unknown' }
  // The answer to a grant may have been lost; the same attempt asks again and is granted again.
  if (known.attemptToken === request.attemptToken) return { kind: 'granted' }
  return { kind: 'in-progress', executor: known.executor }
}

function decideReport (report: ClaimReport, known: Claim | undefined, record: (claim: Claim) => void): ClaimReply {
  if (known === undefined || known.attemptToken !== report.attemptToken) return { kind: 'conflict' }
  if (known.state === report.state) return { kind: 'recorded' }
  if (known.state !== 'claimed') return { kind: 'conflict' }
  record({ ...known, state: report.state, answer: report.answer })
  return { kind: 'recorded' }
}
