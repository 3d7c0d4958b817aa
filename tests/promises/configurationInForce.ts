/** Proof: an accepted configuration is in force everywhere within seconds and never reverts. */
import { SeededRandom, type ChangeOutcome, type Milliseconds, type PropagationMessage } from '@wasabihead/coordination'
import { FAULTLESS, ReplayedFleet, type ReplayedInstance } from '@wasabihead/experiments'
import { Proof, type ProofRun, type Violation } from './proof.js'

/** The promised maximum time between the acceptance of a change and being in force everywhere. */
export const IN_FORCE_LIMIT: Milliseconds = 16_000

const INSTANCES = 9
const RUN_LENGTH: Milliseconds = 240_000
const QUIET_TAIL: Milliseconds = 80_000
const CHANGES = 30
const FAULTS = 12
const WORK_SAMPLING_INTERVAL: Milliseconds = 1_000

/** One event of a run. `instance` is made of the host and run of the instance, as in `entry-host-1#2`. */
export type ConfigurationEvent =
  /** The instance runs and reaches its peers from this time until it is `disturbed`. */
  | { kind: 'connected', at: Milliseconds, instance: string }
  | { kind: 'disturbed', at: Milliseconds, instance: string }
  | { kind: 'in-force', at: Milliseconds, instance: string, revision: number, changeToken: string }
  | { kind: 'reported', at: Milliseconds, outcome: ChangeOutcome['kind'], revision: number, changeToken: string }
  /** The instance accepts new work under a revision although nothing has reached it since `since`. */
  | { kind: 'isolated-work', at: Milliseconds, instance: string, since: Milliseconds }

/** Checks a history against the promise alone, not how it is kept. `end` is the time at which the run ends. */
export function checkConfigurationHistory (events: readonly ConfigurationEvent[], end: Milliseconds): Violation[] {
  return [
    ...findReverts(events), ...findLateInstances(events, end), ...findFalseReports(events), ...findIsolatedWork(events)
  ]
}

function findReverts (events: readonly ConfigurationEvent[]): Violation[] {
  const latest = new Map<string, ConfigurationEvent & { kind: 'in-force' }>()
  const tokens = new Map<number, ConfigurationEvent & { kind: 'in-force' }>()
  const violations: Violation[] = []
  for (const event of events) {
    if (event.kind !== 'in-force') continue
    const before = latest.get(event.instance)
    if (before !== undefined && before.revision >= event.revision) {
      violations.push({ problem: 'an instance moved to a revision that is not higher', evidence: [before, event].map(show) })
    }
    const same = tokens.get(event.revision)
    if (same !== undefined && same.changeToken !== event.changeToken) {
      violations.push({ problem: 'one revision is two changes', evidence: [same, event].map(show) })
    }
    latest.set(event.instance, event)
    tokens.set(event.revision, event)
  }
  return violations
}

/** Finds instances connected for IN_FORCE_LIMIT after an acceptance that lack that revision, or a higher one, by then. */
function findLateInstances (events: readonly ConfigurationEvent[], end: Milliseconds): Violation[] {
  const accepted = events.filter(event => event.kind === 'reported' && event.outcome === 'accepted') as Array<
    ConfigurationEvent & { kind: 'reported' }>
  const instances = new Set(events.flatMap(event => 'instance' in event ? [event.instance] : []))
  return [...instances].flatMap(instance => {
    const own = events.filter(event => 'instance' in event && event.instance === instance)
    return accepted.flatMap(report => {
      const deadline = findDeadline(own, report.at, end)
      const isInForce = own.some(event => event.kind === 'in-force' && event.revision >= report.revision && event.at <= deadline)
      if (deadline === Infinity || isInForce) return []
      return [{ problem: `${instance} lacks the revision at ${deadline}`, evidence: [report, ...own].map(show) }]
    })
  })
}

/** The end of the first span of IN_FORCE_LIMIT after acceptance throughout which the instance is connected; else Infinity. */
function findDeadline (own: readonly ConfigurationEvent[], acceptedAt: Milliseconds, end: Milliseconds): Milliseconds {
  let connectedAt: Milliseconds | undefined
  for (const event of own) {
    if (event.kind === 'connected') connectedAt = event.at
    if (event.kind !== 'disturbed') continue
    if (connectedAt !== undefined && Math.max(connectedAt, acceptedAt) + IN_FORCE_LIMIT <= event.at) break
    connectedAt = undefined
  }
  if (connectedAt === undefined) return Infinity
  const deadline = Math.max(connectedAt, acceptedAt) + IN_FORCE_LIMIT
  return deadline <= end ? deadline : Infinity
}

function findFalseReports (events: readonly ConfigurationEvent[]): Violation[] {
  const inForce = new Map(events.flatMap(event => event.kind === 'in-force' ? [[event.changeToken, event]] : []))
  const winners = new Map<number, ConfigurationEvent>()
  return events.flatMap(event => {
    if (event.kind !== 'reported') return []
    const seen = inForce.get(event.changeToken)
    const isRefusal = event.outcome === 'refused' || event.outcome === 'conflict'
    if (isRefusal && seen !== undefined) return [{ problem: 'a refused change came into force', evidence: [event, seen].map(show) }]
    if (event.outcome !== 'accepted') return []
    const winner = winners.get(event.revision)
    winners.set(event.revision, event)
    const isSecond = winner?.kind === 'reported' && winner.changeToken !== event.changeToken
    return isSecond ? [{ problem: 'two changes were accepted as one revision', evidence: [winner, event].map(show) }] : []
  })
}

function findIsolatedWork (events: readonly ConfigurationEvent[]): Violation[] {
  return events.flatMap(event => event.kind === 'isolated-work' && event.at - event.since > IN_FORCE_LIMIT
    ? [{ problem: 'an instance that hears nobody takes new work', evidence: [show(event)] }]
    : [])
}

function show (event: ConfigurationEvent): string {
  return JSON.stringify(event)
}

/** Faults that the specs put into the decisions of a run, to check that the proof finds them. */
export interface ConfigurationBreakage {
  /** A write without an answer is reported as refused. */
  refusesUnansweredWrites?: boolean
  /** Instances announce revision 0 to peers, so that peers do not fetch from them. */
  hidesRevisions?: boolean
  /** An answer is dated by when it is handled rather than by when it was requested. */
  datesByArrival?: boolean
}

/** Proves the promise about configurations with racing operators, outages and partitions. */
export class ConfigurationInForceProof extends Proof {
  override readonly name = 'configuration-in-force'
  override readonly promise = 'A configuration that has been accepted is in force everywhere within seconds and never reverts'
  override readonly failures = [
    'racing operators', 'lost answers', 'late writes', 'service outages', 'silent watches', 'lost messages', 'partitions',
    'instances cut off from everyone', 'kills and starts, also during outages', 'freezes'
  ]

  constructor (private readonly _breakage: ConfigurationBreakage = {}) {
    super()
  }

  override run (seed: number): ProofRun {
    const run = new ConfigurationRun(seed, this._breakage)
    const violations = checkConfigurationHistory(run.perform(), RUN_LENGTH)
    return { counts: run.counts, violations }
  }
}

class ConfigurationRun {
  readonly counts: Record<string, number> = {}
  private readonly _random: SeededRandom
  private readonly _fleet: ReplayedFleet
  private readonly _events: ConfigurationEvent[] = []
  private readonly _isolatedSince = new Map<string, Milliseconds>()
  private _partitionSides = new Map<string, number>()
  private _nextToken = 1

  constructor (seed: number, private readonly _breakage: ConfigurationBreakage) {
    this._random = new SeededRandom(seed)
    this._fleet = new ReplayedFleet({ instances: INSTANCES, seed })
    for (const instance of this._fleet.running) this._applyBreakage(instance)
    this._fleet.onInForce = (instance, { revision, changeToken }) => {
      this._events.push({ kind: 'in-force', at: this._now, instance: nameOf(instance), revision, changeToken })
      if (this._breakage.hidesRevisions === true) instance.table.updateSelf({ configurationRevision: 0 }, this._now)
    }
    this._fleet.network.isConnected = (left, right) => {
      const isIsolated = this._isolatedSince.has(left) || this._isolatedSince.has(right)
      return !isIsolated && (this._partitionSides.get(left) ?? 0) === (this._partitionSides.get(right) ?? 0)
    }
  }

  perform (): readonly ConfigurationEvent[] {
    const { time } = this._fleet
    const active = RUN_LENGTH - QUIET_TAIL
    for (const instance of this._fleet.running) this._recordIfConnected(instance)
    this._fleet.network.lossShare = this._random.next() * 0.1
    for (let count = 0; count < CHANGES; count++) time.after(this._random.next() * active, () => { this._changeConfiguration() })
    for (let count = 0; count < FAULTS; count++) this._scheduleFaultWithin(active - 40_000)
    for (let at = 0; at < RUN_LENGTH; at += WORK_SAMPLING_INTERVAL) time.after(at, () => { this._sampleWork() })
    time.runUntil(RUN_LENGTH)
    return this._events
  }

  private get _now (): Milliseconds {
    return this._fleet.time.now
  }

  /**
   * An operator changes the revision that a random instance shows, at times in a race with a second operator.
   * A change whose outcome is unknown may be sent again.
   */
  private _changeConfiguration (): void {
    const instance = this._random.pick(this._fleet.running)
    const revision = instance.propagation.state.version.revision + 1
    const racers = this._random.next() < 0.3 ? 2 : 1
    for (let racer = 0; racer < racers; racer++) {
      const changeToken = `change-${this._nextToken++}`
      this._apply(racer === 0 ? instance : this._random.pick(this._fleet.running), revision, changeToken, false)
    }
  }

  private _apply (instance: ReplayedInstance, revision: number, changeToken: string, isResent: boolean): void {
    this._fleet.apply(instance, revision, changeToken, isResent, outcome => {
      const isBroken = outcome.kind === 'unknown' && this._breakage.refusesUnansweredWrites === true
      const kind = isBroken ? 'refused' : outcome.kind
      this._count(kind)
      this._events.push({ kind: 'reported', at: this._now, outcome: kind, revision, changeToken })
      if (kind === 'unknown' && this._random.next() < 0.5) {
        this._count('sent again')
        this._apply(this._random.pick(this._fleet.running), revision, changeToken, true)
      }
    })
  }

  private _scheduleFaultWithin (span: Milliseconds): void {
    this._fleet.time.after(this._random.next() * span, () => { this._injectFault() })
  }

  private _injectFault (): void {
    const faults = [
      () => { this._injectServiceFaults() },
      () => { this._injectServiceFaults() },
      () => { this._partition() },
      () => { this._isolate() },
      () => { this._freeze() },
      () => { this._restart() },
      () => { this._silenceWatches() }
    ]
    this._random.pick(faults)()
  }

  private _injectServiceFaults (): void {
    const isDown = this._random.next() < 0.4
    this._count(isDown ? 'outages' : 'lossy service')
    this._fleet.keyValue.faults = {
      isDown, maximumDelay: 500, lostAnswerShare: 0.3, lostCallShare: 0.1, lateWriteShare: 0.3
    }
    this._fleet.time.after(this._random.next() * 30_000, () => { this._fleet.keyValue.faults = FAULTLESS })
  }

  private _partition (): void {
    if (this._partitionSides.size > 0) return
    this._count('partitions')
    for (const instance of this._fleet.running) this._recordDisturbed(instance)
    this._partitionSides = new Map([...this._fleet.instances.keys()].map(host => [host, this._random.integer(2)]))
    this._fleet.time.after(this._random.next() * 30_000, () => {
      this._partitionSides = new Map()
      for (const instance of this._fleet.running) this._recordIfConnected(instance)
    })
  }

  private _isolate (): void {
    const instance = this._random.pick(this._fleet.running)
    const { host } = instance.self
    if (this._isolatedSince.has(host)) return
    this._count('isolations')
    this._recordDisturbed(instance)
    this._isolatedSince.set(host, this._now)
    this._fleet.hostsWithoutKeyValue.add(host)
    this._fleet.time.after(this._random.next() * 40_000, () => {
      this._isolatedSince.delete(host)
      this._fleet.hostsWithoutKeyValue.delete(host)
      for (const running of this._fleet.running) if (running.self.host === host) this._recordIfConnected(running)
    })
  }

  private _freeze (): void {
    const instance = this._random.pick(this._fleet.running)
    if (instance.process.isFrozen) return
    this._count('freezes')
    this._recordDisturbed(instance)
    instance.process.freeze()
    this._fleet.time.after(this._random.next() * 30_000, () => {
      instance.process.thaw()
      this._recordIfConnected(instance)
    })
  }

  private _restart (): void {
    const index = this._random.integer(INSTANCES)
    const instance = this._fleet.instances.get(`entry-host-${index}`)
    if (instance === undefined || !instance.process.isRunning || this._fleet.running.length < 3) return
    this._count('restarts')
    this._recordDisturbed(instance)
    instance.kill()
    this._fleet.time.after(this._random.next() * 20_000, () => {
      this._recordIfConnected(this._applyBreakage(this._fleet.start(index)))
    })
  }

  private _applyBreakage (instance: ReplayedInstance): ReplayedInstance {
    const { propagation: spread } = instance
    const handle = spread.handle.bind(spread)
    if (this._breakage.datesByArrival === true) spread.handle = (message, now) => handle(dateByArrival(message, now), now)
    return instance
  }

  private _silenceWatches (): void {
    this._count('silent watches')
    for (const instance of this._fleet.running) instance.isWatchSilent = instance.isWatchSilent || this._random.next() < 0.7
  }

  private _sampleWork (): void {
    for (const instance of this._fleet.running) {
      const since = this._isolatedSince.get(instance.self.host)
      if (since === undefined || instance.process.isFrozen || !instance.propagation.mayTakeWork(this._now)) continue
      this._events.push({ kind: 'isolated-work', at: this._now, instance: nameOf(instance), since })
    }
  }

  private _recordIfConnected (instance: ReplayedInstance): void {
    const { host } = instance.self
    const { isRunning, isFrozen } = instance.process
    const isReachable = isRunning && !isFrozen && !this._isolatedSince.has(host) && this._partitionSides.size === 0
    if (isReachable) this._events.push({ kind: 'connected', at: this._now, instance: nameOf(instance) })
  }

  private _recordDisturbed (instance: ReplayedInstance): void {
    this._events.push({ kind: 'disturbed', at: this._now, instance: nameOf(instance) })
  }

  private _count (name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1
  }
}

function dateByArrival (message: PropagationMessage, now: Milliseconds): PropagationMessage {
  const isDated = message.kind === 'revision-seen' || message.kind === 'fetched' || message.kind === 'service-told'
  return isDated ? { ...message, askedAt: now } : message
}

function nameOf (instance: ReplayedInstance): string {
  return `${instance.self.host}#${instance.run}`
}
