/** One instance of the replay: the decisions of membership and configuration, with their effects performed in virtual time. */
import {
  ConfigurationChangeAttempt, configurationRecordSchema, ConfigurationPropagation, contentDigest, INDIRECT_PROBE_TIMEOUT,
  Membership, MemberTable, PROBE_TIMEOUT, RegistrationSchedule, SeededRandom,
  type ChangeEffect, type ChangeMessage, type ChangeOutcome, type CompareAndSwapOutcome, type ConfigurationRecord, type Member,
  type MembershipEffect, type MembershipMessage, type Milliseconds, type PropagationEffect, type PropagationMessage,
  type VersionedValue
} from '@wasabihead/coordination'
import { CALL_OVERHEAD_BYTES, digestsBytes, membersBytes } from './messageSizes.js'
import { ReplayedProcess, type ReplayedNetwork } from './replayedNetwork.js'
import type { SimulatedAnswer, SimulatedKeyValue } from './simulatedKeyValue.js'
import type { VirtualTime } from './virtualTime.js'

/** Key of the configuration in the replay's service. */
export const CONFIGURATION_KEY = 'configuration'

const TICK_INTERVAL: Milliseconds = 250
const CALL_TIMEOUT: Milliseconds = 2_000
const REGISTRATION_TIME_TO_LIVE: Milliseconds = 180_000

/** What the instances of one replay share. */
export interface ReplayedWorld {
  time: VirtualTime
  network: ReplayedNetwork
  keyValue: SimulatedKeyValue
  /** Whether a host reaches the key-value service. */
  reachesService: (host: string) => boolean
  /** The entries registered in the key-value service; undefined where a host cannot read them. */
  readRegistrations: (host: string) => Member[] | undefined
  /** Bytes of the configuration as it is fetched. */
  configurationBytes: number
  inForce: (instance: ReplayedInstance, record: ConfigurationRecord) => void
}

/** What an instance is started with. */
export interface ReplayedStart {
  host: string
  dataCentre: string
  incarnation: number
  seed: number
  /** Members found in the key-value service. */
  found: Member[]
}

interface ProbeAnswer {
  host: string
  members: Member[]
  revision: number
}

/** A running instance. */
export class ReplayedInstance {
  readonly process: ReplayedProcess
  readonly table: MemberTable
  readonly membership: Membership
  readonly spread: ConfigurationPropagation
  /** Incarnation at the start: names the run. */
  readonly run: number
  isWatching = false
  /** A silent watch tells nothing more, and does not end. */
  isWatchSilent = false
  private readonly _peers = new Map<string, ReplayedInstance>()
  private _killedAt = Infinity
  private readonly _schedule: RegistrationSchedule
  private _toldVersion = 0

  constructor (private readonly _world: ReplayedWorld, start: ReplayedStart) {
    const random = new SeededRandom(start.seed)
    // With a random of its own, so that reading the registrations changes no other choice of a seed.
    this._schedule = new RegistrationSchedule(new SeededRandom(start.seed + 1))
    this._schedule.onListRead(_world.time.now)
    this.run = start.incarnation
    this.process = new ReplayedProcess(start.host)
    this.table = new MemberTable(createEntry(start))
    this.membership = new Membership(this.table, random)
    this.spread = new ConfigurationPropagation(random)
    _world.network.add(this.process)
    this._handle({ kind: 'registered', members: start.found })
    this._perform({ kind: 'read-current' })
    this._world.time.after(random.next() * TICK_INTERVAL, () => { this._tick() })
    this._startNextRound()
  }

  /** Lets this instance run code at others, as the network would. */
  meet (instances: Iterable<ReplayedInstance>): void {
    for (const instance of instances) this._peers.set(instance.process.host, instance)
  }

  /** This instance's own entry. */
  get self (): Member {
    return this.table.self
  }

  /** What stands of it in the key-value service; undefined once the lease has lapsed after its end. */
  get registration (): Member | undefined {
    if (this._world.time.now - this._killedAt >= REGISTRATION_TIME_TO_LIVE) return undefined
    return { ...this.self, version: 0, state: 'alive', configurationRevision: 0 }
  }

  /** Ends the instance without a word. */
  kill (): void {
    this.process.isRunning = false
    this._killedAt = this._world.time.now
  }

  /** The service tells a new value on the watch. */
  tell (record: ConfigurationRecord): void {
    this.process.perform(() => { this._spread({ kind: 'service-told', record }) })
  }

  /** The service drops the watch. */
  endWatch (): void {
    this.isWatching = false
    this.process.perform(() => { this._spread({ kind: 'watch-ended' }) })
  }

  /** Performs an operator's change. */
  apply (record: ConfigurationRecord, isResent: boolean, done: (outcome: ChangeOutcome) => void): void {
    const attempt = new ConfigurationChangeAttempt(record, isResent)
    const handle = (message: ChangeMessage): void => {
      this.process.perform(() => { this._performChange(attempt.handle(message, this._world.time.now), handle, done) })
    }
    handle({ kind: 'start' })
  }

  private _startNextRound (): void {
    this._world.time.after(this._schedule.nextRoundDelay(), () => {
      if (!this.process.isRunning) return
      this._startNextRound()
      if (!this.process.isFrozen) this._readRegistrations(this._world.time.now)
    })
  }

  private _readRegistrations (now: Milliseconds): void {
    if (!this._schedule.isListDue(this.table.live.length, now)) return
    const members = this._world.readRegistrations(this.process.host)
    if (members === undefined) return
    this._schedule.onListRead(now)
    this._handle({ kind: 'registered', members })
  }

  private _tick (): void {
    if (!this.process.isRunning) return
    this._world.time.after(TICK_INTERVAL, () => { this._tick() })
    if (this.process.isFrozen) return
    if (this.self.version !== this._toldVersion) this.membership.gossipSelf()
    this._toldVersion = this.self.version
    this._handle({ kind: 'tick' })
    this._spread({ kind: 'tick', self: this.self, members: this.table.members })
  }

  private _handle (message: MembershipMessage): MembershipEffect[] {
    const effects = this.membership.handle(message, this._world.time.now)
    for (const effect of effects) this._performMembership(effect)
    return effects
  }

  private _performMembership (effect: MembershipEffect): void {
    switch (effect.kind) {
      case 'probe': {
        const askedAt = this._world.time.now
        return this._probe(effect.target.host, effect.news, answer => { this._finishProbe(effect.probeId, askedAt, answer) })
      }
      case 'probe-through': return this._probeThrough(effect)
      case 'push': return this._push(effect.target.host, effect.news)
      case 'compare-page': return this._comparePage(effect)
      case 'answer':
      case 'answer-page':
    }
  }

  private _finishProbe (probeId: number, askedAt: Milliseconds, answer: ProbeAnswer | undefined): void {
    if (answer === undefined) {
      this._handle({ kind: 'probe-failed', probeId })
      return
    }
    this._spread({ kind: 'revision-seen', host: answer.host, revision: answer.revision, askedAt })
    this._handle({ kind: 'acknowledged', probeId, members: answer.members })
  }

  private _probe (host: string, news: Member[], done: (answer: ProbeAnswer | undefined) => void): void {
    const { host: from, configurationRevision: revision } = this.self
    this._world.network.call<ProbeAnswer>({
      from: this.process,
      to: host,
      timeout: PROBE_TIMEOUT,
      bytes: CALL_OVERHEAD_BYTES / 2 + membersBytes(news),
      perform: (callee, answer) => {
        const peer = this._peerAt(callee)
        peer._spread({ kind: 'revision-seen', host: from, revision })
        const members = peer._handle({ kind: 'probed', members: news }).flatMap(effect => effect.kind === 'answer' ? effect.news : [])
        answer({ host, members, revision: peer.self.configurationRevision }, CALL_OVERHEAD_BYTES / 2 + membersBytes(members))
      },
      done
    })
  }

  private _probeThrough (effect: Extract<MembershipEffect, { kind: 'probe-through' }>): void {
    const askedAt = this._world.time.now
    this._world.network.call<ProbeAnswer>({
      from: this.process,
      to: effect.helper.host,
      timeout: INDIRECT_PROBE_TIMEOUT,
      bytes: CALL_OVERHEAD_BYTES / 2 + membersBytes(effect.news),
      perform: (callee, answer) => {
        const helper = this._peerAt(callee)
        helper._handle({ kind: 'heard', members: effect.news })
        const known = helper.table.find(effect.target.host)
        helper._probe(effect.target.host, known === undefined || known.state === 'alive' ? [] : [known], found => {
          if (found === undefined) return
          answer({ ...found, host: helper.self.host, revision: helper.self.configurationRevision },
            CALL_OVERHEAD_BYTES / 2 + membersBytes(found.members))
        })
      },
      done: answer => { this._finishProbe(effect.probeId, askedAt, answer) }
    })
  }

  private _push (to: string, news: Member[]): void {
    this._world.network.call<boolean>({
      from: this.process,
      to,
      timeout: CALL_TIMEOUT,
      bytes: CALL_OVERHEAD_BYTES / 2 + membersBytes(news),
      perform: (callee, answer) => {
        this._peerAt(callee)._handle({ kind: 'heard', members: news })
        answer(true, CALL_OVERHEAD_BYTES / 2)
      },
      done: () => {}
    })
  }

  private _comparePage (effect: Extract<MembershipEffect, { kind: 'compare-page' }>): void {
    const { host } = effect.target
    this._world.network.call<{ members: Member[], wanted: string[] }>({
      from: this.process,
      to: host,
      timeout: CALL_TIMEOUT,
      bytes: CALL_OVERHEAD_BYTES / 2 + digestsBytes(effect.page.digests),
      perform: (callee, answer) => {
        const [result] = this._peerAt(callee)._handle({ kind: 'page-received', page: effect.page })
        if (result?.kind !== 'answer-page') return
        answer(result.answer, CALL_OVERHEAD_BYTES / 2 + membersBytes(result.answer.members))
      },
      done: answer => {
        if (answer !== undefined) this._handle({ kind: 'page-answered', host, answer })
      }
    })
  }

  private _spread (message: PropagationMessage): void {
    for (const effect of this.spread.handle(message, this._world.time.now)) this._perform(effect)
  }

  private _perform (effect: PropagationEffect): void {
    switch (effect.kind) {
      case 'start-watch':
        this.isWatching = true
        this.isWatchSilent = false
        return
      case 'stop-watch':
        this.isWatching = false
        return
      case 'read-current': return this._read(CONFIGURATION_KEY)
      case 'read-history': return this._read(historyKey(effect.revision))
      case 'fetch': return this._fetch(effect.host, effect.knownRevision)
      case 'in-force':
        this.table.updateSelf({ configurationRevision: effect.record.revision }, this._world.time.now)
        this._world.inForce(this, effect.record)
        this._handle({ kind: 'announce' })
    }
  }

  private _read (key: string): void {
    const askedAt = this._world.time.now
    this._callService<ConfigurationRecord | undefined>(
      answered => { this._world.keyValue.read(key, answer => { answered(mapAnswer(answer, entry => decode(entry?.value))) }) },
      answer => { if (answer.kind === 'answered') this._spread({ kind: 'service-told', record: answer.value, askedAt }) })
  }

  private _fetch (host: string, knownRevision: number): void {
    const askedAt = this._world.time.now
    this._world.network.call<ConfigurationRecord | undefined>({
      from: this.process,
      to: host,
      timeout: CALL_TIMEOUT,
      bytes: CALL_OVERHEAD_BYTES / 2,
      perform: (callee, answer) => {
        const { current } = this._peerAt(callee).spread.state
        const isNewer = current !== undefined && current.revision > knownRevision
        answer(isNewer ? current : undefined, CALL_OVERHEAD_BYTES / 2 + (isNewer ? this._world.configurationBytes : 0))
      },
      done: record => {
        this._spread(record === undefined ? { kind: 'fetch-failed', host } : { kind: 'fetched', host, record, askedAt })
      }
    })
  }

  private _performChange (
    effect: ChangeEffect, handle: (message: ChangeMessage) => void, done: (outcome: ChangeOutcome) => void
  ): void {
    const { keyValue, time } = this._world
    const call = <Value>(
      start: (answered: (answer: SimulatedAnswer<Value>) => void) => void, toMessage: (value: Value) => ChangeMessage
    ): void => {
      this._callService(start, answer => { handle(toChangeMessage(answer, toMessage)) })
    }
    switch (effect.kind) {
      case 'read-current': return call<VersionedValue | undefined>(
        answered => { keyValue.read(CONFIGURATION_KEY, answered) },
        entry => ({ kind: 'current-read', current: { record: decode(entry?.value), keyRevision: entry?.revision ?? 0 } }))
      case 'read-history': return call<VersionedValue | undefined>(
        answered => { keyValue.read(historyKey(effect.revision), answered) },
        entry => ({ kind: 'history-read', record: decode(entry?.value) }))
      case 'keep-history': return call<CompareAndSwapOutcome>(
        answered => { keyValue.compareAndSwap(historyWrite(effect.record), answered) }, () => ({ kind: 'history-kept' }))
      case 'write': return call<CompareAndSwapOutcome>(
        answered => {
          const { record, expectedRevision } = effect
          keyValue.compareAndSwap({ key: CONFIGURATION_KEY, value: JSON.stringify(record), expectedRevision }, answered)
        },
        outcome => ({ kind: 'written', outcome }))
      case 'wait': return time.after(effect.delay, () => { handle({ kind: 'retry' }) })
      case 'finish': return this._finishChange(effect.outcome, done)
    }
  }

  private _finishChange (outcome: ChangeOutcome, done: (outcome: ChangeOutcome) => void): void {
    if (outcome.kind === 'accepted') {
      this._spread({ kind: 'service-told', record: outcome.record })
      const write = historyWrite(outcome.record)
      this._callService<CompareAndSwapOutcome>(answered => { this._world.keyValue.compareAndSwap(write, answered) }, () => {})
    }
    done(outcome)
  }

  private _callService<Value> (
    start: (answered: (answer: SimulatedAnswer<Value>) => void) => void, done: (answer: SimulatedAnswer<Value>) => void
  ): void {
    const finish = (answer: SimulatedAnswer<Value>): void => { this.process.perform(() => { done(answer) }) }
    if (this._world.reachesService(this.process.host)) start(finish)
    else this._world.time.after(CALL_TIMEOUT, () => { finish({ kind: 'no-answer' }) })
  }

  private _peerAt (callee: ReplayedProcess): ReplayedInstance {
    const peer = this._peers.get(callee.host)
    if (peer === undefined) throw new Error(`${callee.host} is not part of the replay`)
    return peer
  }
}

/** A record as an operator's change would store it. */
export function createRecord (revision: number, changeToken: string): ConfigurationRecord {
  const source = `revision ${revision} by ${changeToken}`
  return { revision, changeToken, digest: contentDigest(source), source, author: 'operator', appliedAt: '' }
}

/** The entry of an instance that starts. */
export function createEntry (start: Omit<ReplayedStart, 'seed' | 'found'>): Member {
  const { host, dataCentre, incarnation } = start
  return {
    host,
    dataCentre,
    incarnation,
    version: 1,
    peerAddress: 'http://10.100.200.123:7003',
    callerAddress: 'http://10.100.200.123:7001',
    state: 'alive',
    configurationRevision: 0
  }
}

function historyKey (revision: number): string {
  return `configuration-history/${revision}`
}

function historyWrite (record: ConfigurationRecord): { key: string, value: string, expectedRevision: number } {
  return { key: historyKey(record.revision), value: JSON.stringify(record), expectedRevision: 0 }
}

function decode (json: string | undefined): ConfigurationRecord | undefined {
  return json === undefined ? undefined : configurationRecordSchema.parse(JSON.parse(json))
}

function mapAnswer<From, To> (answer: SimulatedAnswer<From>, convert: (value: From) => To): SimulatedAnswer<To> {
  return answer.kind === 'answered' ? { kind: 'answered', value: convert(answer.value) } : answer
}

function toChangeMessage<Value> (answer: SimulatedAnswer<Value>, toMessage: (value: Value) => ChangeMessage): ChangeMessage {
  if (answer.kind === 'answered') return toMessage(answer.value)
  return { kind: 'failed', failure: answer.kind === 'refused' ? 'refused' : 'ambiguous' }
}
