/** Policies that are compared under overload. */
import { AdmissionQueue, type AdmissionEffect, type AdmissionMessage, type Milliseconds, type SeededRandom } from '@wasabihead/coordination'
import type { VirtualTime } from '../../simulation/index.js'
import { OverloadPolicy, type ReplayedAttempt } from './overloadReplay.js'

const PLAIN_RETRY_DELAY: Milliseconds = 100
const MAXIMUM_RUNNING = 256
const INITIAL_LIMIT = 32

/** Runs every attempt at once. An attempt that misses its deadline is retried, while the replicas continue the previous one. */
export class PlainRetryPolicy extends OverloadPolicy {
  readonly name = 'plain retry'

  constructor (private readonly _time: VirtualTime) {
    super()
  }

  override handleAttempt (attempt: ReplayedAttempt, run: (onDone: () => void) => () => void): void {
    run(() => { attempt.answer() })
    this._time.after(attempt.deadline - this._time.now, () => { attempt.refuse(PLAIN_RETRY_DELAY) })
  }
}

interface PendingAttempt {
  attempt: ReplayedAttempt
  run: (onDone: () => void) => () => void
}

/** Runs attempts as the admission queue admits them, and cancels those that miss their deadline on the replicas. */
export class AdmissionPolicy extends OverloadPolicy {
  readonly name = 'admission'
  private readonly _queue: AdmissionQueue
  private readonly _pendingAttempts = new Map<number, PendingAttempt>()
  private _wakeGeneration = 0

  constructor (private readonly _time: VirtualTime, random: SeededRandom) {
    super()
    this._queue = new AdmissionQueue({
      initialLimit: INITIAL_LIMIT, minimumLimit: 4, maximumLimit: MAXIMUM_RUNNING, maximumWaiting: 1_024, random
    })
  }

  override handleAttempt (attempt: ReplayedAttempt, run: (onDone: () => void) => () => void): void {
    const { workspace, requestClass } = attempt.request
    this._pendingAttempts.set(attempt.id, { attempt, run })
    const { id, deadline } = attempt
    const limits = { share: 1, maximumConcurrent: MAXIMUM_RUNNING }
    this._handle({ kind: 'enter', entry: { id, workspace, requestClass, requestKind: requestClass, deadline, ...limits } })
  }

  private _handle (message: AdmissionMessage): void {
    for (const effect of this._queue.handle(message, this._time.now)) this._perform(effect)
  }

  private _perform (effect: AdmissionEffect): void {
    if (effect.kind === 'wake-at') {
      const generation = ++this._wakeGeneration
      this._time.after(effect.at - this._time.now + 1, () => {
        if (generation === this._wakeGeneration) this._handle({ kind: 'wake' })
      })
      return
    }
    const pending = this._pendingAttempts.get(effect.id)
    this._pendingAttempts.delete(effect.id)
    if (effect.kind === 'refuse') pending?.attempt.refuse(effect.refusal.retryAfter ?? 0)
    else if (pending !== undefined) this._run(pending)
  }

  private _run ({ attempt, run }: PendingAttempt): void {
    const { id } = attempt
    let isOver = false
    const cancel = run(() => {
      isOver = true
      attempt.answer()
      this._handle({ kind: 'leave', id, outcome: 'answered' })
    })
    this._time.after(attempt.deadline - this._time.now, () => {
      if (isOver) return
      cancel()
      attempt.refuse(PLAIN_RETRY_DELAY)
      this._handle({ kind: 'leave', id, outcome: 'overloaded' })
    })
  }
}
