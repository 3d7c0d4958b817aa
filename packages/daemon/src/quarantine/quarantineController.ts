/** Records which requests crash replicas: sends the entries to peers, stores them, and acquires trials for suspect requests. */
import { v4 as createToken } from 'uuid'
import { Result } from 'true-myth'
import {
  endTrial, firstByRendezvous, mergeRecord, QuarantineTable, RefusalError, TrialPlanner,
  type Member, type MemberTable, type Milliseconds, type QuarantineEntry, type QuarantineRecord, type QuarantineSubject,
  type SeededRandom
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { Logger } from '../telemetry/index.js'
import type { QuarantinePeerClient } from './quarantinePeers.js'
import type { QuarantineStore } from './quarantineStore.js'

const FAN_OUT = 4
const TICK_INTERVAL: Milliseconds = 1_000
const LIST_INTERVAL: Milliseconds = 60_000
const BUSY_RETRY_AFTER: Milliseconds = 2_000
const MAXIMUM_WRITE_ATTEMPTS = 4

/** Dependencies of the controller. */
export interface QuarantineControllerDependencies {
  store: QuarantineStore
  peers: QuarantinePeerClient
  members: MemberTable
  clock: Clock
  random: SeededRandom
  logger: Logger
}

/** Permits a request to run: without restriction, or as the only trial of its model. */
export interface RunPermit {
  /** The trial's token; absent if the run is not a trial. */
  token?: string
}

/** Runs the quarantine of one instance. */
export class QuarantineController {
  private readonly _table = new QuarantineTable()
  private readonly _trialPlanner = new TrialPlanner()
  private readonly _runningTrials = new Map<string, string>()
  private readonly _pendingWrites = new Map<string, string | undefined>()
  private _timer: NodeJS.Timeout | undefined
  private _nextListAt: Milliseconds = 0
  private _hasInitialEntries = false

  constructor (private readonly _dependencies: QuarantineControllerDependencies) {}

  /** Suspect and quarantined requests. */
  get entries (): QuarantineEntry[] {
    return this._table.entries
  }

  /** All entries, including those of cleared requests. */
  get allEntries (): QuarantineEntry[] {
    return this._table.allEntries
  }

  /** The entry of a request; undefined if there is none. */
  find (fingerprint: string): QuarantineEntry | undefined {
    return this._table.find(fingerprint)
  }

  /** Reads the records once and starts the periodic updates. If the service is down, the read is retried on the ticks. */
  async start (): Promise<void> {
    await this._list()
    await this._fetchInitialEntries()
    this._timer = setInterval(() => { this._tick().catch(() => {}) }, TICK_INTERVAL)
  }

  /** Stops the periodic updates. */
  stop (): void {
    clearInterval(this._timer)
  }

  /** Merges entries received from a peer; changes are sent on at once. */
  receive (entries: readonly QuarantineEntry[]): void {
    if (this._table.merge(entries)) this._sendUpdates().catch(() => {})
  }

  /** Decides whether the request may run now. For each permit with a token, the caller calls `endTrial`. */
  async admit (subject: QuarantineSubject): Promise<Result<RunPermit, RefusalError>> {
    const entry = this._table.find(subject.fingerprint)
    if (entry === undefined || entry.state === 'cleared') return Result.ok({})
    if (entry.state === 'quarantined') return Result.err(quarantinedRefusal())
    if (this._runningTrials.has(subject.model)) return Result.err(suspectRefusal(BUSY_RETRY_AFTER))
    const token = createToken()
    this._runningTrials.set(subject.model, token)
    const permit = await this._requestTrial(entry, token)
    if (permit.isErr) this._runningTrials.delete(subject.model)
    return permit
  }

  /** Records the crash of a replica that ran the request. Resolves when the first peers have been sent the update. */
  async recordCrash (subject: QuarantineSubject, isTrial: boolean): Promise<void> {
    const { state } = this._table.onCrash(subject, isTrial, this._dependencies.clock.wall())
    const { workspace, kind, fingerprint } = subject
    this._dependencies.logger.warn('a replica crashed while it ran a request', {
      workspace, requestKind: kind, fingerprint, state
    })
    this._storeInBackground(subject.model)
    await this._sendUpdates()
  }

  /** Ends a trial that this instance holds. A completed run clears its request. */
  async endTrial (subject: QuarantineSubject, token: string, isCompleted: boolean): Promise<void> {
    if (isCompleted) this._table.onCompleted(subject, this._dependencies.clock.wall())
    if (this._runningTrials.get(subject.model) === token) this._runningTrials.delete(subject.model)
    this._pendingWrites.set(subject.model, token)
    this._storeInBackground(subject.model)
    await this._sendUpdates()
  }

  /** Lets a request run again. Returns false if the request is neither suspect nor quarantined. */
  release (fingerprint: string): boolean {
    const entry = this._table.release(fingerprint, this._dependencies.clock.wall())
    if (entry === undefined) return false
    this._storeInBackground(entry.model)
    this._sendUpdates().catch(() => {})
    return true
  }

  private async _requestTrial (entry: QuarantineEntry, token: string): Promise<Result<RunPermit, RefusalError>> {
    const { store, clock, members } = this._dependencies
    const stored = await store.read(entry.model)
    if (stored === undefined) return this._admitWithoutService(entry, token)
    this._table.merge(stored.record?.entries ?? [])
    const request = { entry: this._table.find(entry.fingerprint) ?? entry, token, holder: members.identity }
    const plan = this._trialPlanner.plan(stored.record, request, clock.monotonic(), clock.wall())
    if (plan.kind === 'busy') return Result.err(suspectRefusal(plan.retryAfter))
    if (plan.kind === 'settled') return this._applySettled(plan.entry)
    const end = await store.write(entry.model, plan.record, stored.revision)
    if (end !== 'won') return Result.err(suspectRefusal(BUSY_RETRY_AFTER))
    this._table.merge(plan.record.entries)
    return plan.isTrial ? Result.ok({ token }) : Result.err(quarantinedRefusal())
  }

  private _applySettled (entry: QuarantineEntry): Result<RunPermit, RefusalError> {
    this._table.merge([entry])
    return entry.state === 'quarantined' ? Result.err(quarantinedRefusal()) : Result.ok({})
  }

  /** Without the service, only the model's first instance by rendezvous runs its suspects; equal member tables agree on it. */
  private _admitWithoutService (entry: QuarantineEntry, token: string): Result<RunPermit, RefusalError> {
    const { members } = this._dependencies
    const holder = firstByRendezvous(entry.model, members.live.map(({ host }) => host))
    return holder === members.self.host ? Result.ok({ token }) : Result.err(suspectRefusal(BUSY_RETRY_AFTER))
  }

  private async _tick (): Promise<void> {
    this._table.expire(this._dependencies.clock.wall())
    if (this._dependencies.clock.monotonic() >= this._nextListAt) await this._list()
    await this._fetchInitialEntries()
    for (const model of [...this._pendingWrites.keys()]) await this._store(model)
    await this._sendUpdates()
  }

  private async _list (): Promise<void> {
    const records = await this._dependencies.store.list()
    if (records === undefined) return
    this._hasInitialEntries = true
    this._nextListAt = this._dependencies.clock.monotonic() + LIST_INTERVAL * (0.75 + 0.5 * this._dependencies.random.next())
    this._table.merge(records.flatMap(({ entries }) => entries))
  }

  /** Fetches the entries of some peers, if the instance started without the service. Retried until one read succeeds. */
  private async _fetchInitialEntries (): Promise<void> {
    if (this._hasInitialEntries) return
    const answers = await Promise.all(this._chooseTargets().map(async target => await this._dependencies.peers.fetch(target)))
    this._hasInitialEntries = answers.some(entries => entries !== undefined)
    this._table.merge(answers.flatMap(entries => entries ?? []))
  }

  /** Marks the model's record as outdated and writes it; ticks retry until the write succeeds. */
  private _storeInBackground (model: string): void {
    this._pendingWrites.set(model, this._pendingWrites.get(model))
    this._store(model).catch(() => {})
  }

  private async _store (model: string): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      const endedToken = this._pendingWrites.get(model)
      const stored = await this._dependencies.store.read(model)
      if (stored === undefined) return
      const end = await this._dependencies.store.write(
        model, this._updateRecord(stored.record, model, endedToken), stored.revision)
      if (end === 'unknown') return
      if (end === 'lost') continue
      if (this._pendingWrites.get(model) === endedToken) this._pendingWrites.delete(model)
      return
    }
  }

  private _updateRecord (record: QuarantineRecord | undefined, model: string, endedToken: string | undefined): QuarantineRecord {
    return endTrial(mergeRecord(record, this._table.entriesOf(model), this._dependencies.clock.wall()), endedToken)
  }

  private async _sendUpdates (): Promise<void> {
    const updates = this._table.takeUpdates(this._dependencies.members.live.length)
    if (updates.length === 0) return
    await Promise.all(this._chooseTargets().map(async target => { await this._dependencies.peers.sendEntries(target, updates) }))
  }

  private _chooseTargets (): Member[] {
    const { members, random } = this._dependencies
    return random.shuffle(members.live.filter(({ host }) => host !== members.self.host)).slice(0, FAN_OUT)
  }
}

function quarantinedRefusal (): RefusalError {
  return new RefusalError('quarantined', 422, true, 'The request is quarantined because it crashes backend servers',
    'Change the request, or ask your operator to release it once the cause is fixed')
}

function suspectRefusal (retryAfter: Milliseconds): RefusalError {
  return new RefusalError('quarantined', 503, true,
    'A backend server crashed while it ran this request, which now runs only alone',
    'Retry after the given delay', retryAfter)
}
