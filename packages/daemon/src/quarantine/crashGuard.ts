/** Guards the run of one prompt: requests a permit before each attempt, and reports crashes and completed runs. */
import { RefusalError, MAXIMUM_TRIAL_DURATION, type Milliseconds, type QuarantineSubject } from '@wasabihead/coordination'
import type { EngineReplica } from '../backends/index.js'
import type { Clock } from '../instance/clock.js'
import type { QuarantineController } from './quarantineController.js'

const PROBE_TIMEOUT: Milliseconds = 1_000

/** Quarantine of one run. Call `admit` before each attempt and `close` once at the end. */
export class CrashGuard {
  private _token: string | undefined
  private _trialEndsAt: Milliseconds = Infinity
  private _confirmation: Promise<void> = Promise.resolve()
  private _isClosed = false

  constructor (
    private readonly _controller: QuarantineController,
    private readonly _subject: QuarantineSubject,
    private readonly _clock: Clock
  ) {}

  /** Waits until it is known whether the last attempt crashed its replica, then requests a permit. Undefined if admitted. */
  async admit (): Promise<RefusalError | undefined> {
    await this.settle()
    await this._endTrial(false)
    const askedAt = this._clock.monotonic()
    const permit = await this._controller.admit(this._subject)
    if (permit.isErr) return permit.error
    this._token = permit.value.token
    this._trialEndsAt = this._token === undefined ? Infinity : askedAt + MAXIMUM_TRIAL_DURATION
    if (this._isClosed) await this._endTrial(false)
    return undefined
  }

  /** Monotonic time by which the trial must end; infinite if the run is not a trial. Checked again just before sending. */
  get trialEndsAt (): Milliseconds {
    return this._trialEndsAt
  }

  /** Handles a broken stream. It is a crash if a probe on a new connection fails or finds another incarnation (0: any). */
  onStreamBroken (replica: EngineReplica, incarnation: number): void {
    const isTrial = this._token !== undefined
    this._confirmation = this._confirmation.then(async () => {
      const state = await replica.engine.probe(PROBE_TIMEOUT)
      const isSameRun = state.isOk && (incarnation === 0 || state.value.incarnation === incarnation)
      if (!isSameRun) await this._controller.recordCrash(this._subject, isTrial)
    }).catch(() => {})
  }

  /** Handles a silent stream whose replica failed the probe on a new connection, which counts as a crash. */
  onStreamSilent (): void {
    const isTrial = this._token !== undefined
    this._confirmation = this._confirmation
      .then(async () => { await this._controller.recordCrash(this._subject, isTrial) }).catch(() => {})
  }

  /** Waits until crashes are confirmed and sent to the first peers; bounded by the probe's timeout. */
  async settle (): Promise<void> {
    await this._confirmation
  }

  /** Ends the run, and its trial if it is one. Called once. */
  async close (isCompleted: boolean): Promise<void> {
    this._isClosed = true
    await this.settle()
    await this._endTrial(isCompleted)
  }

  private async _endTrial (isCompleted: boolean): Promise<void> {
    const token = this._token
    this._token = undefined
    if (token !== undefined) await this._controller.endTrial(this._subject, token, isCompleted)
  }
}
