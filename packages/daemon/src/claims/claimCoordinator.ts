/** Drives the claim shards that this instance owns, and routes calls to the owners of the others. */
import type { Result } from 'true-myth'
import {
  ABSENT_REVISION, ActionableError, CLAIM_SHARD_COUNT, claimLayoutKey, ClaimShard, claimShardOf, firstByRendezvous,
  isSameInstance, segmentKey, shardHeadKey, shardHeadSchema,
  type Claim, type ClaimEffect, type ClaimMessage, type ClaimReply, type ClaimReport, type ClaimRequest,
  type ClaimResolution, type InstanceIdentity, type KeptAnswer, type KeyValueService, type MemberTable,
  type Milliseconds, type PlatformError, type ShardHead, type StoredAnswer
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { Logger } from '../telemetry/index.js'
import { AnswerStore } from './answerStore.js'
import type { ClaimPeerClient } from './claimPeers.js'

const RETRY_AFTER: Milliseconds = 1_000
const TICK_INTERVAL: Milliseconds = 1_000

/** The environment's claims were recorded with a different number of shards. */
export class ClaimLayoutError extends ActionableError {
  readonly kind = 'claim-layout'

  constructor (stored: string, own: string) {
    super(`The environment has ${stored} claim shards, but this version uses ${own}`,
      'Run the version that created the environment')
  }
}

/** Records claims, on this instance or through the owner of their shard. */
export class ClaimCoordinator {
  /** Called to run durable work that is recorded with this instance as its executor. */
  onDurableWork: (claim: Claim) => void = () => {}
  /** Whether an attempt of this instance runs or has an outcome that is not yet recorded. */
  hasAttempt: (attemptToken: string) => boolean = () => true

  private readonly _answers: AnswerStore
  private readonly _shards: ClaimShard[]
  private readonly _pendingCalls = new Map<number, (reply: ClaimReply) => void>()
  private _isLayoutChecked = false
  private _nextCallId = 1
  private _ticker: NodeJS.Timeout | undefined

  constructor (
    private readonly _environment: string,
    private readonly _keyValue: KeyValueService,
    private readonly _members: MemberTable,
    private readonly _peers: ClaimPeerClient,
    private readonly _clock: Clock,
    private readonly _logger: Logger
  ) {
    this._answers = new AnswerStore(_environment, _keyValue)
    this._shards = Array.from({ length: CLAIM_SHARD_COUNT }, () => new ClaimShard(_members.identity))
  }

  /** Starts the periodic ticks, on which an owner takes over the work of executors that are gone, without waiting for a call. */
  start (): void {
    this._ticker = setInterval(() => { this._tick() }, TICK_INTERVAL)
  }

  /** Stops the ticks. Calls are still answered. */
  stop (): void {
    clearInterval(this._ticker)
  }

  /** Records a claim at the owner of its shard, which may be this instance. */
  async claim (request: ClaimRequest): Promise<ClaimReply> {
    return await this._callOwner(request, async () => await this.claimHere(request),
      async address => await this._peers.claim(address, request))
  }

  /** Records a claim's outcome at the owner of its shard. */
  async report (report: ClaimReport): Promise<ClaimReply> {
    return await this._callOwner(report, async () => await this.reportHere(report),
      async address => await this._peers.report(address, report))
  }

  /** Records an operator's resolution at the owner of the claim's shard. */
  async resolve (resolution: ClaimResolution): Promise<ClaimReply> {
    return await this._callOwner(resolution, async () => await this.resolveHere(resolution),
      async address => await this._peers.resolve(address, resolution))
  }

  /** Finds a claim. The reply is `found`, or says why the claim cannot be looked up. */
  async find (workspace: string, idempotencyKey: string): Promise<ClaimReply> {
    return await this._callOwner({ workspace, idempotencyKey }, async () => await this.findHere(workspace, idempotencyKey),
      async address => await this._peers.find(address, workspace, idempotencyKey))
  }

  /** Writes the chunks of a claim's answer and returns whether all of them are stored. */
  async storeAnswer (claim: ClaimKey, storedAnswer: StoredAnswer, chunks: readonly string[]): Promise<boolean> {
    return await this._answers.write(shardOf(claim), storedAnswer, chunks)
  }

  /** Reads a claim's answer from its chunks; `undefined` if it is no longer stored. */
  async readAnswer (claim: ClaimKey, storedAnswer: StoredAnswer): Promise<Result<KeptAnswer | undefined, PlatformError>> {
    return await this._answers.read(shardOf(claim), storedAnswer)
  }

  /** Removes the chunks of an answer that no record refers to. */
  async removeAnswer (claim: ClaimKey, storedAnswer: StoredAnswer): Promise<void> {
    await this._answers.remove(shardOf(claim), storedAnswer)
  }

  /** Records a claim as the owner of its shard. */
  async claimHere (request: ClaimRequest): Promise<ClaimReply> {
    return await this._submit(shardOf(request), callId => ({ kind: 'claim', callId, request }))
  }

  /** Records a claim's outcome as the owner of its shard. */
  async reportHere (report: ClaimReport): Promise<ClaimReply> {
    return await this._submit(shardOf(report), callId => ({ kind: 'report', callId, report }))
  }

  /** Records an operator's resolution as the owner of the claim's shard. */
  async resolveHere (resolution: ClaimResolution): Promise<ClaimReply> {
    return await this._submit(shardOf(resolution), callId => ({ kind: 'resolve', callId, resolution }))
  }

  /** Finds a claim as the owner of its shard. */
  async findHere (workspace: string, idempotencyKey: string): Promise<ClaimReply> {
    return await this._submit(shardOf({ workspace, idempotencyKey }), callId => ({
      kind: 'find', callId, workspace, idempotencyKey
    }))
  }

  /** Whether this instance is the given executor and has no attempt with the given token. */
  denies (executor: InstanceIdentity, attemptToken: string): boolean {
    return isSameInstance(executor, this._members.identity) && !this.hasAttempt(attemptToken)
  }

  /** Retries once if the instances disagree about the owner. Only a definite `not-owner` reply is retried. */
  private async _callOwner (
    claim: ClaimKey, callLocal: () => Promise<ClaimReply>, callRemote: (address: string) => Promise<Result<ClaimReply, Error>>
  ): Promise<ClaimReply> {
    const call = async (): Promise<ClaimReply> => {
      const owner = this._ownerOf(shardOf(claim))
      return owner === undefined ? await callLocal() : ambiguousOnError(await callRemote(owner))
    }
    const reply = await call()
    return reply.kind === 'not-owner' ? await call() : reply
  }

  /** The peer address of a shard's owner; undefined if the owner is this instance. */
  private _ownerOf (shard: number): string | undefined {
    const live = this._members.live
    const owner = firstByRendezvous(`claims/${shard}`, live.map(member => member.host))
    if (owner === undefined || owner === this._members.self.host) return undefined
    return this._members.find(owner)?.peerAddress
  }

  private _tick (): void {
    const live = this._members.live.map(({ host, incarnation }) => ({ host, incarnation }))
    const wall = this._clock.wall()
    for (let shard = 0; shard < CLAIM_SHARD_COUNT; shard++) {
      if (this._ownerOf(shard) === undefined) this._handle(shard, { kind: 'take-over' })
      this._handle(shard, { kind: 'tick', wall, live })
    }
  }

  private async _submit (shard: number, toMessage: (callId: number) => ClaimMessage): Promise<ClaimReply> {
    const callId = this._nextCallId++
    const reply = new Promise<ClaimReply>(resolve => { this._pendingCalls.set(callId, resolve) })
    if (this._ownerOf(shard) === undefined) this._handle(shard, { kind: 'take-over' })
    this._handle(shard, toMessage(callId))
    return await reply
  }

  private _handle (shard: number, message: ClaimMessage): void {
    const effects = (this._shards[shard] as ClaimShard).handle(message, this._clock.monotonic())
    for (const effect of effects) this._perform(shard, effect)
  }

  private _perform (shard: number, effect: ClaimEffect): void {
    switch (effect.kind) {
      case 'reply': return this._reply(effect.callId, effect.reply)
      case 'ask-executor': return this._guard(shard, this._askExecutor(shard, effect.claim))
      case 'run-durable': return this.onDurableWork(effect.claim)
      case 'wake-after':
        setTimeout(() => { this._handle(shard, { kind: 'wake' }) }, effect.delay)
        return
      case 'read-head': return this._guard(shard, this._readHead(shard))
      case 'write-head': return this._guard(shard, this._writeHead(shard, effect.head, effect.expectedRevision))
      case 'read-segment': return this._guard(shard, this._readSegment(shard, effect.name))
      case 'write-segment': return this._guard(shard, this._writeSegment(shard, effect.name, effect.text))
      case 'remove-answer': return this._guard(shard, this._answers.remove(shard, effect.storedAnswer))
      case 'remove-segment': return this._guard(shard, this._removeSegment(shard, effect.name))
    }
  }

  /** Reports a failed operation as an unreadable head: the shard assumes nothing and refuses calls until it can read its head. */
  private _guard (shard: number, operation: Promise<void>): void {
    operation.catch(error => {
      this._logger.error('a claim shard cannot be read', { shard, problem: String(error) })
      this._handle(shard, { kind: 'head-read-failed' })
    })
  }

  private _reply (callId: number, reply: ClaimReply): void {
    this._pendingCalls.get(callId)?.(reply)
    this._pendingCalls.delete(callId)
  }

  private async _askExecutor (shard: number, claim: Claim): Promise<void> {
    const { host } = claim.executor
    const address = this._members.find(host)?.peerAddress
    if (address === undefined) return
    const isDenied = host === this._members.self.host
      ? this.denies(claim.executor, claim.attemptToken)
      : (await this._peers.denies(address, claim)).unwrapOr(false)
    if (isDenied) this._handle(shard, { kind: 'attempt-denied', attemptToken: claim.attemptToken })
  }

  /**
   * Whether the stored number of shards is this version's. With another number, claims would be looked up in the wrong
   * shards, so nothing is read before the numbers agree. An absent number is created, to be read by the next check.
   */
  private async _checkLayout (): Promise<boolean> {
    const key = claimLayoutKey(this._environment)
    const value = String(CLAIM_SHARD_COUNT)
    const read = await this._keyValue.read(key)
    if (read.isErr) return false
    if (read.value === undefined) {
      await this._keyValue.compareAndSwap({ key, value, expectedRevision: ABSENT_REVISION })
      return false
    }
    if (read.value.value !== value) throw new ClaimLayoutError(read.value.value, value)
    return true
  }

  private async _readHead (shard: number): Promise<void> {
    this._isLayoutChecked = this._isLayoutChecked || await this._checkLayout() || await this._checkLayout()
    if (!this._isLayoutChecked) return this._handle(shard, { kind: 'head-read-failed' })
    const read = await this._keyValue.read(shardHeadKey(this._environment, shard))
    if (read.isErr) return this._handle(shard, { kind: 'head-read-failed' })
    const head = read.value === undefined ? undefined : shardHeadSchema.parse(JSON.parse(read.value.value))
    this._handle(shard, { kind: 'head-read', head, revision: read.value?.revision ?? ABSENT_REVISION })
  }

  private async _writeHead (shard: number, head: ShardHead, expectedRevision: number): Promise<void> {
    const key = shardHeadKey(this._environment, shard)
    const written = await this._keyValue.compareAndSwap({ key, value: JSON.stringify(head), expectedRevision })
    this._handle(shard, written.match({
      Ok: (outcome): ClaimMessage => outcome.kind === 'won'
        ? { kind: 'head-written', revision: outcome.revision }
        : { kind: 'head-write-ambiguous' },
      Err: (): ClaimMessage => ({ kind: 'head-write-ambiguous' })
    }))
  }

  private async _readSegment (shard: number, name: string): Promise<void> {
    const read = await this._keyValue.read(segmentKey(this._environment, shard, name))
    this._handle(shard, read.isErr
      ? { kind: 'segment-read-failed', name }
      : { kind: 'segment-read', name, text: read.value?.value })
  }

  /** A lost compare-and-swap counts as written: no other writer uses the name, so the key holds an earlier copy of this write. */
  private async _writeSegment (shard: number, name: string, text: string): Promise<void> {
    const key = segmentKey(this._environment, shard, name)
    const written = await this._keyValue.compareAndSwap({ key, value: text, expectedRevision: ABSENT_REVISION })
    this._handle(shard, { kind: written.isOk ? 'segment-written' : 'segment-write-failed', name })
  }

  private async _removeSegment (shard: number, name: string): Promise<void> {
    const key = segmentKey(this._environment, shard, name)
    const read = await this._keyValue.read(key)
    if (read.isOk && read.value !== undefined) await this._keyValue.remove(key, read.value.revision)
  }
}

type ClaimKey = Pick<Claim, 'workspace' | 'idempotencyKey'>

function shardOf (claim: ClaimKey): number {
  return claimShardOf(claim.workspace, claim.idempotencyKey)
}

function ambiguousOnError (reply: Result<ClaimReply, Error>): ClaimReply {
  return reply.unwrapOr({ kind: 'ambiguous', retryAfter: RETRY_AFTER })
}
