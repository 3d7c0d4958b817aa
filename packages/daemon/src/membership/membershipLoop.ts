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
const ASK_INTERVAL: Milliseconds = 2_000

/** What the loop tells the rest of the instance. */
export interface MembershipListener {
  /** How many instances are believed to run, this one included; told on each tick. */
  membersChanged (count: number): void
  /** A member told its configuration revision, with the start of the call that it answers, if it was asked. */
  revisionSeen (host: string, revision: number, askedAt: Milliseconds | undefined): void
}

/** Keeps the member table fresh. */
export class MembershipLoop {
  private readonly _membership: Membership
  private readonly _registration: Registration
  private _timer: NodeJS.Timeout | undefined
  private _toldVersion = 0
  private _nextAskAt: Milliseconds = 0

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
      this._performSoon(this._handle({ kind: 'registered', members }))
    })
  }

  /** This instance's own entry. */
  get self (): Member {
    return this._members.self
  }

  /** When a peer last answered, or undefined while none has. */
  get lastContactAt (): Milliseconds | undefined {
    return this._membership.lastContactAt
  }

  /** Registers, reads the other members once and begins to probe. */
  async start (): Promise<void> {
    await this._registration.start()
    this._timer = setInterval(() => { this._tick() }, TICK_INTERVAL)
  }

  /** Ends the probes and the registration. */
  stop (): void {
    clearInterval(this._timer)
    this._registration.stop()
  }

  /** Tells a few others at once that this instance leaves; they pass it on. */
  async leave (): Promise<void> {
    await Promise.all([this._perform(this._handle({ kind: 'leave' })), this._registration.withdraw()])
  }

  /** Tells a few others at once that this instance's own entry has changed. */
  announce (): void {
    this._performSoon(this._handle({ kind: 'announce' }))
  }

  /** Takes entries that a peer told. */
  hear (members: readonly Member[]): void {
    this._performSoon(this._handle({ kind: 'heard', members }))
  }

  /** Takes a configuration revision that a peer told of itself. */
  seeRevision (host: string, revision: number): void {
    this._listener.revisionSeen(host, revision, undefined)
  }

  /** Answers a probe with the news of this instance. */
  answerProbe (members: readonly Member[]): Member[] {
    return this._handle({ kind: 'probed', members }).flatMap(effect => effect.kind === 'answer' ? effect.news : [])
  }

  /** Answers a peer that compares a page of its table with this one. */
  answerPage (page: DigestPage): PageAnswer {
    const effects = this._handle({ kind: 'page-received', page })
    return effects.flatMap(effect => effect.kind === 'answer-page' ? [effect.answer] : [])[0] ?? { members: [], wanted: [] }
  }

  /** Probes a third instance for another one. */
  async probeFor (host: string, peerAddress: string): Promise<Result<ProbeAnswer, PeerUnreachableError>> {
    const target = { ...this._members.self, host, peerAddress }
    return await this._peers.probe(this._members.self, target, this._doubts(host))
  }

  /** What is believed of a host that the host itself may want to refute. */
  private _doubts (host: string): Member[] {
    const known = this._members.find(host)
    return known === undefined || known.state === 'alive' ? [] : [known]
  }

  private _tick (): void {
    const { version } = this._members.self
    if (version !== this._toldVersion) this._membership.gossipSelf()
    this._toldVersion = version
    this._askKnownPeers()
    this._performSoon(this._handle({ kind: 'tick' }))
    this._listener.membersChanged(this._members.members.filter(member => member.state !== 'dead').length)
  }

  /** An instance that knows nobody asks the peers of its settings, which works without the key-value service. */
  private _askKnownPeers (): void {
    const now = this._clock.monotonic()
    if (this._members.live.length > 1 || now < this._nextAskAt) return
    this._nextAskAt = now + ASK_INTERVAL
    for (const peerAddress of this._knownPeers) {
      this._peers.comparePage({ ...this.self, peerAddress }, { after: '', digests: [] })
        .then(answer => { if (answer.isOk) this.hear(answer.value.members) }, () => {})
    }
  }

  private _handle (message: MembershipMessage): MembershipEffect[] {
    return this._membership.handle(message, this._clock.monotonic())
  }

  private _performSoon (effects: readonly MembershipEffect[]): void {
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
