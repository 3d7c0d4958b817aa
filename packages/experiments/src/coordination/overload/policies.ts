/** The policies that are compared under overload. */
import { AdmissionQueue, type AdmissionEffect, type AdmissionMessage, type Milliseconds, type SeededRandom } from '@wasabihead/coordination'
import type { VirtualTime } from '../../simulation/index.js'
import { OverloadPolicy, type ReplayedTry } from './overloadReplay.js'

const PLAIN_RETRY_DELAY: Milliseconds = 100
const MAXIMUM_RUNNING = 256
const INITIAL_LIMIT = 32

/** Sends every try to the replicas; a try that misses its deadline is sent again, and the old work goes on. */
export class PlainRetryPolicy extends OverloadPolicy {
  readonly name = 'plain retry'

  constructor (private readonly _time: VirtualTime) {
    super()
  }

  override take (attempt: ReplayedTry, run: (onDone: () => void) => () => void): void {
    run(() => { attempt.answer() })
    this._time.after(attempt.deadline - this._time.now, () => { attempt.refuse(PLAIN_RETRY_DELAY) })
  }
}

interface TakenTry {
  attempt: ReplayedTry
  run: (onDone: () => void) => () => void
}

/** Drives the admission decisions; what misses its deadline is cancelled on the replicas. */
export class AdmissionPolicy extends OverloadPolicy {
  readonly name = 'admission'
  private readonly _queue: AdmissionQueue
  private readonly _tries = new Map<number, TakenTry>()
  private _wakeGeneration = 0

  constructor (private readonly _time: VirtualTime, random: SeededRandom) {
    super()
    this._queue = new AdmissionQueue({
      initialLimit: INITIAL_LIMIT, minimumLimit: 4, maximumLimit: MAXIMUM_RUNNING, maximumWaiting: 1_024, random
    })
  }

  override take (attempt: ReplayedTry, run: (onDone: () => void) => () => void): void {
    const { workspace, requestClass } = attempt.request
    this._tries.set(attempt.id, { attempt, run })
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
    const taken = this._tries.get(effect.id)
    this._tries.delete(effect.id)
    if (effect.kind === 'refuse') taken?.attempt.refuse(effect.refusal.retryAfter ?? 0)
    else if (taken !== undefined) this._run(taken)
  }

  private _run ({ attempt, run }: TakenTry): void {
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
