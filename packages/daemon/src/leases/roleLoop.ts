/** Acquires and renews the lease of a role in the key-value service. */
import {
  ABSENT_REVISION, firstByRendezvous, LeaseRenewer, roleRecordSchema,
  type KeyValueService, type LeaseEffect, type LeaseMessage, type MemberTable, type Milliseconds
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'

const LEASE_TIME_TO_LIVE: Milliseconds = 9_000

/** Holds a role while this instance is the first in rendezvous order among the live ones and has the role's lease. */
export class RoleLoop {
  private readonly _renewer: LeaseRenewer

  /**
   * @param _environment name of the environment; part of the lease's key
   * @param _role name of the role; part of the lease's key
   */
  constructor (
    private readonly _environment: string,
    private readonly _role: string,
    private readonly _keyValue: KeyValueService,
    private readonly _members: MemberTable,
    private readonly _clock: Clock
  ) {
    this._renewer = new LeaseRenewer(_members.identity, LEASE_TIME_TO_LIVE)
  }

  /** The fencing epoch while the role is certainly held, else undefined. */
  get epoch (): number | undefined {
    return this._renewer.epoch(this._clock.monotonic())
  }

  /** Time until which the role is certainly held, on the local monotonic clock. */
  get heldUntil (): Milliseconds {
    return this._renewer.heldUntil
  }

  /** Acquires, renews or releases the lease as the members and the time require; called at a regular interval. */
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
    for (const effect of this._renewer.handle(message, this._clock.monotonic())) {
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
