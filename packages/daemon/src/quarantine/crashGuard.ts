/** Stands beside the run of one prompt: asks for leave before each attempt, and tells crashes and whole runs. */
import { RefusalError, MAXIMUM_TRIAL_DURATION, type Milliseconds, type QuarantineSubject } from '@wasabihead/coordination'
import type { EngineReplica } from '../backends/index.js'
import type { Clock } from '../instance/clock.js'
import type { QuarantineKeeper } from './quarantineKeeper.js'

const PROBE_TIMEOUT: Milliseconds = 1_000

/** Guards one run. */
export class CrashGuard {
  private _token: string | undefined
  private _trialEndsAt: Milliseconds = Infinity
  private _confirming: Promise<void> = Promise.resolve()
  private _isClosed = false

  constructor (
    private readonly _keeper: QuarantineKeeper, private readonly _subject: QuarantineSubject, private readonly _clock: Clock
  ) {}

  /** Waits until it is known whether the last attempt crashed its replica, then asks for leave; a refusal or undefined. */
  async admit (): Promise<RefusalError | undefined> {
    await this.settle()
    await this._endTrial(false)
    const askedAt = this._clock.monotonic()
    const permit = await this._keeper.admit(this._subject)
    if (permit.isErr) return permit.error
    this._token = permit.value.token
    this._trialEndsAt = this._token === undefined ? Infinity : askedAt + MAXIMUM_TRIAL_DURATION
    if (this._isClosed) await this._endTrial(false)
    return undefined
  }

  /** When the trial must be over; infinite where the run is no trial. Looked at once more just before sending. */
  get trialEndsAt (): Milliseconds {
    return this._trialEndsAt
  }

  /** Takes a broken stream: a crash if the replica does not answer on a new connection, or as another incarnation. */
  noteBroken (replica: EngineReplica, incarnation: number): void {
    const isTrial = this._token !== undefined
    this._confirming = this._confirming.then(async () => {
      const state = await replica.engine.probe(PROBE_TIMEOUT)
      const isSameRun = state.isOk && (incarnation === 0 || state.value.incarnation === incarnation)
      if (!isSameRun) await this._keeper.noteCrash(this._subject, isTrial)
    }).catch(() => {})
  }

  /** Takes a silent stream whose replica failed the probe on a new connection. */
  noteSilent (): void {
    const isTrial = this._token !== undefined
    this._confirming = this._confirming.then(async () => { await this._keeper.noteCrash(this._subject, isTrial) }).catch(() => {})
  }

  /** Waits until crashes are confirmed and the first peers know them; bounded by the probe. */
  async settle (): Promise<void> {
    await this._confirming
  }

  /** Ends the run; used once. */
  async close (isWhole: boolean): Promise<void> {
    this._isClosed = true
    await this.settle()
    await this._endTrial(isWhole)
  }

  private async _endTrial (isWhole: boolean): Promise<void> {
    const token = this._token
    this._token = undefined
    if (token !== undefined) await this._keeper.endTrial(this._subject, token, isWhole)
  }
}
