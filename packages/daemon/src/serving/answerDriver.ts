/** Performs the effects of an `AnswerRun`: streams, timers, probes and cancellations. */
import { Result } from 'true-myth'
import { v4 as createNonce } from 'uuid'
import {
  PlatformRefusedError, RefusalError, WeightVersionRefusedError,
  type AnswerEnd, type AnswerRun, type AnswerRunEffect, type AnswerRunMessage, type AttemptFailure, type EngineRequest,
  type Milliseconds, type OrderedPart
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { CrashGuard } from '../quarantine/index.js'
import type { PlacedPrompt, PreparedReplica, PromptPlacer } from './promptPlacer.js'
import type { ReplicaProber } from './replicaProber.js'

const TRIAL_RETRY_AFTER: Milliseconds = 2_000

/** The result of a run that completed. */
export interface DrivenAnswer {
  end: AnswerEnd
  weightVersion: string
  replica: string
  importedBlocks: number
}

/** Dependencies of the driver; `guard`, `deliver` and `onAttemptFailed` belong to one run. */
export interface AnswerDriverDependencies {
  placer: PromptPlacer
  prober: ReplicaProber
  guard: CrashGuard
  clock: Clock
  activeWeightVersion: () => string
  deliver: (part: OrderedPart) => void
  onAttemptFailed: (replica: string, attempt: number, problem: string) => void
}

/** An engine request without the fields that differ between attempts. */
export type EngineRequestTemplate = Omit<EngineRequest, 'nonce' | 'weightVersion' | 'blockKeys' | 'resumeAfterTokens'>

type EffectOf<Kind extends AnswerRunEffect['kind']> = Extract<AnswerRunEffect, { kind: Kind }>

interface RunningAttempt {
  prepared: PreparedReplica
  /** Last observed incarnation of the replica when the attempt began; 0 if it is unknown. */
  incarnation: number
  aborter: AbortController
}

/** Drives a single run; `drive` is called once. */
export class AnswerDriver {
  private readonly _attempts = new Map<number, RunningAttempt>()
  private _timer: NodeJS.Timeout | undefined
  private _trialTimer: NodeJS.Timeout | undefined
  private _isWhole = false
  private _importedBlocks = 0
  private _resolve: (result: Result<DrivenAnswer, RefusalError>) => void = () => {}

  constructor (
    private readonly _run: AnswerRun,
    private readonly _prompt: PlacedPrompt,
    private readonly _requestTemplate: EngineRequestTemplate,
    private readonly _dependencies: AnswerDriverDependencies
  ) {}

  /** Resolves to the whole answer or a refusal. The signal is aborted when the caller disconnects. */
  async drive (signal: AbortSignal): Promise<Result<DrivenAnswer, RefusalError>> {
    const onAbort = () => { this._handle({ kind: 'caller-left' }) }
    try {
      return await new Promise<Result<DrivenAnswer, RefusalError>>(resolve => {
        this._resolve = resolve
        signal.addEventListener('abort', onAbort, { once: true })
        this._handle(signal.aborted ? { kind: 'caller-left' } : { kind: 'start' })
      })
    } finally {
      signal.removeEventListener('abort', onAbort)
      clearTimeout(this._timer)
      clearTimeout(this._trialTimer)
      // Other hosts are notified of a crash in the background, so that a refusal does not wait for them.
      this._dependencies.guard.close(this._isWhole).catch(() => {})
      for (const attempt of this._attempts.keys()) this._release(attempt)
    }
  }

  private _handle (message: AnswerRunMessage): void {
    for (const effect of this._run.handle(message, this._dependencies.clock.monotonic())) this._perform(effect)
  }

  private _perform (effect: AnswerRunEffect): void {
    switch (effect.kind) {
      case 'prepare-attempt': return this._prepare(effect)
      case 'open-stream': return this._open(effect)
      case 'deliver': return this._dependencies.deliver(effect.part)
      case 'cancel-attempt': return this._cancel(effect)
      case 'probe': return this._probe(effect)
      case 'drop-connections': return
      case 'mark-failed': return this._fail(effect)
      case 'wake-at': return this._wakeAt(effect.at)
      case 'finish': return this._finish(effect)
      case 'refuse': return this._resolve(Result.err(effect.refusal))
    }
  }

  private _prepare ({ attempt, weightVersion, excludedReplicas }: EffectOf<'prepare-attempt'>): void {
    this._releaseBefore(attempt)
    this._admitAndPlace(attempt, weightVersion, excludedReplicas).then(
      prepared => { this._onPrepared(attempt, prepared) },
      () => { this._onPrepared(attempt, undefined) })
  }

  /** Undefined if no replica accepts work or the run has ended; a request that may not run is refused at once. */
  private async _admitAndPlace (
    attempt: number, weightVersion: string, excludedReplicas: ReadonlySet<string>
  ): Promise<PreparedReplica | undefined> {
    const refusal = await this._dependencies.guard.admit()
    if (refusal !== undefined) this._handle({ kind: 'forbidden', attempt, refusal })
    if (this._run.isEnded) return undefined
    this._scheduleTrialEnd(attempt)
    return await this._dependencies.placer.prepare({ ...this._prompt, weightVersion }, excludedReplicas)
  }

  private _scheduleTrialEnd (attempt: number): void {
    clearTimeout(this._trialTimer)
    const { trialEndsAt } = this._dependencies.guard
    if (trialEndsAt === Infinity) return
    const delay = Math.max(0, trialEndsAt - this._dependencies.clock.monotonic())
    this._trialTimer = setTimeout(() => { this._forbidLateTrial(attempt) }, delay)
  }

  private _forbidLateTrial (attempt: number): void {
    const refusal = new RefusalError('quarantined', 503, true, 'The trial of this request took too long',
      'Retry after the given delay', TRIAL_RETRY_AFTER)
    this._handle({ kind: 'forbidden', attempt, refusal })
  }

  private _onPrepared (attempt: number, prepared: PreparedReplica | undefined): void {
    const activeWeightVersion = this._dependencies.activeWeightVersion()
    if (prepared === undefined) return this._handle({ kind: 'no-replica', attempt, activeWeightVersion })
    this._importedBlocks += prepared.importedBlocks
    const replica = prepared.replica.configuration.name
    this._attempts.set(attempt, { prepared, incarnation: prepared.incarnation, aborter: new AbortController() })
    this._handle({ kind: 'attempt-prepared', attempt, nonce: createNonce(), replica, activeWeightVersion })
    // The run may have started another attempt or ended while the replica was prepared.
    if (this._run.isEnded) this._release(attempt)
  }

  private _open (effect: EffectOf<'open-stream'>): void {
    const { attempt } = effect
    const running = this._attempts.get(attempt)
    if (running === undefined) return
    // An instance that was suspended may resume here after another one has taken over the trial.
    if (this._dependencies.clock.monotonic() >= this._dependencies.guard.trialEndsAt) return this._forbidLateTrial(attempt)
    this._stream(running, effect).then(
      () => { this._handle({ kind: 'attempt-ended', attempt }) },
      (error: unknown) => {
        const failure = classifyFailure(error)
        if (this._attempts.has(attempt)) this._recordFailure(running, attempt, failure, error)
        this._handle({ kind: 'attempt-ended', attempt, failure })
      })
  }

  private _recordFailure (running: RunningAttempt, attempt: number, failure: AttemptFailure, error: unknown): void {
    this._dependencies.onAttemptFailed(running.prepared.replica.configuration.name, attempt, String(error))
    // A stream that this run aborted is no evidence against the replica.
    if (failure !== 'broken' || running.aborter.signal.aborted) return
    this._dependencies.guard.onStreamBroken(running.prepared.replica, running.incarnation)
  }

  private async _stream (running: RunningAttempt, effect: EffectOf<'open-stream'>): Promise<void> {
    const parts = running.prepared.replica.engine.run({
      ...this._requestTemplate,
      nonce: effect.nonce,
      weightVersion: effect.weightVersion,
      blockKeys: running.prepared.blockKeys,
      resumeAfterTokens: effect.resumeAfterTokens
    }, running.aborter.signal)
    for await (const part of parts) this._handle({ kind: 'part', attempt: effect.attempt, part })
  }

  private _cancel ({ attempt, nonce }: EffectOf<'cancel-attempt'>): void {
    const running = this._attempts.get(attempt)
    if (running === undefined) return
    running.aborter.abort()
    running.prepared.replica.engine.cancel(nonce).catch(() => {})
  }

  private _probe ({ attempt, replica, timeout }: EffectOf<'probe'>): void {
    const running = this._attempts.get(attempt)
    if (running === undefined) return
    this._dependencies.onAttemptFailed(replica, attempt, 'no progress within the idle timeout; probing on a new connection')
    this._dependencies.prober.probe(running.prepared.replica, timeout).then(
      isAnswered => {
        if (!isAnswered) this._dependencies.guard.onStreamSilent()
        this._handle({ kind: 'probe-ended', attempt, isAnswered })
      },
      () => { this._handle({ kind: 'probe-ended', attempt, isAnswered: false }) })
  }

  private _fail ({ attempt }: EffectOf<'mark-failed'>): void {
    const running = this._attempts.get(attempt)
    if (running === undefined) return
    this._attempts.delete(attempt)
    this._dependencies.placer.fail(running.prepared)
  }

  private _release (attempt: number): void {
    const running = this._attempts.get(attempt)
    if (running === undefined) return
    this._attempts.delete(attempt)
    running.aborter.abort()
    this._dependencies.placer.release(running.prepared)
  }

  private _releaseBefore (attempt: number): void {
    for (const earlier of this._attempts.keys()) {
      if (earlier < attempt) this._release(earlier)
    }
  }

  private _wakeAt (at: Milliseconds): void {
    clearTimeout(this._timer)
    const delay = Math.max(0, Math.ceil(at - this._dependencies.clock.monotonic()))
    this._timer = setTimeout(() => { this._handle({ kind: 'wake' }) }, delay)
  }

  private _finish ({ replica, weightVersion, end }: EffectOf<'finish'>): void {
    for (const [attempt, { prepared }] of this._attempts) {
      if (prepared.replica.configuration.name !== replica) continue
      this._attempts.delete(attempt)
      this._dependencies.placer.finish({ ...this._prompt, weightVersion }, prepared)
    }
    this._isWhole = true
    this._resolve(Result.ok({ end, weightVersion, replica, importedBlocks: this._importedBlocks }))
  }
}

function classifyFailure (error: unknown): AttemptFailure {
  if (error instanceof WeightVersionRefusedError) return 'version-refused'
  return error instanceof PlatformRefusedError ? 'not-sent' : 'broken'
}
