/**
 * Failure detection and gossip of one instance. Each period it probes one member directly. If that fails, other members
 * probe the target; if these fail too, it is suspected, and it is declared dead unless it refutes the suspicion in time.
 * Updates are piggybacked on probes and their answers. Anti-entropy compares whole tables in pages of bounded size.
 */
import type { Milliseconds, SeededRandom } from '../common/index.js'
import type { Member, MemberTable } from './memberTable.js'
import type { DigestPage, MembershipEffect, MembershipMessage, PageAnswer } from './messages.js'
import { UpdateQueue } from './updateQueue.js'

/** Time between two direct probes by one instance. */
export const PROBE_PERIOD: Milliseconds = 1_000
/** Timeout of a probe to its target; the daemon reports `probe-failed` when it expires. */
export const PROBE_TIMEOUT: Milliseconds = 500
/** Timeout of a probe through another member; the daemon reports `probe-failed` when it expires. */
export const INDIRECT_PROBE_TIMEOUT: Milliseconds = 1_200
/** An interval between two ticks that is longer than this shows that the process was paused. */
export const PAUSE_THRESHOLD: Milliseconds = 5_000

const INDIRECT_HELPERS = 3
/** Rounds (a direct probe, then indirect ones) that must all fail before a member is suspected. */
const ROUNDS_BEFORE_SUSPICION = 4
const UPDATES_PER_MESSAGE = 8
const URGENT_FAN_OUT = 4
const ANNOUNCEMENT_FAN_OUT = 2
const REGISTERED_CONTACTS = 3
const SUSPICION_FACTOR: Milliseconds = 3_000
const COMPARISON_PERIOD: Milliseconds = 10_000
const DEAD_CONTACT_PERIOD: Milliseconds = 10_000
const DEAD_RETENTION: Milliseconds = 1_800_000
const DIGESTS_PER_PAGE = 64
const MEMBERS_PER_PAGE = 64

interface Probe {
  host: string
  incarnation: number
  stage: 'direct' | 'indirect' | 'dead-contact' | 'registered-contact'
  round: number
  /** Probes with this id that have not failed yet; an indirect probe is sent through several members. */
  outstanding: number
  /** A registered entry that is merged once the member has answered. */
  registered?: Member
}

/** The membership of one instance. Parameters called `now` are the current time of a monotonic clock. */
export class Membership {
  private readonly _updateQueue = new UpdateQueue()
  private readonly _probes = new Map<number, Probe>()
  private _nextProbeId = 1
  private _probeOrder: string[] = []
  private _nextProbeAt: Milliseconds = 0
  private _nextComparisonAt: Milliseconds = 0
  private _nextDeadContactAt: Milliseconds = DEAD_CONTACT_PERIOD
  private _comparedThrough = ''
  private _lastTickAt: Milliseconds | undefined
  private _lastContactAt: Milliseconds | undefined
  private _wasRegisteredRead = false

  /**
   * @param table this instance's table, which other modules read
   * @param _random chooses probe targets and helpers
   */
  constructor (readonly table: MemberTable, private readonly _random: SeededRandom) {
    this._updateQueue.add(table.self.host)
  }

  /** When a peer last answered a call of this instance; undefined before the first answer and after a pause. */
  get lastContactAt (): Milliseconds | undefined {
    return this._lastContactAt
  }

  /** Processes one message and returns the effects for the daemon to carry out. */
  handle (message: MembershipMessage, now: Milliseconds): MembershipEffect[] {
    switch (message.kind) {
      case 'tick': return this._tick(now)
      case 'heard': return this._mergeReceived(message.members, now)
      case 'registered': return this._onRegistered(message.members, now)
      case 'probed':
        this._mergeReceived(message.members, now)
        return [{ kind: 'answer', news: this._nextUpdates() }]
      case 'acknowledged': return this._acknowledge(message.probeId, message.members, now)
      case 'probe-failed': return this._failProbe(message.probeId, now)
      case 'page-received': return [{ kind: 'answer-page', answer: this._answerPage(message.page) }]
      case 'page-answered': return this._mergePage(message.host, message.answer, now)
      case 'announce': return this._announce()
      case 'leave': return this._leave(now)
    }
  }

  /** Queues this instance's own entry for the next gossip messages. */
  gossipSelf (): void {
    this._updateQueue.add(this.table.self.host)
  }

  /** How long a suspect may refute before it is declared dead; grows with the logarithm of the fleet, as gossip latency does. */
  suspicionTimeout (): Milliseconds {
    return Math.max(SUSPICION_FACTOR, SUSPICION_FACTOR * Math.log10(this._fleetSize() + 1))
  }

  private _tick (now: Milliseconds): MembershipEffect[] {
    const wasPaused = this._lastTickAt !== undefined && now - this._lastTickAt > PAUSE_THRESHOLD
    this._lastTickAt = now
    if (wasPaused) this._resetObservations(now)
    this._expireSuspicions(now)
    this._removeExpiredDead(now)
    return [...this._probeNext(now), ...this._contactDead(now), ...this._compareNext(now)]
  }

  /** After a pause earlier observations are stale: suspicion timeouts start again, and probes in flight are discarded. */
  private _resetObservations (now: Milliseconds): void {
    this._probes.clear()
    this._lastContactAt = undefined
    this.table.resetChangeTimes(now)
    this.table.updateSelf({}, now)
    this.gossipSelf()
    this._comparedThrough = ''
    this._nextComparisonAt = now
  }

  private _probeNext (now: Milliseconds): MembershipEffect[] {
    if (now < this._nextProbeAt) return []
    this._nextProbeAt = now + PROBE_PERIOD
    const target = this._nextTarget()
    return target === undefined ? [] : [this._startProbe(target, 'direct')]
  }

  /** Visits every member once in a shuffled order, then shuffles again, which bounds the time until each one is probed. */
  private _nextTarget (): Member | undefined {
    if (this._probeOrder.length === 0) this._probeOrder = this._random.shuffle(this._others()).map(member => member.host)
    while (this._probeOrder.length > 0) {
      const member = this.table.find(this._probeOrder.pop() as string)
      if (member !== undefined && member.state !== 'dead') return member
    }
    return undefined
  }

  private _startProbe (target: Member, stage: Probe['stage'], round = 1): MembershipEffect {
    const probeId = this._nextProbeId++
    this._probes.set(probeId, { host: target.host, incarnation: target.incarnation, stage, round, outstanding: 1 })
    return { kind: 'probe', probeId, target, news: this._updatesFor(target) }
  }

  private _acknowledge (probeId: number, members: readonly Member[], now: Milliseconds): MembershipEffect[] {
    const probe = this._probes.get(probeId)
    this._probes.delete(probeId)
    this._lastContactAt = now
    if (probe?.registered !== undefined) this._mergeEntry(probe.registered, now)
    const effects = this._mergeReceived(members, now)
    if (probe?.stage !== 'dead-contact' && probe?.stage !== 'registered-contact') return effects
    // The sides of a healed partition compare their tables at once instead of waiting for the next periodic comparison.
    const peer = this.table.find(probe.host)
    return peer === undefined ? effects : [...effects, this._compareAfter('', peer)]
  }

  private _failProbe (probeId: number, now: Milliseconds): MembershipEffect[] {
    const probe = this._probes.get(probeId)
    if (probe === undefined) return []
    probe.outstanding -= 1
    if (probe.outstanding > 0) return []
    this._probes.delete(probeId)
    const target = this.table.find(probe.host)
    if (target === undefined || target.incarnation !== probe.incarnation) return []
    if (probe.stage === 'dead-contact' || probe.stage === 'registered-contact') return []
    if (probe.stage === 'direct') {
      const effects = this._probeThroughOthers(target, probe.round)
      if (effects.length > 0) return effects
    }
    // Each suspicion and its refutation are gossiped to the whole fleet, so a single failed round does not cause one.
    if (target.state !== 'suspect' && probe.round < ROUNDS_BEFORE_SUSPICION) {
      return [this._startProbe(target, 'direct', probe.round + 1)]
    }
    // A leaving member is expected to stop, so it is declared dead without a suspicion timeout.
    this._mergeEntry({ ...target, state: target.state === 'leaving' ? 'dead' : 'suspect' }, now)
    return []
  }

  private _probeThroughOthers (target: Member, round: number): MembershipEffect[] {
    const candidates = this._others().filter(member => member.state === 'alive' && member.host !== target.host)
    const helpers = this._random.shuffle(candidates).slice(0, INDIRECT_HELPERS)
    if (helpers.length === 0) return []
    const probeId = this._nextProbeId++
    this._probes.set(probeId, {
      host: target.host, incarnation: target.incarnation, stage: 'indirect', round, outstanding: helpers.length
    })
    return helpers.map(helper => ({ kind: 'probe-through', probeId, helper, target, news: this._updatesFor(target) }))
  }

  private _expireSuspicions (now: Milliseconds): void {
    const timeout = this.suspicionTimeout()
    for (const member of this._others('suspect')) {
      if (this._age(member, now) >= timeout) this._mergeEntry({ ...member, state: 'dead' }, now)
    }
  }

  /** Dead members are retained for a while, so that the sides of a long partition can contact each other again. */
  private _removeExpiredDead (now: Milliseconds): void {
    for (const member of this._others('dead')) {
      if (this._age(member, now) >= DEAD_RETENTION) this.table.remove(member.host)
    }
  }

  private _contactDead (now: Milliseconds): MembershipEffect[] {
    if (now < this._nextDeadContactAt) return []
    this._nextDeadContactAt = now + DEAD_CONTACT_PERIOD * (0.5 + this._random.next())
    const dead = this._others('dead')
    return dead.length === 0 ? [] : [this._startProbe(this._random.pick(dead), 'dead-contact')]
  }

  /** The first list of registrations is merged as it is. Later, a new or newer entry is merged only once its member answers. */
  private _onRegistered (members: readonly Member[], now: Milliseconds): MembershipEffect[] {
    const isFirst = !this._wasRegisteredRead
    this._wasRegisteredRead = true
    if (isFirst) return this._mergeReceived(members, now)
    const news = this._random.shuffle(members.filter(member => this.table.wouldAccept(member))).slice(0, REGISTERED_CONTACTS)
    const own = members.filter(member => member.host === this.table.self.host)
    return [...this._mergeReceived(own, now), ...news.map(member => this._contactRegistered(member))]
  }

  private _contactRegistered (member: Member): MembershipEffect {
    const probeId = this._nextProbeId++
    const { host, incarnation } = member
    this._probes.set(probeId, { host, incarnation, stage: 'registered-contact', round: 1, outstanding: 1, registered: member })
    return { kind: 'probe', probeId, target: member, news: this._updatesFor(member) }
  }

  private _compareNext (now: Milliseconds): MembershipEffect[] {
    if (now < this._nextComparisonAt) return []
    const live = this._others().filter(member => member.state === 'alive')
    if (live.length === 0) return []
    this._nextComparisonAt = now + COMPARISON_PERIOD * (0.5 + this._random.next())
    return [this._compareAfter(this._comparedThrough, this._random.pick(live))]
  }

  private _compareAfter (after: string, target: Member): MembershipEffect {
    const hosts = this._hostsAfter(after).slice(0, DIGESTS_PER_PAGE)
    this._comparedThrough = hosts.length < DIGESTS_PER_PAGE ? '' : hosts.at(-1) as string
    const digests = hosts.map(host => {
      const { incarnation, version, state } = this.table.find(host) as Member
      return { host, incarnation, version, state }
    })
    return { kind: 'compare-page', target, page: { after, digests } }
  }

  private _answerPage ({ after, digests }: DigestPage): PageAnswer {
    const digestsByHost = new Map(digests.map(digest => [digest.host, digest]))
    const through = digests.length < DIGESTS_PER_PAGE ? undefined : digests.at(-1)?.host
    const inRange = this._hostsAfter(after).filter(host => through === undefined || host <= through)
    const newer = inRange.map(host => this.table.find(host) as Member).filter(member => {
      const digest = digestsByHost.get(member.host)
      return digest === undefined ? member.state !== 'dead' : this.table.isNewer(member, digest)
    })
    const wanted = digests.filter(digest => this.table.wouldAccept(digest)).map(digest => digest.host)
    return { members: newer.slice(0, MEMBERS_PER_PAGE), wanted }
  }

  private _mergePage (host: string, answer: PageAnswer, now: Milliseconds): MembershipEffect[] {
    this._lastContactAt = now
    this._mergeReceived(answer.members, now)
    const peer = this.table.find(host)
    if (peer === undefined) return []
    const wanted = answer.wanted.flatMap(name => this.table.find(name) ?? []).slice(0, MEMBERS_PER_PAGE)
    const effects: MembershipEffect[] = wanted.length === 0 ? [] : [{ kind: 'push', target: peer, news: wanted }]
    // A full answer means that the peer has more entries to send, as to an instance that has just joined.
    const isFull = answer.members.length >= MEMBERS_PER_PAGE
    return isFull ? [...effects, this._compareAfter(answer.members.at(-1)?.host ?? '', peer)] : effects
  }

  /** Probes a few peers at once. Each peer that learns something does the same, so all are reached in a few round trips. */
  private _announce (): MembershipEffect[] {
    this.gossipSelf()
    const peers = this._random.shuffle(this._others().filter(member => member.state === 'alive'))
    return peers.slice(0, ANNOUNCEMENT_FAN_OUT).map(target => this._startProbe(target, 'direct'))
  }

  private _leave (now: Milliseconds): MembershipEffect[] {
    this.table.updateSelf({ state: 'leaving' }, now)
    this.gossipSelf()
    const peers = this._random.shuffle(this.table.live.filter(member => member.host !== this.table.self.host))
    return peers.slice(0, URGENT_FAN_OUT).map(target => ({ kind: 'push', target, news: this._updatesFor(target) }))
  }

  /** Merges received entries. An update that a member is leaving is forwarded at once, ahead of the next probe. */
  private _mergeReceived (members: readonly Member[], now: Milliseconds): MembershipEffect[] {
    const isUrgent = members.filter(member => this._mergeEntry(member, now) && member.state === 'leaving').length > 0
    if (!isUrgent) return []
    const peers = this._random.shuffle(this._others().filter(member => member.state === 'alive')).slice(0, URGENT_FAN_OUT)
    return peers.map(target => ({ kind: 'push', target, news: this._updatesFor(target) }))
  }

  private _mergeEntry (received: Member, now: Milliseconds): boolean {
    if (!this.table.merge(received, now)) return false
    this._updateQueue.add(received.host)
    return true
  }

  private _nextUpdates (): Member[] {
    return this._updateQueue.nextBatch(UPDATES_PER_MESSAGE, this._fleetSize()).flatMap(host => this.table.find(host) ?? [])
  }

  /** The next updates for a target. The entry of a suspect or dead target comes first, so that it can refute at once. */
  private _updatesFor (target: Member): Member[] {
    const news = this._nextUpdates().filter(member => member.host !== target.host)
    return target.state === 'alive' || target.state === 'leaving' ? news : [target, ...news]
  }

  private _others (state?: Member['state']): Member[] {
    return this.table.members.filter(member => member.host !== this.table.self.host &&
      (state === undefined ? member.state !== 'dead' : member.state === state))
  }

  private _hostsAfter (after: string): string[] {
    return this.table.members.map(member => member.host).filter(host => host > after).sort()
  }

  private _age (member: Member, now: Milliseconds): Milliseconds {
    return now - (this.table.changedAt(member.host) ?? now)
  }

  private _fleetSize (): number {
    return this._others().length + 1
  }
}
