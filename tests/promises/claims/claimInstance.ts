/** One instance of the claim log in virtual time. It runs the real decision code and can freeze between any two steps. */
import {
  ABSENT_REVISION, joinAnswer, shardHeadSchema,
  type AttemptEffect, type AttemptMessage, type AttemptOutcome, type AttemptRules, type CallEnd, type Claim,
  type ClaimedAttempt, type ClaimEffect, type ClaimMessage, type ClaimReply, type ClaimReport, type ClaimRequest,
  type ClaimShard, type InstanceIdentity, type Milliseconds, type StoredAnswer
} from '@wasabihead/coordination'
import type { SimulatedAnswer, SimulatedKeyValue, VirtualTime } from '@wasabihead/experiments'

const HEAD_KEY = 'head'

/** The clock, services and peers that an instance uses. */
export interface ClaimInstanceDependencies {
  time: VirtualTime
  keyValue: SimulatedKeyValue
  /** Decides whether the instance freezes before it performs the next effect. */
  shouldFreeze (): boolean
  /** Sends a call to the instance that `from` assumes to be the owner of the shard. */
  callOwner (from: ClaimInstance, call: ClaimRequest | ClaimReport, answered: (reply: ClaimReply) => void): void
  /** Calls the service; `ended` may never be called. */
  callService (from: ClaimInstance, claim: ClaimRequest, ended: (end: CallEnd) => void): void
  createAttempt (request: ClaimRequest, rules: AttemptRules): ClaimedAttempt
  /** Asks the executor of a claim; `denied` is called only if the executor answers that it has no such attempt. */
  askExecutor (from: ClaimInstance, claim: Claim, denied: () => void): void
  onAccepted (claim: ClaimRequest): void
}

/** One instance: a claim shard, and the attempts that run here. */
export class ClaimInstance {
  isAlive = true
  isFrozen = false
  assumedOwner = ''
  live: readonly InstanceIdentity[] = []
  private readonly _deferred: Array<() => void> = []
  private readonly _replies = new Map<number, (reply: ClaimReply) => void>()
  private readonly _attempts = new Map<string, ClaimedAttempt>()
  private _nextCallId = 1

  constructor (
    readonly identity: InstanceIdentity,
    private readonly _shard: ClaimShard,
    private readonly _clockSkew: Milliseconds,
    private readonly _dependencies: ClaimInstanceDependencies
  ) {}

  /** The wall clock of this host: virtual time plus its skew. */
  get wallClock (): Milliseconds {
    return this._dependencies.time.now + this._clockSkew
  }

  /** Performs a step of the event loop: a frozen instance defers it until it thaws, a dead one drops it. */
  step (perform: () => void): void {
    if (!this.isAlive) return
    if (this.isFrozen) this._deferred.push(perform)
    else perform()
  }

  /** Resumes the instance and performs the deferred steps in their order. */
  thaw (): void {
    this.isFrozen = false
    for (const perform of this._deferred.splice(0)) this.step(perform)
  }

  /** Sends the shard the members observed as live; takes the shard over first if this instance assumes that it owns it. */
  tick (): void {
    if (this.assumedOwner === this.identity.host) this._sendToShard({ kind: 'take-over' })
    this._sendToShard({ kind: 'tick', wall: this.wallClock, live: this.live })
  }

  /** Handles a claim or report of any instance that assumes this one to be the owner. */
  serve (call: ClaimRequest | ClaimReport, answered: (reply: ClaimReply) => void): void {
    const callId = this._nextCallId++
    this._replies.set(callId, answered)
    if (this.assumedOwner === this.identity.host) this._sendToShard({ kind: 'take-over' })
    this._sendToShard('executor' in call ? { kind: 'claim', callId, request: call } : { kind: 'report', callId, report: call })
  }

  /** Whether this incarnation executes the claim according to its record, but has no such attempt. */
  denies (claim: Claim): boolean {
    return claim.executor.incarnation === this.identity.incarnation && !this._attempts.has(claim.attemptToken)
  }

  /** Resolves a claim with the outcome that an operator states. */
  resolve (resolution: Extract<ClaimMessage, { kind: 'resolve' }>['resolution']): void {
    this._sendToShard({ kind: 'resolve', callId: this._nextCallId++, resolution })
  }

  /** Runs one request of a caller. */
  run (claim: ClaimRequest, deadline: Milliseconds, answered: (outcome: AttemptOutcome) => void): void {
    this._startAttempt(claim, deadline, { kind: 'start' }, answered)
  }

  private _startAttempt (
    claim: ClaimRequest, deadline: Milliseconds, first: AttemptMessage, answered: (outcome: AttemptOutcome) => void
  ): void {
    const attempt = this._dependencies.createAttempt(claim, { deadline, isResendable: false })
    this._attempts.set(claim.attemptToken, attempt)
    const sendToAttempt = (message: AttemptMessage): void => {
      for (const effect of attempt.handle(message, this._dependencies.time.now)) {
        this._maybeFreeze()
        this.step(() => { this._performAttempt(effect, claim, sendToAttempt, answered) })
      }
    }
    sendToAttempt(first)
    this._after(deadline - this._dependencies.time.now, () => { sendToAttempt({ kind: 'deadline-reached' }) })
  }

  private _performAttempt (
    effect: AttemptEffect, claim: ClaimRequest, sendToAttempt: (message: AttemptMessage) => void,
    answered: (outcome: AttemptOutcome) => void
  ): void {
    switch (effect.kind) {
      case 'claim':
        return this._dependencies.callOwner(this, effect.request, reply => {
          if (reply.kind === 'granted') this._dependencies.onAccepted(claim)
          sendToAttempt({ kind: 'claim-replied', reply })
        })
      case 'report': return this._dependencies.callOwner(this, effect.report, reply => { sendToAttempt({ kind: 'report-replied', reply }) })
      case 'send': return this._dependencies.callService(this, claim, end => { sendToAttempt({ kind: 'call-ended', end }) })
      case 'store-answer':
        return this._storeChunks(effect.storedAnswer, effect.chunks, isWhole => { sendToAttempt({ kind: 'answer-stored', isWhole }) })
      case 'read-answer': return this._readChunks(effect.storedAnswer, [], sendToAttempt)
      case 'remove-answer': return this._removeChunks(effect.storedAnswer)
      case 'send-after':
      case 'store-after':
      case 'report-after': return this._after(effect.delay, () => { sendToAttempt({ kind: 'delay-over' }) })
      case 'answer': return answered(effect.outcome)
      case 'end': this._attempts.delete(claim.attemptToken)
    }
  }

  private _sendToShard (message: ClaimMessage): void {
    for (const effect of this._shard.handle(message, this._dependencies.time.now)) {
      this._maybeFreeze()
      this.step(() => { this._performShard(effect) })
    }
  }

  private _performShard (effect: ClaimEffect): void {
    const { keyValue } = this._dependencies
    switch (effect.kind) {
      case 'reply': return this._reply(effect.callId, effect.reply)
      case 'wake-after': return this._after(effect.delay, () => { this._sendToShard({ kind: 'wake' }) })
      case 'ask-executor':
        return this._dependencies.askExecutor(this, effect.claim, () => {
          this._sendToShard({ kind: 'attempt-denied', attemptToken: effect.claim.attemptToken })
        })
      case 'run-durable': return this._resume(effect.claim)
      case 'read-head':
        return keyValue.read(HEAD_KEY, this._onAnswer(value => value === undefined
          ? { kind: 'head-read', head: undefined, revision: ABSENT_REVISION }
          : { kind: 'head-read', head: shardHeadSchema.parse(JSON.parse(value.value)), revision: value.revision },
        { kind: 'head-read-failed' }))
      case 'write-head':
        return keyValue.compareAndSwap(
          { key: HEAD_KEY, value: JSON.stringify(effect.head), expectedRevision: effect.expectedRevision },
          this._onAnswer(outcome => outcome.kind === 'won'
            ? { kind: 'head-written', revision: outcome.revision }
            : { kind: 'head-write-ambiguous' }, { kind: 'head-write-ambiguous' }))
      case 'read-segment':
        return keyValue.read(effect.name, this._onAnswer(value => ({ kind: 'segment-read', name: effect.name, text: value?.value }),
          { kind: 'segment-read-failed', name: effect.name }))
      case 'write-segment':
        return keyValue.compareAndSwap({ key: effect.name, value: effect.text, expectedRevision: ABSENT_REVISION },
          this._onAnswer(() => ({ kind: 'segment-written', name: effect.name }), { kind: 'segment-write-failed', name: effect.name }))
      case 'remove-answer': return this._removeChunks(effect.storedAnswer)
      case 'remove-segment': return this._remove(effect.name)
    }
  }

  /** Writes the chunks one after another, as the daemon does; the instance may freeze or die between any two. */
  private _storeChunks (stored: StoredAnswer, chunks: readonly string[], ended: (isWhole: boolean) => void, index = 0): void {
    const value = chunks[index]
    if (value === undefined) return ended(true)
    this._dependencies.keyValue.compareAndSwap({
      key: chunkKey(stored, index), value, expectedRevision: ABSENT_REVISION
    }, answer => {
      this._maybeFreeze()
      this.step(() => {
        if (answer.kind === 'answered') this._storeChunks(stored, chunks, ended, index + 1)
        else ended(false)
      })
    })
  }

  private _readChunks (
    stored: StoredAnswer, chunks: Array<string | undefined>, sendToAttempt: (message: AttemptMessage) => void
  ): void {
    if (chunks.length === stored.chunkCount) return sendToAttempt({ kind: 'answer-read', answer: joinAnswer(stored, chunks) })
    this._dependencies.keyValue.read(chunkKey(stored, chunks.length), answer => {
      this.step(() => {
        if (answer.kind === 'answered') this._readChunks(stored, [...chunks, answer.value?.value], sendToAttempt)
        else sendToAttempt({ kind: 'answer-read-failed' })
      })
    })
  }

  private _removeChunks (stored: StoredAnswer): void {
    for (let index = 0; index < stored.chunkCount; index++) this._remove(chunkKey(stored, index))
  }

  private _remove (name: string): void {
    this._dependencies.keyValue.read(name, answer => {
      if (answer.kind !== 'answered' || answer.value === undefined) return
      const { revision } = answer.value
      this.step(() => { this._dependencies.keyValue.remove(name, revision, () => {}) })
    })
  }

  private _resume (claim: Claim): void {
    this._startAttempt(claim, Infinity, { kind: 'resume' }, () => {})
  }

  private _reply (callId: number, reply: ClaimReply): void {
    this._replies.get(callId)?.(reply)
    this._replies.delete(callId)
  }

  private _onAnswer<Value> (
    toMessage: (value: Value) => ClaimMessage, failed: ClaimMessage
  ): (answer: SimulatedAnswer<Value>) => void {
    return answer => {
      this.step(() => { this._sendToShard(answer.kind === 'answered' ? toMessage(answer.value) : failed) })
    }
  }

  private _after (delay: Milliseconds, perform: () => void): void {
    if (delay !== Infinity) this._dependencies.time.after(delay, () => { this.step(perform) })
  }

  private _maybeFreeze (): void {
    if (!this.isFrozen && this._dependencies.shouldFreeze()) this.isFrozen = true
  }
}

function chunkKey (stored: StoredAnswer, index: number): string {
  return `answer/${stored.name}/${index}`
}
