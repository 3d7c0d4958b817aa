/** Registration of this instance under a lease in the key-value service, where new instances find their first peers. */
import {
  ABSENT_REVISION, memberSchema, PlatformRefusedError, RegistrationSchedule,
  type KeyValueService, type Member, type MemberTable, type Milliseconds, type SeededRandom
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'

/** Long, so that a fleet of hundreds renews with few calls a second; probes, not this lease, detect dead instances. */
const LEASE_TIME_TO_LIVE: Milliseconds = 180_000
const RENEWAL_INTERVAL: Milliseconds = LEASE_TIME_TO_LIVE / 3

/** Keeps the registration up to date and reads those of other instances. */
export class Registration {
  private _timer: NodeJS.Timeout | undefined
  private _leaseId: string | undefined
  private _nextRenewalAt: Milliseconds = 0
  private _writtenEntry: string | undefined
  private _isStopped = false
  private _keyRevision = ABSENT_REVISION
  private readonly _schedule: RegistrationSchedule

  constructor (
    private readonly _environment: string,
    private readonly _keyValue: KeyValueService,
    private readonly _members: MemberTable,
    private readonly _clock: Clock,
    private readonly _random: SeededRandom,
    private readonly _onMembersRead: (members: Member[]) => void
  ) {
    this._schedule = new RegistrationSchedule(_random)
  }

  /** Registers and reads the members once, and starts the regular rounds, which also retry what failed. */
  async start (): Promise<void> {
    await this._round()
    this._startNextRound()
  }

  /** Removes the registration, so that new instances no longer find this one; if that fails, it expires with the lease. */
  async withdraw (): Promise<void> {
    this.stop()
    if (this._writtenEntry !== undefined) await this._keyValue.remove(this._prefix + this._members.self.host, this._keyRevision)
  }

  /** Stops the renewals; the lease then expires. */
  stop (): void {
    this._isStopped = true
    clearTimeout(this._timer)
  }

  private _startNextRound (): void {
    if (this._isStopped) return
    this._timer = setTimeout(() => {
      this._round().catch(() => {}).finally(() => { this._startNextRound() })
    }, this._schedule.nextRoundDelay())
  }

  private async _round (): Promise<void> {
    const now = this._clock.monotonic()
    if (now >= this._nextRenewalAt && await this._register()) {
      this._nextRenewalAt = now + this._jittered(RENEWAL_INTERVAL)
    }
    if (!this._schedule.isListDue(this._members.live.length, now)) return
    if (await this._readMembers()) this._schedule.onListRead(now)
  }

  private async _readMembers (): Promise<boolean> {
    const listed = await this._keyValue.list(this._prefix)
    if (listed.isErr) return false
    this._onMembersRead(listed.value.flatMap(entry => {
      const parsed = memberSchema.safeParse(JSON.parse(entry.value))
      return parsed.success ? [parsed.data] : []
    }))
    return true
  }

  /** Renews the registration, or writes it under a new lease; returns whether that succeeded. */
  private async _register (): Promise<boolean> {
    if (this._leaseId !== undefined && this._writtenEntry === this._entry()) {
      const kept = await this._keyValue.keepLeaseAlive(this._leaseId)
      if (kept.isOk || !(kept.error instanceof PlatformRefusedError)) return kept.isOk
    }
    const granted = await this._keyValue.grantLease(LEASE_TIME_TO_LIVE)
    if (granted.isErr) return false
    const key = this._prefix + this._members.self.host
    const read = await this._keyValue.read(key)
    if (read.isErr) return false
    const value = this._entry()
    const expectedRevision = read.value?.revision ?? ABSENT_REVISION
    const written = await this._keyValue.compareAndSwap({ key, value, expectedRevision, leaseId: granted.value })
    if (written.isErr || written.value.kind === 'lost') return false
    this._leaseId = granted.value
    this._writtenEntry = value
    this._keyRevision = written.value.revision
    return true
  }

  /** The registered entry: address and incarnation of this instance. State that changes often is sent by gossip. */
  private _entry (): string {
    return JSON.stringify({ ...this._members.self, version: 0, state: 'alive', configurationRevision: 0 })
  }

  private _jittered (interval: Milliseconds): Milliseconds {
    return interval * (0.75 + 0.5 * this._random.next())
  }

  private get _prefix (): string {
    return `wasabihead/${this._environment}/members/`
  }
}
