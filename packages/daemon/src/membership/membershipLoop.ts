/** Performs the effects of the membership decisions, and keeps this instance's registration in the key-value service. */
import type { Result } from 'true-myth'
import {
  Membership, PROBE_PERIOD,
  type DigestPage, type KeyValueService, type Member, type MembershipEffect, type MembershipMessage, type MemberTable,
  type Milliseconds, type PageAnswer, type SeededRandom
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { PeerUnreachableError } from '../peers/index.js'
import type { MembershipPeerClient, ProbeAnswer } from './membershipPeers.js'
import { Registration } from './registration.js'

const TICK_INTERVAL: Milliseconds = PROBE_PERIOD / 4
const KNOWN_PEERS_INTERVAL: Milliseconds = 2_000

/** Callbacks of a `MembershipLoop`. */
export interface MembershipListener {
  /** Called on each tick with the number of instances that are not recorded as dead, this one included. */
  membersChanged (count: number): void
  /**
   * Called when a member reports its configuration revision.
   *
   * @param askedAt start of the call that the member answered; undefined if the report was not an answer
   */
  revisionSeen (host: string, revision: number, askedAt: Milliseconds | undefined): void
}

/** Keeps the member table up to date by probes and gossip. */
export class MembershipLoop {
  private readonly _membership: Membership
  private readonly _registration: Registration
  private _timer: NodeJS.Timeout | undefined
  private _announcedVersion = 0
  private _nextKnownPeersAt: Milliseconds = 0

  constructor (
    environment: string,
    private readonly _members: MemberTable,
    keyValue: KeyValueService,
    private readonly _peers: MembershipPeerClient,
    private readonly _clock: Clock,
    random: SeededRandom,
    private readonly _listener: MembershipListener,
    private readonly _knownPeers: readonly string[] = []
  ) {
    this._membership = new Membership(_members, random)
    this._registration = new Registration(environment, keyValue, _members, _clock, random, members => {
      this._performInBackground(this._handle({ kind: 'registered', members }))
    })
  }

  /** This instance's own entry. */
  get self (): Member {
    return this._members.self
  }

  /** Time of the last answer from a peer, on the local monotonic clock; undefined before the first. */
  get lastContactAt (): Milliseconds | undefined {
    return this._membership.lastContactAt
  }

  /** Registers this instance, reads the registered members once, and starts to probe. */
  async start (): Promise<void> {
    await this._registration.start()
    this._timer = setInterval(() => { this._tick() }, TICK_INTERVAL)
  }

  /** Stops the probes and the renewal of the registration. */
  stop (): void {
    clearInterval(this._timer)
    this._registration.stop()
  }

  /** Notifies a few peers at once that this instance is leaving, which they gossip, and removes the registration. */
  async leave (): Promise<void> {
    await Promise.all([this._perform(this._handle({ kind: 'leave' })), this._registration.withdraw()])
  }

  /** Notifies a few peers at once that this instance's own entry has changed. */
  announce (): void {
    this._performInBackground(this._handle({ kind: 'announce' }))
  }

  /** Merges entries that a peer sent. */
  receive (members: readonly Member[]): void {
    this._performInBackground(this._handle({ kind: 'heard', members }))
  }

  /** Passes on the configuration revision that a peer reported as its own in a probe. */
  onRevisionSeen (host: string, revision: number): void {
    this._listener.revisionSeen(host, revision, undefined)
  }

  /** Merges the entries of a probe; returns the updates for its answer. */
  answerProbe (members: readonly Member[]): Member[] {
    return this._handle({ kind: 'probed', members }).flatMap(effect => effect.kind === 'answer' ? effect.news : [])
  }

  /** Compares a page of a peer's table with this one; returns newer entries and the hosts wanted from the peer. */
  answerPage (page: DigestPage): PageAnswer {
    const effects = this._handle({ kind: 'page-received', page })
    return effects.flatMap(effect => effect.kind === 'answer-page' ? [effect.answer] : [])[0] ?? { members: [], wanted: [] }
  }

  /** Probes a third instance on behalf of a peer. */
  async probeFor (host: string, peerAddress: string): Promise<Result<ProbeAnswer, PeerUnreachableError>> {
    const target = { ...this._members.self, host, peerAddress }
    return await this._peers.probe(this._members.self, target, this._suspicionsOf(host))
  }

  /** The entry of a host if it is not recorded as alive, which is sent with a probe so that the host can refute it. */
  private _suspicionsOf (host: string): Member[] {
    const known = this._members.find(host)
    return known === undefined || known.state === 'alive' ? [] : [known]
  }

  private _tick (): void {
    const { version } = this._members.self
    if (version !== this._announcedVersion) this._membership.gossipSelf()
    this._announcedVersion = version
    this._contactKnownPeers()
    this._performInBackground(this._handle({ kind: 'tick' }))
    this._listener.membersChanged(this._members.members.filter(member => member.state !== 'dead').length)
  }

  /** While no other instance is known, contacts the peers of the settings, which works without the key-value service. */
  private _contactKnownPeers (): void {
    const now = this._clock.monotonic()
    if (this._members.live.length > 1 || now < this._nextKnownPeersAt) return
    this._nextKnownPeersAt = now + KNOWN_PEERS_INTERVAL
    for (const peerAddress of this._knownPeers) {
      this._peers.comparePage({ ...this.self, peerAddress }, { after: '', digests: [] })
        .then(answer => { if (answer.isOk) this.receive(answer.value.members) }, () => {})
    }
  }

  private _handle (message: MembershipMessage): MembershipEffect[] {
    return this._membership.handle(message, this._clock.monotonic())
  }

  private _performInBackground (effects: readonly MembershipEffect[]): void {
    this._perform(effects).catch(() => {})
  }

  private async _perform (effects: readonly MembershipEffect[]): Promise<void> {
    await Promise.all(effects.map(async effect => { await this._performOne(effect) }))
  }

  private async _performOne (effect: MembershipEffect): Promise<void> {
    switch (effect.kind) {
      case 'probe':
        return await this._probe(effect.probeId, async () => await this._peers.probe(this.self, effect.target, effect.news))
      case 'probe-through':
        return await this._probe(
          effect.probeId, async () => await this._peers.probeThrough(effect.helper, effect.target, effect.news))
      case 'push':
        await this._peers.push(effect.target, effect.news)
        return
      case 'compare-page': {
        const answer = await this._peers.comparePage(effect.target, effect.page)
        if (answer.isErr) return
        const { host } = effect.target
        return await this._perform(this._handle({ kind: 'page-answered', host, answer: answer.value }))
      }
      case 'answer':
      case 'answer-page':
    }
  }

  private async _probe (probeId: number, start: () => Promise<Result<ProbeAnswer, PeerUnreachableError>>): Promise<void> {
    const askedAt = this._clock.monotonic()
    const answer = await start()
    if (answer.isErr) return await this._perform(this._handle({ kind: 'probe-failed', probeId }))
    this._listener.revisionSeen(answer.value.host, answer.value.configurationRevision, askedAt)
    await this._perform(this._handle({ kind: 'acknowledged', probeId, members: answer.value.members }))
  }
}
