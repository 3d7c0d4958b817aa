/** Replays a request that crashes every replica it runs on, sent again through every host, in virtual time. */
import {
  ABSENT_REVISION, endTrial, firstByRendezvous, mergeRecord, QuarantineTable, quarantineRecordSchema, SeededRandom, TrialPlanner,
  type InstanceIdentity, type Milliseconds, type QuarantineEntry, type QuarantineRecord, type QuarantineState,
  type QuarantineSubject, type VersionedValue
} from '@wasabihead/coordination'
import { SimulatedKeyValue, VirtualTime } from '../simulation/index.js'

const MODEL = 'policy'
const FAN_OUT = 4
const TICK: Milliseconds = 1_000
const RUN_TIME: Milliseconds = 200
const REPLICA_RESTART: Milliseconds = 5_000
const LONGEST_HOP: Milliseconds = 20
const LONGEST_CONFIRMATION: Milliseconds = 50
const MAXIMUM_WRITE_TRIES = 4
const SEND_ROUND: Milliseconds = 1_000

/** What a replay is asked. */
export interface CrashReplayOptions {
  hosts: number
  replicas: number
  /** Length of the replay; faults end at half of it. */
  length: Milliseconds
  /** Harmless requests sent in each second. */
  harmlessRate: number
  isServiceDown: boolean
  /** Share of messages between hosts that are lost. */
  lossShare: number
  /** Hosts that are killed, each restarted empty. */
  kills: number
  /** Whether anything is held back at all. */
  isGuarded: boolean
}

/** One event of a replay. */
export type CrashEvent =
  | { kind: 'began', at: Milliseconds, host: string, fingerprint: string, isTrial: boolean }
  | { kind: 'ended', at: Milliseconds, host: string, fingerprint: string, isTrial: boolean, isCrash: boolean }
  | { kind: 'knows', at: Milliseconds, host: string, fingerprint: string, state: QuarantineState }
  | { kind: 'killed', at: Milliseconds, host: string }
  | { kind: 'final', at: Milliseconds, host: string, fingerprint: string, isCrashing: boolean, state: QuarantineState | 'unknown' }

interface Run {
  host: ReplayedKeeper
  incarnation: number
  subject: QuarantineSubject
  token: string | undefined
}

interface Replica {
  isUp: boolean
  runs: Set<Run>
}

/** One host's part: the decisions are the product's own, their effects are simulated. */
export class ReplayedKeeper {
  isAlive = true
  table = new QuarantineTable()
  identity: InstanceIdentity
  private _watch = new TrialPlanner()
  private _runningToken: string | undefined
  private _endedToken: string | undefined
  private _isBehind = false
  private _tokens = 0

  constructor (readonly name: string, protected readonly world: CrashReplay) {
    this.identity = { host: name, incarnation: 1 }
    this._tickLater()
  }

  /** Takes a request of a caller. */
  send (subject: QuarantineSubject): void {
    if (!this.isAlive) return
    const entry = this.table.find(subject.fingerprint)
    const isFree = !this.world.options.isGuarded || entry === undefined || entry.state === 'cleared'
    if (isFree) return this.world.begin(this, subject, undefined)
    if (entry.state === 'quarantined' || this._runningToken !== undefined) return
    this._runningToken = `${this.name}-${this.identity.incarnation}-${this._tokens++}`
    this.tryTrial(entry, this._runningToken)
  }

  /** Asks for the trial of a suspect. */
  protected tryTrial (entry: QuarantineEntry, token: string): void {
    this.world.keyValue.read(MODEL, answer => {
      if (this._runningToken !== token) return
      if (answer.kind !== 'answered') return this._tryWithoutService(entry, token)
      const record = decode(answer.value)
      this.hear(record?.entries ?? [])
      const request = { entry: this.table.find(entry.fingerprint) ?? entry, token, holder: this.identity }
      const plan = this._watch.plan(record, request, this.world.now, this.world.now)
      if (plan.kind !== 'write') return this._abandonTrial(token)
      const value = JSON.stringify(plan.record)
      this.world.keyValue.compareAndSwap({ key: MODEL, value, expectedRevision: revisionOf(answer.value) }, written => {
        if (this._runningToken !== token) return
        this.hear(plan.record.entries)
        const isWon = written.kind === 'answered' && written.value.kind === 'won'
        if (isWon && plan.isTrial) this.runTrial(entry, token)
        else this._abandonTrial(token)
      })
    })
  }

  /** Runs a trial that is held. */
  protected runTrial (entry: QuarantineEntry, token: string): void {
    const { fingerprint, workspace, kind, model } = entry
    this.world.begin(this, { fingerprint, workspace, kind, model }, token)
  }

  /** Takes the end of a run. */
  finish ({ subject, token }: Run, isCrash: boolean): void {
    if (isCrash) this.table.onCrash(subject, token !== undefined, this.world.now)
    else if (token !== undefined) this.table.onCompleted(subject, this.world.now)
    if (token !== undefined) {
      this._endedToken = token
      this._abandonTrial(token)
    }
    if (!isCrash && token === undefined) return
    this.world.noteKnown(this, [subject.fingerprint])
    this._store()
    this._spread()
  }

  /** Ends a trial that found no replica. */
  giveUp (token: string | undefined): void {
    if (token === undefined) return
    this._endedToken = token
    this._abandonTrial(token)
    this._store()
  }

  /** Takes entries from others. */
  hear (entries: readonly QuarantineEntry[]): void {
    if (!this.isAlive || !this.table.merge(entries)) return
    this.world.noteKnown(this, entries.map(({ fingerprint }) => fingerprint))
    this._spread()
  }

  /** Stops at once and comes back empty. */
  restart (): void {
    this.isAlive = false
    this._runningToken = undefined
    this.world.after(REPLICA_RESTART, () => {
      this.isAlive = true
      this.identity = { host: this.name, incarnation: this.identity.incarnation + 1 }
      this.table = new QuarantineTable()
      this._watch = new TrialPlanner()
      this._endedToken = undefined
      this.world.keyValue.list('', answer => {
        if (answer.kind !== 'answered') return this.world.askSome(this, FAN_OUT)
        for (const value of answer.value) this.hear(decode(value)?.entries ?? [])
      })
    })
  }

  private _tryWithoutService (entry: QuarantineEntry, token: string): void {
    if (firstByRendezvous(MODEL, this.world.liveHosts) === this.name) this.runTrial(entry, token)
    else this._abandonTrial(token)
  }

  private _abandonTrial (token: string): void {
    if (this._runningToken === token) this._runningToken = undefined
  }

  private _store (tries = MAXIMUM_WRITE_TRIES): void {
    this._isBehind = true
    this.world.keyValue.read(MODEL, answer => {
      if (answer.kind !== 'answered' || !this.isAlive) return
      const endedToken = this._endedToken
      const record = endTrial(mergeRecord(decode(answer.value), this.table.entriesOf(MODEL), this.world.now), endedToken)
      const write = { key: MODEL, value: JSON.stringify(record), expectedRevision: revisionOf(answer.value) }
      this.world.keyValue.compareAndSwap(write, written => {
        if (written.kind !== 'answered') return
        if (written.value.kind === 'won') this._isBehind = this._endedToken !== endedToken
        else if (tries > 1) this._store(tries - 1)
      })
    })
  }

  private _spread (): void {
    const news = this.table.takeUpdates(this.world.liveHosts.length)
    if (news.length > 0) this.world.tellSome(this, news, FAN_OUT)
  }

  private _tickLater (): void {
    this.world.after(TICK, () => {
      if (this.isAlive) {
        if (this._isBehind) this._store(1)
        this._spread()
      }
      this._tickLater()
    })
  }
}

/** Makes a host's part. */
export type KeeperMaker = (name: string, world: CrashReplay) => ReplayedKeeper

/** The replay. */
export class CrashReplay {
  readonly history: CrashEvent[] = []
  readonly keyValue: SimulatedKeyValue
  replicasLost = 0
  messages = 0
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _hosts: ReplayedKeeper[]
  private readonly _replicas: Replica[]
  private readonly _crashing: QuarantineSubject = subjectOf('crashing')
  private readonly _harmless = new Set<string>()

  constructor (seed: number, readonly options: CrashReplayOptions, makeKeeper: KeeperMaker) {
    this._random = new SeededRandom(seed)
    this.keyValue = new SimulatedKeyValue(this._time, this._random)
    this.keyValue.faults = { ...this.keyValue.faults, isDown: options.isServiceDown }
    this._hosts = Array.from({ length: options.hosts }, (_, index) => makeKeeper(`entry-${index}`, this))
    this._replicas = Array.from({ length: options.replicas }, () => ({ isUp: true, runs: new Set() }))
  }

  /** The present virtual time. */
  get now (): Milliseconds {
    return this._time.now
  }

  /** Hosts that run. */
  get liveHosts (): string[] {
    return this._hosts.filter(({ isAlive }) => isAlive).map(({ name }) => name)
  }

  /** Schedules an action. */
  after (delay: Milliseconds, perform: () => void): void {
    this._time.after(delay, perform)
  }

  /** Runs the replay. */
  run (): void {
    const { length, kills, harmlessRate } = this.options
    this.after(0, () => { this._random.pick(this._hosts).send(this._crashing) })
    for (let at = SEND_ROUND; at < length; at += SEND_ROUND) this.after(at, () => { this._sendToAll() })
    const harmlessCount = harmlessRate * length / TICK
    for (let index = 0; index < harmlessCount; index++) {
      this.after(this._random.next() * length, () => { this._sendHarmless(index) })
    }
    for (let index = 0; index < kills; index++) this.after(this._random.next() * length / 2, () => { this._kill() })
    this._time.runUntil(length)
    for (const host of this._hosts.filter(({ isAlive }) => isAlive)) {
      for (const fingerprint of [this._crashing.fingerprint, ...this._harmless]) this._noteFinal(host, fingerprint)
    }
  }

  /** Begins a run on a replica. */
  begin (host: ReplayedKeeper, subject: QuarantineSubject, token: string | undefined): void {
    const up = this._replicas.filter(({ isUp }) => isUp)
    if (up.length === 0) return host.giveUp(token)
    const run = { host, incarnation: host.identity.incarnation, subject, token }
    const replica = this._random.pick(up)
    replica.runs.add(run)
    const { fingerprint } = subject
    this.history.push({ kind: 'began', at: this.now, host: host.name, fingerprint, isTrial: token !== undefined })
    this.after(RUN_TIME, () => {
      if (!replica.runs.has(run)) return
      if (fingerprint === this._crashing.fingerprint) return this._crash(replica)
      replica.runs.delete(run)
      this._end(run, false)
    })
  }

  /** Tells entries to a few random live hosts; some messages are lost. */
  tellSome (from: ReplayedKeeper, entries: QuarantineEntry[], count: number): void {
    const others = this._hosts.filter(host => host !== from && host.isAlive)
    for (const target of this._random.shuffle(others).slice(0, count)) {
      this.messages += 1
      if (this._random.next() < this.options.lossShare) continue
      this.after(this._random.next() * LONGEST_HOP, () => { target.hear(entries) })
    }
  }

  /** Asks a few random live hosts for all that they know. */
  askSome (from: ReplayedKeeper, count: number): void {
    const others = this._hosts.filter(host => host !== from && host.isAlive)
    for (const target of this._random.shuffle(others).slice(0, count)) {
      this.messages += 1
      if (this._random.next() < this.options.lossShare) continue
      this.after(this._random.next() * LONGEST_HOP, () => { from.hear(target.table.allEntries) })
    }
  }

  /** Records what a host now knows of requests. */
  noteKnown (host: ReplayedKeeper, fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) {
      const state = host.table.find(fingerprint)?.state
      if (state !== undefined) this.history.push({ kind: 'knows', at: this.now, host: host.name, fingerprint, state })
    }
  }

  private _sendToAll (): void {
    for (const host of this._hosts) this.after(this._random.next() * SEND_ROUND, () => { host.send(this._crashing) })
  }

  private _sendHarmless (index: number): void {
    const subject = subjectOf(`harmless-${index}`)
    this._harmless.add(subject.fingerprint)
    this._random.pick(this._hosts).send(subject)
  }

  private _crash (replica: Replica): void {
    this.replicasLost += 1
    const runs = [...replica.runs]
    replica.runs.clear()
    replica.isUp = false
    this.after(REPLICA_RESTART, () => { replica.isUp = true })
    for (const run of runs) this.after(this._random.next() * LONGEST_CONFIRMATION, () => { this._end(run, true) })
  }

  private _end (run: Run, isCrash: boolean): void {
    const { host, subject: { fingerprint } } = run
    const isTrial = run.token !== undefined
    this.history.push({ kind: 'ended', at: this.now, host: host.name, fingerprint, isTrial, isCrash })
    if (host.isAlive && host.identity.incarnation === run.incarnation) host.finish(run, isCrash)
  }

  private _kill (): void {
    const host = this._random.pick(this._hosts)
    if (!host.isAlive) return
    this.history.push({ kind: 'killed', at: this.now, host: host.name })
    host.restart()
  }

  private _noteFinal (host: ReplayedKeeper, fingerprint: string): void {
    const state = host.table.find(fingerprint)?.state ?? 'unknown'
    const isCrashing = fingerprint === this._crashing.fingerprint
    this.history.push({ kind: 'final', at: this.now, host: host.name, fingerprint, isCrashing, state })
  }
}

function subjectOf (fingerprint: string): QuarantineSubject {
  return { fingerprint, workspace: 'harrowgate', kind: 'policy-answer', model: MODEL }
}

function decode (value: VersionedValue | undefined): QuarantineRecord | undefined {
  return value === undefined ? undefined : quarantineRecordSchema.parse(JSON.parse(value.value))
}

function revisionOf (value: VersionedValue | undefined): number {
  return value?.revision ?? ABSENT_REVISION
}
