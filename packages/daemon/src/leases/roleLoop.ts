/** Performs the effects of a role's lease against the key-value service. */
import {
  ABSENT_REVISION, firstByRendezvous, LeaseRenewer, roleRecordSchema,
  type KeyValueService, type LeaseEffect, type LeaseMessage, type MemberTable, type Milliseconds
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'

const TIME_TO_LIVE: Milliseconds = 9_000

/** Holds a role where this instance is the first choice among the live ones and wins its lease. */
export class RoleLoop {
  private readonly _keeper: LeaseRenewer

  /**
   * @param _environment name of the environment
   * @param _role name of the role, under the environment's prefix
   */
  constructor (
    private readonly _environment: string,
    private readonly _role: string,
    private readonly _keyValue: KeyValueService,
    private readonly _members: MemberTable,
    private readonly _clock: Clock
  ) {
    this._keeper = new LeaseRenewer(_members.identity, TIME_TO_LIVE)
  }

  /** The fencing epoch while the role is surely held, else undefined. */
  get epoch (): number | undefined {
    return this._keeper.epoch(this._clock.monotonic())
  }

  /** Until when the role is surely held, on the local monotonic clock. */
  get heldUntil (): Milliseconds {
    return this._keeper.heldUntil
  }

  /** Takes note of the members and of the time. */
  tick (): void {
    const isWanted = this._members.self.state !== 'leaving' && this._isFirstChoice()
    this._handle({ kind: 'want', isWanted })
    this._handle({ kind: 'tick' })
  }

  private _isFirstChoice (): boolean {
    const hosts = this._members.live.map(member => member.host)
    return firstByRendezvous(`role/${this._role}`, hosts) === this._members.self.host
  }

  private _handle (message: LeaseMessage): void {
    for (const effect of this._keeper.handle(message, this._clock.monotonic())) {
      this._perform(effect).then(
        answer => { this._handle(answer) },
        () => { this._handle({ kind: 'call-failed' }) })
    }
  }

  private async _perform (effect: LeaseEffect): Promise<LeaseMessage> {
    if (effect.kind === 'read-role') return await this._read()
    const { record, expectedRevision } = effect
    const written = await this._keyValue.compareAndSwap({ key: this._key, value: JSON.stringify(record), expectedRevision })
    return written.isErr ? { kind: 'call-failed' } : { kind: 'role-written', outcome: written.value }
  }

  private async _read (): Promise<LeaseMessage> {
    const read = await this._keyValue.read(this._key)
    if (read.isErr) return { kind: 'call-failed' }
    const record = read.value === undefined ? undefined : roleRecordSchema.parse(JSON.parse(read.value.value))
    return { kind: 'role-read', record, keyRevision: read.value?.revision ?? ABSENT_REVISION }
  }

  private get _key (): string {
    return `wasabihead/${this._environment}/roles/${this._role}`
  }
}
