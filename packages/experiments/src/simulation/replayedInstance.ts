/** One simulated instance: the product's membership and configuration decisions, with effects performed in virtual time. */
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

/** Key of the configuration in the simulated key-value service. */
export const CONFIGURATION_KEY = 'configuration'

const TICK_INTERVAL: Milliseconds = 250
const CALL_TIMEOUT: Milliseconds = 2_000
const REGISTRATION_TIME_TO_LIVE: Milliseconds = 180_000

/** What the instances of one simulation share. */
export interface ReplayedWorld {
  time: VirtualTime
  network: ReplayedNetwork
  keyValue: SimulatedKeyValue
  /** Whether a host can reach the key-value service. */
  reachesService: (host: string) => boolean
  /** Lists the entries registered in the key-value service; undefined if the host cannot read them. */
  readRegistrations: (host: string) => Member[] | undefined
  /** Size in bytes of the configuration when one instance fetches it from another. */
  configurationBytes: number
  onInForce: (instance: ReplayedInstance, record: ConfigurationRecord) => void
}

/** Identity, seed and known members of an instance at its start. */
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

/** A simulated instance. It starts with its construction and runs until `kill`. */
export class ReplayedInstance {
  readonly process: ReplayedProcess
  readonly table: MemberTable
  readonly membership: Membership
  readonly propagation: ConfigurationPropagation
  /** Incarnation at the start; identifies this run of the host's process. */
  readonly run: number
  isWatching = false
  /** Whether the watch has stalled: it stays open but delivers no more changes. */
  isWatchSilent = false
  private readonly _peers = new Map<string, ReplayedInstance>()
  private _killedAt = Infinity
  private readonly _schedule: RegistrationSchedule
  private _gossipedVersion = 0

  constructor (private readonly _world: ReplayedWorld, start: ReplayedStart) {
    const random = new SeededRandom(start.seed)
    // A separate random generator, so that listing the registrations does not alter the other random choices of the same seed.
    this._schedule = new RegistrationSchedule(new SeededRandom(start.seed + 1))
    this._schedule.onListRead(_world.time.now)
    this.run = start.incarnation
    this.process = new ReplayedProcess(start.host)
    this.table = new MemberTable(createEntry(start))
    this.membership = new Membership(this.table, random)
    this.propagation = new ConfigurationPropagation(random)
    _world.network.add(this.process)
    this._handleMembership({ kind: 'registered', members: start.found })
    this._performPropagation({ kind: 'read-current' })
    this._world.time.after(random.next() * TICK_INTERVAL, () => { this._tick() })
    this._startNextRound()
  }

  /** Adds the peers that this instance can call over the simulated network. */
  addPeers (instances: Iterable<ReplayedInstance>): void {
    for (const instance of instances) this._peers.set(instance.process.host, instance)
  }

  /** This instance's own entry. */
  get self (): Member {
    return this.table.self
  }

  /** This instance's registration in the key-value service; undefined once its lease has expired after `kill`. */
  get registration (): Member | undefined {
    if (this._world.time.now - this._killedAt >= REGISTRATION_TIME_TO_LIVE) return undefined
    return { ...this.self, version: 0, state: 'alive', configurationRevision: 0 }
  }

  /** Kills the instance without notifying its peers. Its registration remains until its lease expires. */
  kill (): void {
    this.process.isRunning = false
    this._killedAt = this._world.time.now
  }

  /** Delivers a new configuration through the key-value service's watch. */
  notifyWatch (record: ConfigurationRecord): void {
    this.process.perform(() => { this._handlePropagation({ kind: 'service-told', record }) })
  }

  /** Ends the watch, as when the key-value service closes its connection. */
  endWatch (): void {
    this.isWatching = false
    this.process.perform(() => { this._handlePropagation({ kind: 'watch-ended' }) })
  }

  /** Applies an operator's configuration change. `done` is called with the outcome unless the instance is killed first. */
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
    this._handleMembership({ kind: 'registered', members })
  }

  private _tick (): void {
    if (!this.process.isRunning) return
    this._world.time.after(TICK_INTERVAL, () => { this._tick() })
    if (this.process.isFrozen) return
    if (this.self.version !== this._gossipedVersion) this.membership.gossipSelf()
    this._gossipedVersion = this.self.version
    this._handleMembership({ kind: 'tick' })
    this._handlePropagation({ kind: 'tick', self: this.self, members: this.table.members })
  }

  private _handleMembership (message: MembershipMessage): MembershipEffect[] {
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
      this._handleMembership({ kind: 'probe-failed', probeId })
      return
    }
    this._handlePropagation({ kind: 'revision-seen', host: answer.host, revision: answer.revision, askedAt })
    this._handleMembership({ kind: 'acknowledged', probeId, members: answer.members })
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
        peer._handlePropagation({ kind: 'revision-seen', host: from, revision })
        const members = peer._handleMembership({ kind: 'probed', members: news })
          .flatMap(effect => effect.kind === 'answer' ? effect.news : [])
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
        helper._handleMembership({ kind: 'heard', members: effect.news })
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
        this._peerAt(callee)._handleMembership({ kind: 'heard', members: news })
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
        const [result] = this._peerAt(callee)._handleMembership({ kind: 'page-received', page: effect.page })
        if (result?.kind !== 'answer-page') return
        answer(result.answer, CALL_OVERHEAD_BYTES / 2 + membersBytes(result.answer.members))
      },
      done: answer => {
        if (answer !== undefined) this._handleMembership({ kind: 'page-answered', host, answer })
      }
    })
  }

  private _handlePropagation (message: PropagationMessage): void {
    for (const effect of this.propagation.handle(message, this._world.time.now)) this._performPropagation(effect)
  }

  private _performPropagation (effect: PropagationEffect): void {
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
        this._world.onInForce(this, effect.record)
        this._handleMembership({ kind: 'announce' })
    }
  }

  private _read (key: string): void {
    const askedAt = this._world.time.now
    this._callService<ConfigurationRecord | undefined>(
      answered => { this._world.keyValue.read(key, answer => { answered(mapAnswer(answer, entry => decode(entry?.value))) }) },
      answer => {
        if (answer.kind === 'answered') this._handlePropagation({ kind: 'service-told', record: answer.value, askedAt })
      })
  }

  private _fetch (host: string, knownRevision: number): void {
    const askedAt = this._world.time.now
    this._world.network.call<ConfigurationRecord | undefined>({
      from: this.process,
      to: host,
      timeout: CALL_TIMEOUT,
      bytes: CALL_OVERHEAD_BYTES / 2,
      perform: (callee, answer) => {
        const { current } = this._peerAt(callee).propagation.state
        const isNewer = current !== undefined && current.revision > knownRevision
        answer(isNewer ? current : undefined, CALL_OVERHEAD_BYTES / 2 + (isNewer ? this._world.configurationBytes : 0))
      },
      done: record => {
        this._handlePropagation(
          record === undefined ? { kind: 'fetch-failed', host } : { kind: 'fetched', host, record, askedAt })
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
      this._handlePropagation({ kind: 'service-told', record: outcome.record })
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
    if (peer === undefined) throw new Error(`${callee.host} is not an instance of this simulation`)
    return peer
  }
}

/** Creates the configuration record that an operator's change would store. */
export function createRecord (revision: number, changeToken: string): ConfigurationRecord {
  const source = `revision ${revision} by ${changeToken}`
  return { revision, changeToken, digest: contentDigest(source), source, author: 'operator', appliedAt: '' }
}

/** Creates the member entry of an instance at its start. */
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
  return answer.kind === 'answered' ? { ...answer, value: convert(answer.value) } : answer
}

function toChangeMessage<Value> (answer: SimulatedAnswer<Value>, toMessage: (value: Value) => ChangeMessage): ChangeMessage {
  if (answer.kind === 'answered') return toMessage(answer.value)
  return { kind: 'failed', failure: answer.kind === 'refused' ? 'refused' : 'ambiguous' }
}
