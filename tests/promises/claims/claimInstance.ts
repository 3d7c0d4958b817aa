/** One instance of the claim log in virtual time: it drives the real decisions and can freeze between any two steps. */
import {
  ABSENT_REVISION, joinAnswer, shardHeadSchema,
  type AttemptEffect, type AttemptMessage, type AttemptOutcome, type AttemptRules, type CallEnd, type Claim,
  type ClaimedAttempt, type ClaimEffect, type ClaimMessage, type ClaimReply, type ClaimReport, type ClaimRequest,
  type ClaimShard, type InstanceIdentity, type Milliseconds, type StoredAnswer
} from '@wasabihead/coordination'
import type { SimulatedAnswer, SimulatedKeyValue, VirtualTime } from '@wasabihead/experiments'

const HEAD_KEY = 'head'

/** What an instance reaches outside of itself. */
export interface ClaimSurroundings {
  time: VirtualTime
  keyValue: SimulatedKeyValue
  /** Whether the instance freezes before it performs the next effect. */
  freezes (): boolean
  /** Sends a call to the instance that this one believes is the owner; nothing comes back when it is lost. */
  callOwner (from: ClaimInstance, call: ClaimRequest | ClaimReport, answered: (reply: ClaimReply) => void): void
  /** Calls the service; the answer may never come. */
  callService (from: ClaimInstance, claim: ClaimRequest, ended: (end: CallEnd) => void): void
  createAttempt (request: ClaimRequest, rules: AttemptRules): ClaimedAttempt
  /** Asks a claim's executor; `denied` is called only if it has no such attempt. */
  askExecutor (from: ClaimInstance, claim: Claim, denied: () => void): void
  accepted (claim: ClaimRequest): void
}

/** One instance. */
export class ClaimInstance {
  isAlive = true
  isFrozen = false
  believedOwner = ''
  live: readonly InstanceIdentity[] = []
  private readonly _held: Array<() => void> = []
  private readonly _replies = new Map<number, (reply: ClaimReply) => void>()
  private readonly _attempts = new Map<string, ClaimedAttempt>()
  private _nextCallId = 1

  constructor (
    readonly identity: InstanceIdentity,
    private readonly _shard: ClaimShard,
    private readonly _clockSkew: Milliseconds,
    private readonly _around: ClaimSurroundings
  ) {}

  /** The wall clock of this host. */
  get wall (): Milliseconds {
    return this._around.time.now + this._clockSkew
  }

  /** Runs a step of the loop; a frozen instance runs it when it thaws, a dead one never. */
  step (perform: () => void): void {
    if (!this.isAlive) return
    if (this.isFrozen) this._held.push(perform)
    else perform()
  }

  /** Goes on with everything that waited. */
  thaw (): void {
    this.isFrozen = false
    for (const perform of this._held.splice(0)) this.step(perform)
  }

  /** Tells the shard the members as believed, and takes over where this instance believes itself the owner. */
  tick (): void {
    if (this.believedOwner === this.identity.host) this._tell({ kind: 'take-over' })
    this._tell({ kind: 'tick', wall: this.wall, live: this.live })
  }

  /** Serves a claim or report of any instance as the believed owner. */
  serve (call: ClaimRequest | ClaimReport, answered: (reply: ClaimReply) => void): void {
    const callId = this._nextCallId++
    this._replies.set(callId, answered)
    if (this.believedOwner === this.identity.host) this._tell({ kind: 'take-over' })
    this._tell('executor' in call ? { kind: 'claim', callId, request: call } : { kind: 'report', callId, report: call })
  }

  /** Whether this instance has no such attempt. */
  denies (claim: Claim): boolean {
    return claim.executor.incarnation === this.identity.incarnation && !this._attempts.has(claim.attemptToken)
  }

  /** Resolves a claim on an operator's word. */
  resolve (resolution: Extract<ClaimMessage, { kind: 'resolve' }>['resolution']): void {
    this._tell({ kind: 'resolve', callId: this._nextCallId++, resolution })
  }

  /** Runs one request of a caller. */
  run (claim: ClaimRequest, deadline: Milliseconds, answered: (outcome: AttemptOutcome) => void): void {
    this._begin(claim, deadline, { kind: 'start' }, answered)
  }

  private _begin (
    claim: ClaimRequest, deadline: Milliseconds, first: AttemptMessage, answered: (outcome: AttemptOutcome) => void
  ): void {
    const attempt = this._around.createAttempt(claim, { deadline, isResendable: false })
    this._attempts.set(claim.attemptToken, attempt)
    const tell = (message: AttemptMessage): void => {
      for (const effect of attempt.handle(message, this._around.time.now)) {
        this._freezeMaybe()
        this.step(() => { this._performAttempt(effect, claim, tell, answered) })
      }
    }
    tell(first)
    this._after(deadline - this._around.time.now, () => { tell({ kind: 'deadline-reached' }) })
  }

  private _performAttempt (
    effect: AttemptEffect, claim: ClaimRequest, tell: (message: AttemptMessage) => void,
    answered: (outcome: AttemptOutcome) => void
  ): void {
    switch (effect.kind) {
      case 'claim':
        return this._around.callOwner(this, effect.request, reply => {
          if (reply.kind === 'granted') this._around.accepted(claim)
          tell({ kind: 'claim-replied', reply })
        })
      case 'report': return this._around.callOwner(this, effect.report, reply => { tell({ kind: 'report-replied', reply }) })
      case 'send': return this._around.callService(this, claim, end => { tell({ kind: 'call-ended', end }) })
      case 'store-answer':
        return this._storeChunks(effect.storedAnswer, effect.chunks, isWhole => { tell({ kind: 'answer-stored', isWhole }) })
      case 'read-answer': return this._readChunks(effect.storedAnswer, [], tell)
      case 'remove-answer': return this._removeChunks(effect.storedAnswer)
      case 'send-after':
      case 'store-after':
      case 'report-after': return this._after(effect.delay, () => { tell({ kind: 'delay-over' }) })
      case 'answer': return answered(effect.outcome)
      case 'end': this._attempts.delete(claim.attemptToken)
    }
  }

  private _tell (message: ClaimMessage): void {
    for (const effect of this._shard.handle(message, this._around.time.now)) {
      this._freezeMaybe()
      this.step(() => { this._performShard(effect) })
    }
  }

  private _performShard (effect: ClaimEffect): void {
    const { keyValue } = this._around
    switch (effect.kind) {
      case 'reply': return this._reply(effect.callId, effect.reply)
      case 'wake-after': return this._after(effect.delay, () => { this._tell({ kind: 'wake' }) })
      case 'ask-executor':
        return this._around.askExecutor(this, effect.claim, () => {
          this._tell({ kind: 'attempt-denied', attemptToken: effect.claim.attemptToken })
        })
      case 'run-durable': return this._resume(effect.claim)
      case 'read-head':
        return keyValue.read(HEAD_KEY, this._answer(value => value === undefined
          ? { kind: 'head-read', head: undefined, revision: ABSENT_REVISION }
          : { kind: 'head-read', head: shardHeadSchema.parse(JSON.parse(value.value)), revision: value.revision },
        { kind: 'head-read-failed' }))
      case 'write-head':
        return keyValue.compareAndSwap(
          { key: HEAD_KEY, value: JSON.stringify(effect.head), expectedRevision: effect.expectedRevision },
          this._answer(outcome => outcome.kind === 'won'
            ? { kind: 'head-written', revision: outcome.revision }
            : { kind: 'head-write-ambiguous' }, { kind: 'head-write-ambiguous' }))
      case 'read-segment':
        return keyValue.read(effect.name, this._answer(value => ({ kind: 'segment-read', name: effect.name, text: value?.value }),
          { kind: 'segment-read-failed', name: effect.name }))
      case 'write-segment':
        return keyValue.compareAndSwap({ key: effect.name, value: effect.text, expectedRevision: ABSENT_REVISION },
          this._answer(() => ({ kind: 'segment-written', name: effect.name }), { kind: 'segment-write-failed', name: effect.name }))
      case 'remove-answer': return this._removeChunks(effect.storedAnswer)
      case 'remove-segment': return this._remove(effect.name)
    }
  }

  /** One chunk after the other, as the daemon does; the instance may freeze or die between any two. */
  private _storeChunks (stored: StoredAnswer, chunks: readonly string[], ended: (isWhole: boolean) => void, index = 0): void {
    const value = chunks[index]
    if (value === undefined) return ended(true)
    this._around.keyValue.compareAndSwap({ key: chunkKey(stored, index), value, expectedRevision: ABSENT_REVISION }, answer => {
      this._freezeMaybe()
      this.step(() => {
        if (answer.kind === 'answered') this._storeChunks(stored, chunks, ended, index + 1)
        else ended(false)
      })
    })
  }

  private _readChunks (stored: StoredAnswer, chunks: Array<string | undefined>, tell: (message: AttemptMessage) => void): void {
    if (chunks.length === stored.chunkCount) return tell({ kind: 'answer-read', answer: joinAnswer(stored, chunks) })
    this._around.keyValue.read(chunkKey(stored, chunks.length), answer => {
      this.step(() => {
        if (answer.kind === 'answered') this._readChunks(stored, [...chunks, answer.value?.value], tell)
        else tell({ kind: 'answer-read-failed' })
      })
    })
  }

  private _removeChunks (stored: StoredAnswer): void {
    for (let index = 0; index < stored.chunkCount; index++) this._remove(chunkKey(stored, index))
  }

  private _remove (name: string): void {
    this._around.keyValue.read(name, answer => {
      if (answer.kind !== 'answered' || answer.value === undefined) return
      const { revision } = answer.value
      this.step(() => { this._around.keyValue.remove(name, revision, () => {}) })
    })
  }

  private _resume (claim: Claim): void {
    this._begin(claim, Infinity, { kind: 'resume' }, () => {})
  }

  private _reply (callId: number, reply: ClaimReply): void {
    this._replies.get(callId)?.(reply)
    this._replies.delete(callId)
  }

  private _answer<Value> (
    toMessage: (value: Value) => ClaimMessage, failed: ClaimMessage
  ): (answer: SimulatedAnswer<Value>) => void {
    return answer => {
      this.step(() => { this._tell(answer.kind === 'answered' ? toMessage(answer.value) : failed) })
    }
  }

  private _after (delay: Milliseconds, perform: () => void): void {
    if (delay !== Infinity) this._around.time.after(delay, () => { this.step(perform) })
  }

  private _freezeMaybe (): void {
    if (!this.isFrozen && this._around.freezes()) this.isFrozen = true
  }
}

function chunkKey (stored: StoredAnswer, index: number): string {
  return `answer/${stored.name}/${index}`
}
