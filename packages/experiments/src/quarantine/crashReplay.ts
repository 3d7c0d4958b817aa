/** Simulates a request that crashes every replica it runs on and is retried through every host, in virtual time. */
import {
  ABSENT_REVISION, endTrial, firstByRendezvous, mergeRecord, QuarantineTable, quarantineRecordSchema, SeededRandom, TrialPlanner,
  type InstanceIdentity, type Milliseconds, type QuarantineEntry, type QuarantineRecord, type QuarantineState,
  type QuarantineSubject, type VersionedValue
} from '@wasabihead/coordination'
import { SimulatedKeyValue, VirtualTime } from '../simulation/index.js'

const MODEL = 'policy'
const FAN_OUT = 4
const TICK_INTERVAL: Milliseconds = 1_000
const RUN_DURATION: Milliseconds = 200
const RESTART_DURATION: Milliseconds = 5_000
const MAXIMUM_MESSAGE_DELAY: Milliseconds = 20
const MAXIMUM_CRASH_REPORT_DELAY: Milliseconds = 50
const MAXIMUM_WRITE_ATTEMPTS = 4
const SEND_INTERVAL: Milliseconds = 1_000

/** Size, load and faults of a simulation. */
export interface CrashReplayOptions {
  hosts: number
  replicas: number
  /** Virtual duration of the simulation. Hosts are killed in the first half only. */
  length: Milliseconds
  /** Harmless requests per second, over all hosts. */
  harmlessRate: number
  isServiceDown: boolean
  /** Share of messages between hosts that are lost, from 0 to 1. */
  lossShare: number
  /** Number of kills, each of a random host that restarts without its state; a host that is down already is skipped. */
  kills: number
  /** Whether hosts hold back suspect and quarantined requests; if not, every request runs. */
  hasQuarantine: boolean
}

/**
 * An event of a simulation's history: a run's start or end, a quarantine state recorded by a host, a host's kill, or a host's
 * state of a request when the simulation ends.
 */
export type CrashEvent =
  | { kind: 'began', at: Milliseconds, host: string, fingerprint: string, isTrial: boolean }
  | { kind: 'ended', at: Milliseconds, host: string, fingerprint: string, isTrial: boolean, isCrash: boolean }
  | { kind: 'knows', at: Milliseconds, host: string, fingerprint: string, state: QuarantineState }
  | { kind: 'killed', at: Milliseconds, host: string }
  | { kind: 'final', at: Milliseconds, host: string, fingerprint: string, isCrashing: boolean, state: QuarantineState | 'unknown' }

interface Run {
  host: ReplayedHost
  incarnation: number
  subject: QuarantineSubject
  token: string | undefined
}

interface Replica {
  isUp: boolean
  runs: Set<Run>
}

/** The quarantine of one simulated host: makes the product's decisions and simulates their effects. */
export class ReplayedHost {
  isAlive = true
  table = new QuarantineTable()
  identity: InstanceIdentity
  private _watch = new TrialPlanner()
  private _runningToken: string | undefined
  private _endedToken: string | undefined
  private _hasUnsavedChanges = false
  private _tokenCount = 0

  constructor (readonly name: string, protected readonly world: CrashReplay) {
    this.identity = { host: name, incarnation: 1 }
    this._scheduleTick()
  }

  /** Handles a caller's request: runs it, starts a trial if it is suspect, or holds it back. */
  handleRequest (subject: QuarantineSubject): void {
    if (!this.isAlive) return
    const entry = this.table.find(subject.fingerprint)
    const isFree = !this.world.options.hasQuarantine || entry === undefined || entry.state === 'cleared'
    if (isFree) return this.world.startRun(this, subject, undefined)
    if (entry.state === 'quarantined' || this._runningToken !== undefined) return
    this._runningToken = `${this.name}-${this.identity.incarnation}-${this._tokenCount++}`
    this.requestTrial(entry, this._runningToken)
  }

  /** Claims the trial of a suspect request in the key-value service and runs it if the write wins. */
  protected requestTrial (entry: QuarantineEntry, token: string): void {
    this.world.keyValue.read(MODEL, answer => {
      if (this._runningToken !== token) return
      if (answer.kind !== 'answered') return this._requestTrialWithoutService(entry, token)
      const record = decode(answer.value)
      this.receive(record?.entries ?? [])
      const request = { entry: this.table.find(entry.fingerprint) ?? entry, token, holder: this.identity }
      const plan = this._watch.plan(record, request, this.world.now, this.world.now)
      if (plan.kind !== 'write') return this._clearTrial(token)
      const value = JSON.stringify(plan.record)
      this.world.keyValue.compareAndSwap({ key: MODEL, value, expectedRevision: revisionOf(answer.value) }, written => {
        if (this._runningToken !== token) return
        this.receive(plan.record.entries)
        const isWon = written.kind === 'answered' && written.value.kind === 'won'
        if (isWon && plan.isTrial) this.runTrial(entry, token)
        else this._clearTrial(token)
      })
    })
  }

  /** Runs a trial that this host has claimed. */
  protected runTrial (entry: QuarantineEntry, token: string): void {
    const { fingerprint, workspace, kind, model } = entry
    this.world.startRun(this, { fingerprint, workspace, kind, model }, token)
  }

  /** Updates the table after a run of this host has ended; stores and gossips a changed entry. */
  onRunEnded ({ subject, token }: Run, isCrash: boolean): void {
    if (isCrash) this.table.onCrash(subject, token !== undefined, this.world.now)
    else if (token !== undefined) this.table.onCompleted(subject, this.world.now)
    if (token !== undefined) {
      this._endedToken = token
      this._clearTrial(token)
    }
    if (!isCrash && token === undefined) return
    this.world.recordStates(this, [subject.fingerprint])
    this._writeRecord()
    this._gossip()
  }

  /** Ends a trial for which no replica is available. */
  onNoReplica (token: string | undefined): void {
    if (token === undefined) return
    this._endedToken = token
    this._clearTrial(token)
    this._writeRecord()
  }

  /** Merges entries received from peers or from the key-value service, and gossips the changed ones. */
  receive (entries: readonly QuarantineEntry[]): void {
    if (!this.isAlive || !this.table.merge(entries)) return
    this.world.recordStates(this, entries.map(({ fingerprint }) => fingerprint))
    this._gossip()
  }

  /** Kills the host and restarts it without its state. It then reads the stored records, or asks peers if the service is down. */
  restart (): void {
    this.isAlive = false
    this._runningToken = undefined
    this.world.after(RESTART_DURATION, () => {
      this.isAlive = true
      this.identity = { host: this.name, incarnation: this.identity.incarnation + 1 }
      this.table = new QuarantineTable()
      this._watch = new TrialPlanner()
      this._endedToken = undefined
      this.world.keyValue.list('', answer => {
        if (answer.kind !== 'answered') return this.world.requestEntries(this, FAN_OUT)
        for (const value of answer.value) this.receive(decode(value)?.entries ?? [])
      })
    })
  }

  private _requestTrialWithoutService (entry: QuarantineEntry, token: string): void {
    if (firstByRendezvous(MODEL, this.world.liveHosts) === this.name) this.runTrial(entry, token)
    else this._clearTrial(token)
  }

  private _clearTrial (token: string): void {
    if (this._runningToken === token) this._runningToken = undefined
  }

  private _writeRecord (attempts = MAXIMUM_WRITE_ATTEMPTS): void {
    this._hasUnsavedChanges = true
    this.world.keyValue.read(MODEL, answer => {
      if (answer.kind !== 'answered' || !this.isAlive) return
      const endedToken = this._endedToken
      const record = endTrial(mergeRecord(decode(answer.value), this.table.entriesOf(MODEL), this.world.now), endedToken)
      const write = { key: MODEL, value: JSON.stringify(record), expectedRevision: revisionOf(answer.value) }
      this.world.keyValue.compareAndSwap(write, written => {
        if (written.kind !== 'answered') return
        if (written.value.kind === 'won') this._hasUnsavedChanges = this._endedToken !== endedToken
        else if (attempts > 1) this._writeRecord(attempts - 1)
      })
    })
  }

  private _gossip (): void {
    const news = this.table.takeUpdates(this.world.liveHosts.length)
    if (news.length > 0) this.world.sendEntries(this, news, FAN_OUT)
  }

  private _scheduleTick (): void {
    this.world.after(TICK_INTERVAL, () => {
      if (this.isAlive) {
        if (this._hasUnsavedChanges) this._writeRecord(1)
        this._gossip()
      }
      this._scheduleTick()
    })
  }
}

/** Creates a simulated host. Tests use it to replace decisions. */
export type HostFactory = (name: string, world: CrashReplay) => ReplayedHost

/** A simulation of hosts and replicas, with its recorded history. */
export class CrashReplay {
  readonly history: CrashEvent[] = []
  readonly keyValue: SimulatedKeyValue
  replicasLost = 0
  messages = 0
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _hosts: ReplayedHost[]
  private readonly _replicas: Replica[]
  private readonly _crashing: QuarantineSubject = subjectOf('crashing')
  private readonly _harmless = new Set<string>()

  constructor (seed: number, readonly options: CrashReplayOptions, createHost: HostFactory) {
    this._random = new SeededRandom(seed)
    this.keyValue = new SimulatedKeyValue(this._time, this._random)
    this.keyValue.faults = { ...this.keyValue.faults, isDown: options.isServiceDown }
    this._hosts = Array.from({ length: options.hosts }, (_, index) => createHost(`entry-${index}`, this))
    this._replicas = Array.from({ length: options.replicas }, () => ({ isUp: true, runs: new Set() }))
  }

  /** The current virtual time. */
  get now (): Milliseconds {
    return this._time.now
  }

  /** Names of the running hosts. */
  get liveHosts (): string[] {
    return this._hosts.filter(({ isAlive }) => isAlive).map(({ name }) => name)
  }

  /** Schedules an action after a delay in virtual time. */
  after (delay: Milliseconds, perform: () => void): void {
    this._time.after(delay, perform)
  }

  /** Runs the whole simulation and records the final states. */
  run (): void {
    const { length, kills, harmlessRate } = this.options
    this.after(0, () => { this._random.pick(this._hosts).handleRequest(this._crashing) })
    for (let at = SEND_INTERVAL; at < length; at += SEND_INTERVAL) this.after(at, () => { this._sendToAll() })
    const harmlessCount = harmlessRate * length / TICK_INTERVAL
    for (let index = 0; index < harmlessCount; index++) {
      this.after(this._random.next() * length, () => { this._sendHarmless(index) })
    }
    for (let index = 0; index < kills; index++) this.after(this._random.next() * length / 2, () => { this._killRandomHost() })
    this._time.runUntil(length)
    for (const host of this._hosts.filter(({ isAlive }) => isAlive)) {
      for (const fingerprint of [this._crashing.fingerprint, ...this._harmless]) this._recordFinalState(host, fingerprint)
    }
  }

  /** Starts a run on a random available replica. A token marks the run of a trial. */
  startRun (host: ReplayedHost, subject: QuarantineSubject, token: string | undefined): void {
    const up = this._replicas.filter(({ isUp }) => isUp)
    if (up.length === 0) return host.onNoReplica(token)
    const run = { host, incarnation: host.identity.incarnation, subject, token }
    const replica = this._random.pick(up)
    replica.runs.add(run)
    const { fingerprint } = subject
    this.history.push({ kind: 'began', at: this.now, host: host.name, fingerprint, isTrial: token !== undefined })
    this.after(RUN_DURATION, () => {
      if (!replica.runs.has(run)) return
      if (fingerprint === this._crashing.fingerprint) return this._crashReplica(replica)
      replica.runs.delete(run)
      this._endRun(run, false)
    })
  }

  /** Sends entries to up to `count` random live hosts; some messages are lost. */
  sendEntries (from: ReplayedHost, entries: QuarantineEntry[], count: number): void {
    const others = this._hosts.filter(host => host !== from && host.isAlive)
    for (const target of this._random.shuffle(others).slice(0, count)) {
      this.messages += 1
      if (this._random.next() < this.options.lossShare) continue
      this.after(this._random.next() * MAXIMUM_MESSAGE_DELAY, () => { target.receive(entries) })
    }
  }

  /** Requests all entries of up to `count` random live hosts; some messages are lost. */
  requestEntries (from: ReplayedHost, count: number): void {
    const others = this._hosts.filter(host => host !== from && host.isAlive)
    for (const target of this._random.shuffle(others).slice(0, count)) {
      this.messages += 1
      if (this._random.next() < this.options.lossShare) continue
      this.after(this._random.next() * MAXIMUM_MESSAGE_DELAY, () => { from.receive(target.table.allEntries) })
    }
  }

  /** Records a host's current states of requests in the history. */
  recordStates (host: ReplayedHost, fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) {
      const state = host.table.find(fingerprint)?.state
      if (state !== undefined) this.history.push({ kind: 'knows', at: this.now, host: host.name, fingerprint, state })
    }
  }

  private _sendToAll (): void {
    for (const host of this._hosts) this.after(this._random.next() * SEND_INTERVAL, () => { host.handleRequest(this._crashing) })
  }

  private _sendHarmless (index: number): void {
    const subject = subjectOf(`harmless-${index}`)
    this._harmless.add(subject.fingerprint)
    this._random.pick(this._hosts).handleRequest(subject)
  }

  private _crashReplica (replica: Replica): void {
    this.replicasLost += 1
    const runs = [...replica.runs]
    replica.runs.clear()
    replica.isUp = false
    this.after(RESTART_DURATION, () => { replica.isUp = true })
    for (const run of runs) this.after(this._random.next() * MAXIMUM_CRASH_REPORT_DELAY, () => { this._endRun(run, true) })
  }

  private _endRun (run: Run, isCrash: boolean): void {
    const { host, subject: { fingerprint } } = run
    const isTrial = run.token !== undefined
    this.history.push({ kind: 'ended', at: this.now, host: host.name, fingerprint, isTrial, isCrash })
    if (host.isAlive && host.identity.incarnation === run.incarnation) host.onRunEnded(run, isCrash)
  }

  private _killRandomHost (): void {
    const host = this._random.pick(this._hosts)
    if (!host.isAlive) return
    this.history.push({ kind: 'killed', at: this.now, host: host.name })
    host.restart()
  }

  private _recordFinalState (host: ReplayedHost, fingerprint: string): void {
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
