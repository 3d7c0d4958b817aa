/**
 * Proof: a backend server that is leaving receives no new work after a few seconds, although the platform's list lags by a
 * different time for each instance that reads it, messages are lost, and instances die.
 */
import {
  LEAVING_TICK_INTERVAL, LeavingPropagation, SeededRandom, type LeavingEffect, type ListedHost, type Member
} from '@wasabihead/coordination'
import { VirtualTime } from '@wasabihead/experiments'
import { Proof, type ProofRun, type Violation } from './proof.js'

const INSTANCES = 40
const DATA_CENTRES = 4
const SERVERS = 20
const RUN_END = 120_000
const CHANGES_END = 90_000
const LOSS_SHARE = 0.3
const MAXIMUM_LIST_LAG = 3_000
/** The promised "few seconds", counted from the `shown` event, when the list shows the leaving to every instance. */
const ALLOWED_DELAY = 5_000

/** One event of a run. */
export type LeavingEvent =
  | { kind: 'shown', at: number, server: string }
  | { kind: 'back', at: number, server: string }
  | { kind: 'work', at: number, server: string, instance: string }

/** Checks a history against the promise alone, not how it is kept. */
export function checkLeaving (history: readonly LeavingEvent[]): Violation[] {
  const shownAt = new Map<string, number>()
  return history.flatMap((event): Violation[] => {
    if (event.kind === 'shown') shownAt.set(event.server, event.at)
    if (event.kind === 'back') shownAt.delete(event.server)
    const shown = shownAt.get(event.server)
    if (event.kind !== 'work' || shown === undefined || event.at - shown <= ALLOWED_DELAY) return []
    return [{ problem: `new work ${event.at - shown} ms after the leaving was shown`, evidence: [JSON.stringify(event)] }]
  })
}

/** Creates the decision code of one instance; the spec passes broken variants. */
export type PropagationFactory = (random: SeededRandom) => Pick<LeavingPropagation, 'handle' | 'isLeaving' | 'words'>

interface SimulatedInstance {
  member: Member
  spread: ReturnType<PropagationFactory>
  /** How far the list lags that this instance reads. */
  lag: number
  isDead: boolean
}

class LeavingSimulation {
  readonly history: LeavingEvent[] = []
  readonly counts = { work: 0, leaving: 0, told: 0, asked: 0, lost: 0, killed: 0 }
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  /** Separate, so that a variant without requests to peers receives the same updates in a run of the same seed. */
  private readonly _requestRandom: SeededRandom
  private readonly _instances: SimulatedInstance[]
  private readonly _changes: Array<{ at: number, server: string, state: ListedHost['state'] }> = []

  constructor (seed: number, makeSpread: PropagationFactory) {
    this._random = new SeededRandom(seed)
    this._requestRandom = new SeededRandom(seed + 1)
    this._instances = Array.from({ length: INSTANCES }, (_, index) => ({
      member: memberOf(index),
      spread: makeSpread(new SeededRandom(seed * 1_000 + index)),
      lag: this._random.next() * MAXIMUM_LIST_LAG,
      isDead: false
    }))
  }

  run (): void {
    this._every(LEAVING_TICK_INTERVAL, () => { this._tickAll() })
    this._every(15_000, () => { this._changeList() })
    this._every(25_000, () => { this._killOne() })
    this._every(250, () => { this._dispatch() })
    this._time.runUntil(RUN_END)
  }

  private _every (interval: number, perform: () => void): void {
    this._time.after(interval, () => {
      perform()
      this._every(interval, perform)
    })
  }

  private _live (): SimulatedInstance[] {
    return this._instances.filter(instance => !instance.isDead)
  }

  private _tickAll (): void {
    const live = this._live()
    const members = live.map(({ member }) => member)
    for (const instance of live) this._deliver(instance, { kind: 'tick', self: instance.member, live: members })
  }

  private _deliver (instance: SimulatedInstance, message: Parameters<LeavingPropagation['handle']>[0]): void {
    if (instance.isDead) return
    for (const effect of instance.spread.handle(message, this._time.now)) this._perform(instance, effect)
  }

  private _perform (instance: SimulatedInstance, effect: LeavingEffect): void {
    if (effect.kind === 'read-list') return this._deliver(instance, { kind: 'listed', hosts: this._listFor(instance) })
    if (effect.kind === 'ask') return this._requestReports(instance, effect.target.host)
    this.counts.told += 1
    if (this._random.next() < LOSS_SHARE) {
      this.counts.lost += 1
      return
    }
    const target = this._instances.find(({ member }) => member.host === effect.target.host) as SimulatedInstance
    this._time.after(this._random.next() * 100, () => { this._deliver(target, { kind: 'heard', servers: effect.servers }) })
  }

  private _requestReports (asker: SimulatedInstance, host: string): void {
    this.counts.asked += 1
    const askedAt = this._time.now
    const target = this._instances.find(({ member }) => member.host === host) as SimulatedInstance
    this._deliverOrLose(() => {
      if (target.isDead) return
      const words = target.spread.words(this._time.now)
      this._deliverOrLose(() => { this._deliver(asker, { kind: 'answered', words, askedAt }) })
    })
  }

  private _deliverOrLose (arrive: () => void): void {
    if (this._requestRandom.next() < LOSS_SHARE) this.counts.lost += 1
    else this._time.after(this._requestRandom.next() * 100, arrive)
  }

  private _listFor (instance: SimulatedInstance): ListedHost[] {
    const shownAsOf = this._time.now - instance.lag
    return Array.from({ length: SERVERS }, (_, index) => {
      const name = `engine-${index}`
      const last = this._changes.filter(change => change.server === name && change.at <= shownAsOf).at(-1)
      return { name, address: `http://${name}`, state: last?.state ?? 'live' }
    })
  }

  private _changeList (): void {
    if (this._time.now > CHANGES_END) return
    const server = `engine-${this._random.integer(SERVERS)}`
    const isLeaving = this._changes.filter(change => change.server === server).at(-1)?.state === 'leaving'
    this._changes.push({ at: this._time.now, server, state: isLeaving ? 'live' : 'leaving' })
    if (isLeaving) {
      this.history.push({ kind: 'back', at: this._time.now, server })
      return
    }
    this.counts.leaving += 1
    this._time.after(MAXIMUM_LIST_LAG, () => { this.history.push({ kind: 'shown', at: this._time.now, server }) })
  }

  private _killOne (): void {
    this.counts.killed += 1
    this._random.pick(this._live()).isDead = true
  }

  private _dispatch (): void {
    for (const instance of this._live()) {
      const server = `engine-${this._random.integer(SERVERS)}`
      if (instance.spread.isLeaving(server, this._time.now)) continue
      this.counts.work += 1
      this.history.push({ kind: 'work', at: this._time.now, server, instance: instance.member.host })
    }
  }
}

function memberOf (index: number): Member {
  const host = `entry-${index}`
  return {
    host,
    incarnation: 1,
    version: 1,
    dataCentre: `data-centre-${index % DATA_CENTRES}`,
    peerAddress: `http://${host}`,
    callerAddress: `http://${host}`,
    state: 'alive',
    configurationRevision: 1
  }
}

/** Proves the promise about leaving servers with a lagging list, lost messages and killed instances. */
export class LeavingProof extends Proof {
  override readonly name = 'leaving'
  override readonly promise = 'A backend server that is leaving receives no new work after a few seconds'
  override readonly failures = ['a list that lags by up to 3 s, differently for each reader', '30% of words lost', 'instances killed']

  constructor (private readonly _makeSpread: PropagationFactory = random => new LeavingPropagation(random)) {
    super()
  }

  override run (seed: number): ProofRun {
    const simulation = new LeavingSimulation(seed, this._makeSpread)
    simulation.run()
    return { counts: simulation.counts, violations: checkLeaving(simulation.history) }
  }
}
