/** Keeps what is known about crashing requests: spreads it, stores it, and wins trials for suspects. */
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
const MAXIMUM_WRITE_TRIES = 4

/** What the keeper works with. */
export interface QuarantineKeeperParts {
  store: QuarantineStore
  peers: QuarantinePeerClient
  members: MemberTable
  clock: Clock
  random: SeededRandom
  logger: Logger
}

/** A request's leave to run: as any other, or as the one trial of its model. */
export interface RunPermit {
  /** Set for a trial. */
  token?: string
}

/** The keeper. */
export class QuarantineKeeper {
  private readonly _table = new QuarantineTable()
  private readonly _watch = new TrialPlanner()
  private readonly _runningTokens = new Map<string, string>()
  private readonly _endedTokens = new Map<string, string | undefined>()
  private _timer: NodeJS.Timeout | undefined
  private _nextListAt: Milliseconds = 0
  private _hasLearnt = false

  constructor (private readonly _parts: QuarantineKeeperParts) {}

  /** Suspect and quarantined requests. */
  get entries (): QuarantineEntry[] {
    return this._table.entries
  }

  /** Everything known, the cleared requests too. */
  get allEntries (): QuarantineEntry[] {
    return this._table.allEntries
  }

  /** What is known of a request. */
  find (fingerprint: string): QuarantineEntry | undefined {
    return this._table.find(fingerprint)
  }

  /** Reads the records once and begins to spread; a service that is down is asked again. */
  async start (): Promise<void> {
    await this._list()
    await this._learnFromPeers()
    this._timer = setInterval(() => { this._tick().catch(() => {}) }, TICK_INTERVAL)
  }

  /** Ends the spreading. */
  stop (): void {
    clearInterval(this._timer)
  }

  /** Takes entries from a peer; news are passed on at once. */
  hear (entries: readonly QuarantineEntry[]): void {
    if (this._table.merge(entries)) this._spread().catch(() => {})
  }

  /** Whether the request may run now. A permit with a token is paired with `endTrial`. */
  async admit (subject: QuarantineSubject): Promise<Result<RunPermit, RefusalError>> {
    const entry = this._table.find(subject.fingerprint)
    if (entry === undefined || entry.state === 'cleared') return Result.ok({})
    if (entry.state === 'quarantined') return Result.err(quarantinedRefusal())
    if (this._runningTokens.has(subject.model)) return Result.err(suspectRefusal(BUSY_RETRY_AFTER))
    const token = createToken()
    this._runningTokens.set(subject.model, token)
    const permit = await this._tryTrial(entry, token)
    if (permit.isErr) this._runningTokens.delete(subject.model)
    return permit
  }

  /** Takes a crash of a replica that ran the request. Resolves when the first peers have been told. */
  async noteCrash (subject: QuarantineSubject, isTrial: boolean): Promise<void> {
    const { state } = this._table.onCrash(subject, isTrial, this._parts.clock.wall())
    const { workspace, kind, fingerprint } = subject
    this._parts.logger.warn('a replica crashed under a request', { workspace, requestKind: kind, fingerprint, state })
    this._storeSoon(subject.model)
    await this._spread()
  }

  /** Ends a trial that this instance holds. A whole run clears its request. */
  async endTrial (subject: QuarantineSubject, token: string, isWhole: boolean): Promise<void> {
    if (isWhole) this._table.onCompleted(subject, this._parts.clock.wall())
    if (this._runningTokens.get(subject.model) === token) this._runningTokens.delete(subject.model)
    this._endedTokens.set(subject.model, token)
    this._storeSoon(subject.model)
    await this._spread()
  }

  /** Lets a request run again; false where nothing holds it. */
  release (fingerprint: string): boolean {
    const entry = this._table.release(fingerprint, this._parts.clock.wall())
    if (entry === undefined) return false
    this._storeSoon(entry.model)
    this._spread().catch(() => {})
    return true
  }

  private async _tryTrial (entry: QuarantineEntry, token: string): Promise<Result<RunPermit, RefusalError>> {
    const { store, clock, members } = this._parts
    const stored = await store.read(entry.model)
    if (stored === undefined) return this._tryWithoutService(entry, token)
    this._table.merge(stored.record?.entries ?? [])
    const request = { entry: this._table.find(entry.fingerprint) ?? entry, token, holder: members.identity }
    const plan = this._watch.plan(stored.record, request, clock.monotonic(), clock.wall())
    if (plan.kind === 'busy') return Result.err(suspectRefusal(plan.retryAfter))
    if (plan.kind === 'settled') return this._settle(plan.entry)
    const end = await store.write(entry.model, plan.record, stored.revision)
    if (end !== 'won') return Result.err(suspectRefusal(BUSY_RETRY_AFTER))
    this._table.merge(plan.record.entries)
    return plan.isTrial ? Result.ok({ token }) : Result.err(quarantinedRefusal())
  }

  private _settle (entry: QuarantineEntry): Result<RunPermit, RefusalError> {
    this._table.merge([entry])
    return entry.state === 'quarantined' ? Result.err(quarantinedRefusal()) : Result.ok({})
  }

  /** Without the service one instance alone, the same in every view of the members, runs a model's suspects. */
  private _tryWithoutService (entry: QuarantineEntry, token: string): Result<RunPermit, RefusalError> {
    const { members } = this._parts
    const holder = firstByRendezvous(entry.model, members.live.map(({ host }) => host))
    return holder === members.self.host ? Result.ok({ token }) : Result.err(suspectRefusal(BUSY_RETRY_AFTER))
  }

  private async _tick (): Promise<void> {
    this._table.expire(this._parts.clock.wall())
    if (this._parts.clock.monotonic() >= this._nextListAt) await this._list()
    await this._learnFromPeers()
    for (const model of [...this._endedTokens.keys()]) await this._store(model)
    await this._spread()
  }

  private async _list (): Promise<void> {
    const records = await this._parts.store.list()
    if (records === undefined) return
    this._hasLearnt = true
    this._nextListAt = this._parts.clock.monotonic() + LIST_INTERVAL * (0.75 + 0.5 * this._parts.random.next())
    this._table.merge(records.flatMap(({ entries }) => entries))
  }

  /** An instance that started without the service learns from peers what they know. */
  private async _learnFromPeers (): Promise<void> {
    if (this._hasLearnt) return
    const answers = await Promise.all(this._chooseTargets().map(async target => await this._parts.peers.fetch(target)))
    this._hasLearnt = answers.some(entries => entries !== undefined)
    this._table.merge(answers.flatMap(entries => entries ?? []))
  }

  /** Marks the model's record as behind, and writes it; the tick tries again until it stands. */
  private _storeSoon (model: string): void {
    this._endedTokens.set(model, this._endedTokens.get(model))
    this._store(model).catch(() => {})
  }

  private async _store (model: string): Promise<void> {
    for (let tries = 0; tries < MAXIMUM_WRITE_TRIES; tries++) {
      const endedToken = this._endedTokens.get(model)
      const stored = await this._parts.store.read(model)
      if (stored === undefined) return
      const end = await this._parts.store.write(model, this._fold(stored.record, model, endedToken), stored.revision)
      if (end === 'unknown') return
      if (end === 'lost') continue
      if (this._endedTokens.get(model) === endedToken) this._endedTokens.delete(model)
      return
    }
  }

  private _fold (record: QuarantineRecord | undefined, model: string, endedToken: string | undefined): QuarantineRecord {
    return endTrial(mergeRecord(record, this._table.entriesOf(model), this._parts.clock.wall()), endedToken)
  }

  private async _spread (): Promise<void> {
    const news = this._table.takeUpdates(this._parts.members.live.length)
    if (news.length === 0) return
    await Promise.all(this._chooseTargets().map(async target => { await this._parts.peers.spread(target, news) }))
  }

  private _chooseTargets (): Member[] {
    const { members, random } = this._parts
    return random.shuffle(members.live.filter(({ host }) => host !== members.self.host)).slice(0, FAN_OUT)
  }
}

function quarantinedRefusal (): RefusalError {
  return new RefusalError('quarantined', 422, true, 'The request is quarantined, since it crashes backend servers',
    'Change the request, or ask your operator to release it once the cause is mended')
}

function suspectRefusal (retryAfter: Milliseconds): RefusalError {
  return new RefusalError('quarantined', 503, true, 'A backend server crashed under this request, which now runs only alone',
    'Send it again after the time given', retryAfter)
}
