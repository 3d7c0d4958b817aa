/** Proof: no live, reachable instance stays dead for the others, and a killed one is seen dead in bounded time. */
import { SeededRandom, type Member, type MembershipMessage, type Milliseconds } from '@wasabihead/coordination'
import { ReplayedFleet, type ReplayedInstance } from '@wasabihead/experiments'
import { Proof, type ProofRun, type Violation } from './proof.js'

/** Time in which every undisturbed instance sees a killed one dead. */
export const DETECTION_LIMIT: Milliseconds = 60_000
/** Time in which instances that reach each other again see each other alive. */
export const REJOIN_LIMIT: Milliseconds = 120_000

const INSTANCES = 10
const DISTURBED: Milliseconds = 150_000
const RUN_LENGTH: Milliseconds = DISTURBED + REJOIN_LIMIT + 30_000
const FAULTS = 8
const LONGEST_FAULT: Milliseconds = 60_000
const SAMPLING: Milliseconds = 500

/** What an observer believes of a host; `unknown` where it has no entry. */
export type Belief = Member['state'] | 'unknown'

/** What a run records. */
export type MembershipEvent =
  | { kind: 'started', at: Milliseconds, host: string }
  | { kind: 'killed', at: Milliseconds, host: string }
  /** From here on nothing but kills disturbs the fleet. */
  | { kind: 'quiet', at: Milliseconds }
  | { kind: 'believed', at: Milliseconds, observer: string, host: string, belief: Belief }

/** Checks a history; it knows the promise and nothing of how it is kept. */
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
    const beliefs = events.filter(event => event.kind === 'believed' && event.observer === observer && event.host === host)
    const killed = killedAt.get(host)
    return killed === undefined
      ? findWrong(beliefs, quietAt + REJOIN_LIMIT, ['alive', 'suspect'], `${observer} does not see ${host} alive`)
      : findWrong(beliefs, Math.max(killed, quietAt) + DETECTION_LIMIT, ['dead', 'unknown'], `${observer} does not see ${host} dead`)
  }))
}

/** The belief that stands at the limit, and each one after it, must be one of those allowed. */
function findWrong (
  beliefs: readonly MembershipEvent[], limit: Milliseconds, allowed: readonly Belief[], problem: string
): Violation[] {
  const standing = beliefs.filter((event, index) => event.at > limit || (beliefs[index + 1]?.at ?? Infinity) > limit)
  const isRight = standing.length > 0 &&
    standing.every(event => event.kind === 'believed' && allowed.includes(event.belief))
  return isRight ? [] : [{ problem: `${problem} after ${limit}`, evidence: beliefs.map(event => JSON.stringify(event)) }]
}

/** What a run can be told to break, to show that the proof notices. */
export type MembershipBreakage = 'ignores-failed-probes' | 'never-refutes' | 'forgets-the-dead' | 'reads-no-registrations'

/** Proves the promise about members. */
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
  private readonly _beliefs = new Map<string, Belief>()
  private readonly _random: SeededRandom
  private readonly _fleet: ReplayedFleet
  private _side = new Map<string, number>()

  constructor (seed: number, private readonly _breakage: MembershipBreakage | undefined) {
    this._random = new SeededRandom(seed)
    this._fleet = new ReplayedFleet({ instances: INSTANCES, seed })
    this._fleet.network.isConnected = (left, right) => (this._side.get(left) ?? 0) === (this._side.get(right) ?? 0)
    // The registrations bring forgotten members back too, so that gossip alone is left to be seen broken.
    this._fleet.areRegistrationsRead = this._breakage !== 'reads-no-registrations' && this._breakage !== 'forgets-the-dead'
    for (const instance of this._fleet.running) this._break(instance)
  }

  perform (): readonly MembershipEvent[] {
    const { time, network } = this._fleet
    network.lossShare = this._random.next() * 0.3
    for (const { self } of this._fleet.running) this._events.push({ kind: 'started', at: 0, host: self.host })
    for (let count = 0; count < FAULTS; count++) {
      time.after(this._random.next() * (DISTURBED - LONGEST_FAULT), () => { this._disturb() })
    }
    time.after(DISTURBED, () => {
      network.lossShare = 0
      this._events.push({ kind: 'quiet', at: time.now })
      this._kill(this._random.pick(this._fleet.running))
    })
    for (let at = 0; at <= RUN_LENGTH; at += SAMPLING) time.after(at, () => { this._sample() })
    time.runUntil(RUN_LENGTH)
    return this._events
  }

  private _disturb (): void {
    const faults = [() => { this._partition() }, () => { this._freeze() }, () => { this._restart() }]
    this._random.pick(faults)()
  }

  private _partition (): void {
    if (this._side.size > 0) return
    this._count('partitions')
    this._side = new Map([...this._fleet.instances.keys()].map(host => [host, this._random.integer(2)]))
    this._later(() => { this._side = new Map() })
  }

  private _freeze (): void {
    const { process } = this._random.pick(this._fleet.running)
    if (process.isFrozen) return
    this._count('freezes')
    process.freeze()
    this._later(() => { process.thaw() })
  }

  private _restart (): void {
    const index = this._random.integer(INSTANCES)
    const instance = this._fleet.instances.get(`entry-host-${index}`)
    if (instance === undefined || !instance.process.isRunning || this._fleet.running.length < 4) return
    this._kill(instance)
    if (this._random.next() < 0.3) return
    this._count('restarts')
    this._later(() => {
      this._events.push({ kind: 'started', at: this._fleet.time.now, host: instance.self.host })
      this._break(this._fleet.start(index))
    })
  }

  private _kill (instance: ReplayedInstance): void {
    this._count('kills')
    instance.kill()
    this._events.push({ kind: 'killed', at: this._fleet.time.now, host: instance.self.host })
  }

  private _later (action: () => void): void {
    this._fleet.time.after(this._random.next() * LONGEST_FAULT, action)
  }

  /** Records the beliefs that have changed. */
  private _sample (): void {
    const at = this._fleet.time.now
    for (const instance of this._fleet.running) {
      const observer = instance.self.host
      for (const host of this._fleet.instances.keys()) {
        if (host === observer) continue
        const belief = instance.table.find(host)?.state ?? 'unknown'
        const pair = `${observer} of ${host}`
        if (this._beliefs.get(pair) === belief) continue
        this._beliefs.set(pair, belief)
        this._events.push({ kind: 'believed', at, observer, host, belief })
        this._count(`seen ${belief}`)
        if (belief === 'dead' && this._breakage === 'forgets-the-dead') instance.table.remove(host)
      }
    }
  }

  /** Puts a filter before the decisions of an instance that is to be broken. */
  private _break (instance: ReplayedInstance): void {
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
