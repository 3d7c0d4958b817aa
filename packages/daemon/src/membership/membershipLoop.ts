/** Registers this instance with a lease, finds the others, and exchanges news with a few of them each round. */
import {
  memberSchema, MemberTable, SeededRandom, ABSENT_REVISION,
  type KeyValueService, type Member, type Milliseconds
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { MembershipPeerClient } from './membershipPeers.js'

const ROUND_INTERVAL: Milliseconds = 500
const LEASE_TIME_TO_LIVE: Milliseconds = 10_000
const DISCOVERY_INTERVAL: Milliseconds = 3_000
const FAN_OUT = 3

/** Keeps the member table fresh. */
export class MembershipLoop {
  private _roundTimer: NodeJS.Timeout | undefined
  private _leaseId: string | undefined
  private _nextDiscovery: Milliseconds = 0

  constructor (
    private readonly _environment: string,
    private readonly _members: MemberTable,
    private readonly _keyValue: KeyValueService,
    private readonly _peers: MembershipPeerClient,
    private readonly _clock: Clock,
    private readonly _random: SeededRandom,
    private readonly _onNews: () => void
  ) {}

  /** Registers, reads the other members and begins the rounds. */
  async start (): Promise<void> {
    await this._discover()
    this._schedule()
  }

  /** Ends the rounds. */
  stop (): void {
    clearTimeout(this._roundTimer)
  }

  /** Tells a few others at once what changed here. */
  async announce (): Promise<void> {
    await this._gossip(this._pickPeers(FAN_OUT))
  }

  private _schedule (): void {
    this._roundTimer = setTimeout(() => {
      this._round().catch(() => {}).finally(() => { this._schedule() })
    }, ROUND_INTERVAL)
  }

  private async _round (): Promise<void> {
    if (this._clock.monotonic() >= this._nextDiscovery) await this._discover()
    await this._gossip(this._pickPeers(FAN_OUT))
  }

  private _pickPeers (count: number): Member[] {
    const others = this._members.members.filter(member => member.host !== this._members.self.host && member.state !== 'dead')
    return this._random.shuffle(others).slice(0, count)
  }

  private async _gossip (peers: readonly Member[]): Promise<void> {
    await Promise.all(peers.map(async peer => {
      const answer = await this._peers.gossip(peer.peerAddress, this._environment, this._members.members)
      const now = this._clock.monotonic()
      if (answer.isErr) {
        return this._members.mark(peer.host, peer.incarnation, peer.state === 'suspect' ? 'dead' : 'suspect', now)
      }
      this._members.mark(peer.host, peer.incarnation, peer.state === 'leaving' ? 'dead' : 'alive', now)
      for (const member of answer.value) this._members.merge(member, now)
    }))
    this._onNews()
  }

  private async _discover (): Promise<void> {
    this._nextDiscovery = this._clock.monotonic() + DISCOVERY_INTERVAL
    await this._register()
    const listed = await this._keyValue.list(this._prefix)
    if (listed.isErr) return
    for (const entry of listed.value) {
      const parsed = memberSchema.safeParse(JSON.parse(entry.value))
      if (parsed.success) this._members.merge(parsed.data, this._clock.monotonic())
    }
  }

  private async _register (): Promise<void> {
    if (this._leaseId !== undefined) {
      const kept = await this._keyValue.keepLeaseAlive(this._leaseId)
      if (kept.isOk) return
    }
    const granted = await this._keyValue.grantLease(LEASE_TIME_TO_LIVE)
    if (granted.isErr) return
    this._leaseId = granted.value
    const key = this._prefix + this._members.self.host
    const read = await this._keyValue.read(key)
    if (read.isErr) return
    await this._keyValue.compareAndSwap({
      key,
      value: JSON.stringify(this._members.self),
      expectedRevision: read.value?.revision ?? ABSENT_REVISION,
      leaseId: granted.value
    })
  }

  private get _prefix (): string {
    return `wasabihead/${this._environment}/members/`
  }
}
