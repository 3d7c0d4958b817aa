/** Drives the claim shards of this instance and finds the owner of the others. */
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

/** The environment's claims were recorded under another number of shards. */
export class ClaimLayoutError extends ActionableError {
  readonly kind = 'claim-layout'

  constructor (stored: string, own: string) {
    super(`The environment has ${stored} claim shards and this version uses ${own}`, 'Run the version that made the environment')
  }
}

/** Records claims, here or at the owner of their shard. */
export class ClaimCoordinator {
  /** Runs durable work that was recorded as this instance's own. */
  onDurableWork: (claim: Claim) => void = () => {}
  /** Whether an attempt of this instance runs or has an outcome that is not yet recorded. */
  knowsAttempt: (attemptToken: string) => boolean = () => true

  private readonly _answers: AnswerStore
  private readonly _shards: ClaimShard[]
  private readonly _waitingCalls = new Map<number, (reply: ClaimReply) => void>()
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

  /** Begins to own shards: an owner takes over the work of executors that are gone without being called. */
  start (): void {
    this._ticker = setInterval(() => { this._tick() }, TICK_INTERVAL)
  }

  /** Ends the ticks. Calls are answered as before. */
  stop (): void {
    clearInterval(this._ticker)
  }

  /** Records a claim wherever its shard is owned. */
  async claim (request: ClaimRequest): Promise<ClaimReply> {
    return await this._atOwner(request, async () => await this.claimHere(request),
      async address => await this._peers.claim(address, request))
  }

  /** Records a claim's outcome wherever its shard is owned. */
  async report (report: ClaimReport): Promise<ClaimReply> {
    return await this._atOwner(report, async () => await this.reportHere(report),
      async address => await this._peers.report(address, report))
  }

  /** Records an operator's resolution wherever the claim's shard is owned. */
  async resolve (resolution: ClaimResolution): Promise<ClaimReply> {
    return await this._atOwner(resolution, async () => await this.resolveHere(resolution),
      async address => await this._peers.resolve(address, resolution))
  }

  /** Finds a claim; the reply is `found`, or tells why it cannot be said. */
  async find (workspace: string, idempotencyKey: string): Promise<ClaimReply> {
    return await this._atOwner({ workspace, idempotencyKey }, async () => await this.findHere(workspace, idempotencyKey),
      async address => await this._peers.find(address, workspace, idempotencyKey))
  }

  /** Writes the chunks of a claim's answer; whether all of them are there. */
  async storeAnswer (claim: ClaimPlace, storedAnswer: StoredAnswer, chunks: readonly string[]): Promise<boolean> {
    return await this._answers.write(shardOf(claim), storedAnswer, chunks)
  }

  /** Reads a claim's answer from its chunks; `undefined` where it is no longer kept. */
  async readAnswer (claim: ClaimPlace, storedAnswer: StoredAnswer): Promise<Result<KeptAnswer | undefined, PlatformError>> {
    return await this._answers.read(shardOf(claim), storedAnswer)
  }

  /** Removes the chunks of an answer that no record names. */
  async removeAnswer (claim: ClaimPlace, storedAnswer: StoredAnswer): Promise<void> {
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

  /** Whether this instance is the executor that is meant, and has no such attempt. */
  denies (executor: InstanceIdentity, attemptToken: string): boolean {
    return isSameInstance(executor, this._members.identity) && !this.knowsAttempt(attemptToken)
  }

  /** One retry where beliefs about the owner differed; only a definite "not the owner" is asked again. */
  private async _atOwner (
    claim: ClaimPlace, here: () => Promise<ClaimReply>, there: (address: string) => Promise<Result<ClaimReply, Error>>
  ): Promise<ClaimReply> {
    const ask = async (): Promise<ClaimReply> => {
      const owner = this._ownerOf(shardOf(claim))
      return owner === undefined ? await here() : ambiguousOnError(await there(owner))
    }
    const reply = await ask()
    return reply.kind === 'not-owner' ? await ask() : reply
  }

  /** The peer address of a shard's owner, or undefined where it is this instance. */
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
      if (this._ownerOf(shard) === undefined) this._tell(shard, { kind: 'take-over' })
      this._tell(shard, { kind: 'tick', wall, live })
    }
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
      case 'ask-executor': return this._guard(shard, this._askExecutor(shard, effect.claim))
      case 'run-durable': return this.onDurableWork(effect.claim)
      case 'wake-after':
        setTimeout(() => { this._tell(shard, { kind: 'wake' }) }, effect.delay)
        return
      case 'read-head': return this._guard(shard, this._readHead(shard))
      case 'write-head': return this._guard(shard, this._writeHead(shard, effect.head, effect.expectedRevision))
      case 'read-segment': return this._guard(shard, this._readSegment(shard, effect.name))
      case 'write-segment': return this._guard(shard, this._writeSegment(shard, effect.name, effect.text))
      case 'remove-answer': return this._guard(shard, this._answers.remove(shard, effect.storedAnswer))
      case 'remove-segment': return this._guard(shard, this._removeSegment(shard, effect.name))
    }
  }

  /** A head that cannot be understood is no reason to guess: the shard refuses until it can be read. */
  private _guard (shard: number, performed: Promise<void>): void {
    performed.catch(error => {
      this._logger.error('a claim shard cannot be read', { shard, problem: String(error) })
      this._tell(shard, { kind: 'head-read-failed' })
    })
  }

  private _reply (callId: number, reply: ClaimReply): void {
    this._waitingCalls.get(callId)?.(reply)
    this._waitingCalls.delete(callId)
  }

  private async _askExecutor (shard: number, claim: Claim): Promise<void> {
    const { host } = claim.executor
    const address = this._members.find(host)?.peerAddress
    if (address === undefined) return
    const isDenied = host === this._members.self.host
      ? this.denies(claim.executor, claim.attemptToken)
      : (await this._peers.denies(address, claim)).unwrapOr(false)
    if (isDenied) this._tell(shard, { kind: 'attempt-denied', attemptToken: claim.attemptToken })
  }

  /** Another number of shards would look for claims in the wrong place, so nothing is read before the numbers agree. */
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
    if (!this._isLayoutChecked) return this._tell(shard, { kind: 'head-read-failed' })
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

  private async _readSegment (shard: number, name: string): Promise<void> {
    const read = await this._keyValue.read(segmentKey(this._environment, shard, name))
    this._tell(shard, read.isErr
      ? { kind: 'segment-read-failed', name }
      : { kind: 'segment-read', name, text: read.value?.value })
  }

  /** A write that lost found its own earlier copy, since no other writer ever uses the name. */
  private async _writeSegment (shard: number, name: string, text: string): Promise<void> {
    const key = segmentKey(this._environment, shard, name)
    const written = await this._keyValue.compareAndSwap({ key, value: text, expectedRevision: ABSENT_REVISION })
    this._tell(shard, { kind: written.isOk ? 'segment-written' : 'segment-write-failed', name })
  }

  private async _removeSegment (shard: number, name: string): Promise<void> {
    const key = segmentKey(this._environment, shard, name)
    const read = await this._keyValue.read(key)
    if (read.isOk && read.value !== undefined) await this._keyValue.remove(key, read.value.revision)
  }
}

type ClaimPlace = Pick<Claim, 'workspace' | 'idempotencyKey'>

function shardOf (claim: ClaimPlace): number {
  return claimShardOf(claim.workspace, claim.idempotencyKey)
}

function ambiguousOnError (reply: Result<ClaimReply, Error>): ClaimReply {
  return reply.unwrapOr({ kind: 'ambiguous', retryAfter: RETRY_AFTER })
}
