/** Drives the claim shards of this instance and finds the owner of the others. */
import { Result } from 'true-myth'
import {
  ABSENT_REVISION, CLAIM_SHARD_COUNT, ClaimShard, claimShardOf, firstByRendezvous, shardHeadKey, shardHeadSchema,
  type ClaimEffect, type ClaimMessage, type ClaimReply, type ClaimReport, type ClaimRequest, type KeyValueService,
  type MemberTable, type ShardHead
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { Logger } from '../telemetry/index.js'
import type { ClaimPeerClient } from './claimPeers.js'

const RETRY_AFTER_MILLISECONDS = 1_000

/** Records claims, here or at the owner of their shard. */
export class ClaimCoordinator {
  private readonly _shards: ClaimShard[]
  private readonly _waitingCalls = new Map<number, (reply: ClaimReply) => void>()
  private _nextCallId = 1

  constructor (
    private readonly _environment: string,
    private readonly _keyValue: KeyValueService,
    private readonly _members: MemberTable,
    private readonly _peers: ClaimPeerClient,
    private readonly _clock: Clock,
    private readonly _logger: Logger
  ) {
    this._shards = Array.from({ length: CLAIM_SHARD_COUNT }, () => new ClaimShard(_members.identity))
  }

  /** Records a claim wherever its shard is owned. */
  async claim (request: ClaimRequest): Promise<ClaimReply> {
    const owner = this._ownerOf(claimShardOf(request.workspace, request.idempotencyKey))
    if (owner === undefined) return await this.claimHere(request)
    return unavailableOnError(await this._peers.claim(owner, request))
  }

  /** Records a claim's outcome wherever its shard is owned. */
  async report (report: ClaimReport): Promise<ClaimReply> {
    const owner = this._ownerOf(claimShardOf(report.workspace, report.idempotencyKey))
    if (owner === undefined) return await this.reportHere(report)
    return unavailableOnError(await this._peers.report(owner, report))
  }

  /** Records a claim as the owner of its shard. */
  async claimHere (request: ClaimRequest): Promise<ClaimReply> {
    const shard = claimShardOf(request.workspace, request.idempotencyKey)
    return await this._submit(shard, callId => ({ kind: 'claim', callId, request }))
  }

  /** Records a claim's outcome as the owner of its shard. */
  async reportHere (report: ClaimReport): Promise<ClaimReply> {
    const shard = claimShardOf(report.workspace, report.idempotencyKey)
    return await this._submit(shard, callId => ({ kind: 'report', callId, report }))
  }

  /** The peer address of a shard's owner, or undefined where it is this instance. */
  private _ownerOf (shard: number): string | undefined {
    const live = this._members.live
    const owner = firstByRendezvous(`claims/${shard}`, live.map(member => member.host))
    if (owner === undefined || owner === this._members.self.host) return undefined
    return this._members.find(owner)?.peerAddress
  }

  private async _submit (shard: number, toMessage: (callId: number) => ClaimMessage): Promise<ClaimReply> {
    const callId = this._nextCallId++
    const reply = new Promise<ClaimReply>(resolve => { this._waitingCalls.set(callId, resolve) })
    if (this._ownerOf(shard) === undefined) this._tell(shard, { kind: 'take-over' })
    this._tell(shard, toMessage(callId))
    return await reply
  }

  private _tell (shard: number, message: ClaimMessage): void {
    const effects = (this._shards[shard] as ClaimShard).handle(message, this._clock.monotonic())
    for (const effect of effects) this._perform(shard, effect)
  }

  private _perform (shard: number, effect: ClaimEffect): void {
    switch (effect.kind) {
      case 'reply': return this._reply(effect.callId, effect.reply)
      case 'read-head':
        this._readHead(shard).catch(error => { this._onBroken(shard, error) })
        return
      case 'write-head':
        this._writeHead(shard, effect.head, effect.expectedRevision).catch(error => { this._onBroken(shard, error) })
    }
  }

  /** A head that cannot be understood is no reason to guess: the shard refuses until it can be read. */
  private _onBroken (shard: number, error: unknown): void {
    this._logger.error('a claim shard cannot be read', { shard, problem: String(error) })
    this._tell(shard, { kind: 'head-read-failed' })
  }

  private _reply (callId: number, reply: ClaimReply): void {
    this._waitingCalls.get(callId)?.(reply)
    this._waitingCalls.delete(callId)
  }

  private async _readHead (shard: number): Promise<void> {
    const read = await this._keyValue.read(shardHeadKey(this._environment, shard))
    if (read.isErr) return this._tell(shard, { kind: 'head-read-failed' })
    const head = read.value === undefined ? undefined : shardHeadSchema.parse(JSON.parse(read.value.value))
    this._tell(shard, { kind: 'head-read', head, revision: read.value?.revision ?? ABSENT_REVISION })
  }

  private async _writeHead (shard: number, head: ShardHead, expectedRevision: number): Promise<void> {
    const key = shardHeadKey(this._environment, shard)
    const written = await this._keyValue.compareAndSwap({ key, value: JSON.stringify(head), expectedRevision })
    this._tell(shard, written.match({
      Ok: (outcome): ClaimMessage => outcome.kind === 'won'
        ? { kind: 'head-written', revision: outcome.revision }
        : { kind: 'head-write-ambiguous' },
      Err: (): ClaimMessage => ({ kind: 'head-write-ambiguous' })
    }))
  }
}

function unavailableOnError (reply: Result<ClaimReply, Error>): ClaimReply {
  return reply.unwrapOr({ kind: 'unavailable', retryAfter: RETRY_AFTER_MILLISECONDS })
}
