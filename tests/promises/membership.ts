/** Proof: no live, reachable instance stays dead for the others, and a killed one is seen dead in bounded time. */
import { SeededRandom, type Member, type MembershipMessage, type Milliseconds } from '@wasabihead/coordination'
import { ReplayedFleet, type ReplayedInstance } from '@wasabihead/experiments'
import { Proof, type ProofRun, type Violation } from './proof.js'

/** Maximum time until every undisturbed instance observes a killed one as dead. */
export const DETECTION_LIMIT: Milliseconds = 60_000
/** Maximum time until instances that reach each other again observe each other as alive. */
export const REJOIN_LIMIT: Milliseconds = 120_000

const INSTANCES = 10
const FAULTS_END: Milliseconds = 150_000
const RUN_LENGTH: Milliseconds = FAULTS_END + REJOIN_LIMIT + 30_000
const FAULTS = 8
const MAXIMUM_FAULT_LENGTH: Milliseconds = 60_000
const SAMPLING_INTERVAL: Milliseconds = 500

/** The state of a host in the member table of an observer; `unknown` where the table has no entry of it. */
export type ObservedState = Member['state'] | 'unknown'

/** One event of a run. */
export type MembershipEvent =
  | { kind: 'started', at: Milliseconds, host: string }
  | { kind: 'killed', at: Milliseconds, host: string }
  /** From this time on, kills are the only faults. */
  | { kind: 'quiet', at: Milliseconds }
  | { kind: 'believed', at: Milliseconds, observer: string, host: string, belief: ObservedState }

/** Checks a history against the promise alone, not how it is kept. */
export function checkMembershipHistory (events: readonly MembershipEvent[]): Violation[] {
  const quietAt = events.find(event => event.kind === 'quiet')?.at ?? Infinity
  const killedAt = new Map<string, Milliseconds>()
  for (const event of events) {
    if (event.kind === 'started') killedAt.delete(event.host)
    if (event.kind === 'killed') killedAt.set(event.host, event.at)
  }
  const hosts = [...new Set(events.flatMap(event => 'host' in event ? [event.host] : []))]
  const observers = hosts.filter(host => !killedAt.has(host))
  return observers.flatMap(observer => hosts.filter(host => host !== observer).flatMap(host => {
    const observations = events.filter(event => event.kind === 'believed' && event.observer === observer && event.host === host)
    const killed = killedAt.get(host)
    return killed === undefined
      ? findWrongStates(observations, quietAt + REJOIN_LIMIT, ['alive', 'suspect'], `${observer} does not see ${host} alive`)
      : findWrongStates(
        observations, Math.max(killed, quietAt) + DETECTION_LIMIT, ['dead', 'unknown'], `${observer} does not see ${host} dead`)
  }))
}

/** Finds an observed state that is not allowed, at the limit or at any later time. */
function findWrongStates (
  observations: readonly MembershipEvent[], limit: Milliseconds, allowed: readonly ObservedState[], problem: string
): Violation[] {
  const standing = observations.filter((event, index) => event.at > limit || (observations[index + 1]?.at ?? Infinity) > limit)
  const isRight = standing.length > 0 &&
    standing.every(event => event.kind === 'believed' && allowed.includes(event.belief))
  return isRight ? [] : [{ problem: `${problem} after ${limit}`, evidence: observations.map(event => JSON.stringify(event)) }]
}

/** Faults that the specs put into the decisions of a run, to check that the proof finds them. */
export type MembershipBreakage = 'ignores-failed-probes' | 'never-refutes' | 'forgets-the-dead' | 'reads-no-registrations'

/** Proves the promise about members with kills, restarts, freezes, partitions and lost messages. */
export class MembershipProof extends Proof {
  override readonly name = 'membership'
  override readonly promise = 'No live, reachable instance stays dead for the others, and a killed one is seen dead in bounded time'
  override readonly failures = ['kills', 'restarts', 'freezes and thaws', 'partitions for up to a minute', 'lost messages']

  constructor (private readonly _breakage?: MembershipBreakage) {
    super()
  }

  override run (seed: number): ProofRun {
    const run = new MembershipRun(seed, this._breakage)
    const violations = checkMembershipHistory(run.perform())
    return { counts: run.counts, violations }
  }
}

class MembershipRun {
  readonly counts: Record<string, number> = {}
  private readonly _events: MembershipEvent[] = []
  private readonly _observedStates = new Map<string, ObservedState>()
  private readonly _random: SeededRandom
  private readonly _fleet: ReplayedFleet
  private _partitionSides = new Map<string, number>()

  constructor (seed: number, private readonly _breakage: MembershipBreakage | undefined) {
    this._random = new SeededRandom(seed)
    this._fleet = new ReplayedFleet({ instances: INSTANCES, seed })
    this._fleet.network.isConnected = (left, right) =>
      (this._partitionSides.get(left) ?? 0) === (this._partitionSides.get(right) ?? 0)
    // Reading registrations also brings forgotten members back and would hide broken gossip, so it is off for that breakage.
    this._fleet.areRegistrationsRead = this._breakage !== 'reads-no-registrations' && this._breakage !== 'forgets-the-dead'
    for (const instance of this._fleet.running) this._applyBreakage(instance)
  }

  perform (): readonly MembershipEvent[] {
    const { time, network } = this._fleet
    network.lossShare = this._random.next() * 0.3
    for (const { self } of this._fleet.running) this._events.push({ kind: 'started', at: 0, host: self.host })
    for (let count = 0; count < FAULTS; count++) {
      time.after(this._random.next() * (FAULTS_END - MAXIMUM_FAULT_LENGTH), () => { this._injectFault() })
    }
    time.after(FAULTS_END, () => {
      network.lossShare = 0
      this._events.push({ kind: 'quiet', at: time.now })
      this._kill(this._random.pick(this._fleet.running))
    })
    for (let at = 0; at <= RUN_LENGTH; at += SAMPLING_INTERVAL) time.after(at, () => { this._sample() })
    time.runUntil(RUN_LENGTH)
    return this._events
  }

  private _injectFault (): void {
    const faults = [() => { this._partition() }, () => { this._freeze() }, () => { this._restart() }]
    this._random.pick(faults)()
  }

  private _partition (): void {
    if (this._partitionSides.size > 0) return
    this._count('partitions')
    this._partitionSides = new Map([...this._fleet.instances.keys()].map(host => [host, this._random.integer(2)]))
    this._afterRandomDelay(() => { this._partitionSides = new Map() })
  }

  private _freeze (): void {
    const { process } = this._random.pick(this._fleet.running)
    if (process.isFrozen) return
    this._count('freezes')
    process.freeze()
    this._afterRandomDelay(() => { process.thaw() })
  }

  private _restart (): void {
    const index = this._random.integer(INSTANCES)
    const instance = this._fleet.instances.get(`entry-host-${index}`)
    if (instance === undefined || !instance.process.isRunning || this._fleet.running.length < 4) return
    this._kill(instance)
    if (this._random.next() < 0.3) return
    this._count('restarts')
    this._afterRandomDelay(() => {
      this._events.push({ kind: 'started', at: this._fleet.time.now, host: instance.self.host })
      this._applyBreakage(this._fleet.start(index))
    })
  }

  private _kill (instance: ReplayedInstance): void {
    this._count('kills')
    instance.kill()
    this._events.push({ kind: 'killed', at: this._fleet.time.now, host: instance.self.host })
  }

  private _afterRandomDelay (action: () => void): void {
    this._fleet.time.after(this._random.next() * MAXIMUM_FAULT_LENGTH, action)
  }

  /** Records the observed states that have changed since the last sample. */
  private _sample (): void {
    const at = this._fleet.time.now
    for (const instance of this._fleet.running) {
      const observer = instance.self.host
      for (const host of this._fleet.instances.keys()) {
        if (host === observer) continue
        const belief = instance.table.find(host)?.state ?? 'unknown'
        const pair = `${observer} of ${host}`
        if (this._observedStates.get(pair) === belief) continue
        this._observedStates.set(pair, belief)
        this._events.push({ kind: 'believed', at, observer, host, belief })
        this._count(`seen ${belief}`)
        if (belief === 'dead' && this._breakage === 'forgets-the-dead') instance.table.remove(host)
      }
    }
  }

  /** Filters the messages to the decision code of an instance as the breakage asks. */
  private _applyBreakage (instance: ReplayedInstance): void {
    const { membership } = instance
    const handle = membership.handle.bind(membership)
    if (this._breakage === 'ignores-failed-probes') {
      membership.handle = (message, now) => message.kind === 'probe-failed' ? [] : handle(message, now)
    }
    if (this._breakage === 'never-refutes') {
      membership.handle = (message, now) => handle(withoutHost(message, instance.self.host), now)
    }
  }

  private _count (name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1
  }
}

function withoutHost (message: MembershipMessage, host: string): MembershipMessage {
  const filter = (members: readonly Member[]): Member[] => members.filter(member => member.host !== host)
  if ('members' in message) return { ...message, members: filter(message.members) }
  if (message.kind !== 'page-answered') return message
  return { ...message, answer: { ...message.answer, members: filter(message.answer.members) } }
}
