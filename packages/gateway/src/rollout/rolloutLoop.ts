/** Gives the orders for new weight versions while this instance holds the role. */
import {
  LeaseRenewer, RolloutPlanner, roleRecordSchema, type KeyValueService, type LeaseEffect, type LeaseMessage,
  type Milliseconds, type RolloutSettings, type RolloutStep, type VersionedValue, type WeightOrder
} from '@wasabihead/coordination'
import { callAddress } from '../channels/index.js'
import type { ReplicaCall } from '../protocol/index.js'
import type { GatewayState } from '../requests/index.js'

/** Settings of the loop. */
export interface RolloutLoopSettings extends RolloutSettings {
  roleKey: string
  roleTimeToLive: Milliseconds
  /** Orders of two holders keep at least this far apart. */
  turnInterval: Milliseconds
  /** Between two looks while this instance may hold the role. */
  interval: Milliseconds
  /** The same while others do. */
  idleInterval: Milliseconds
  callTimeout: Milliseconds
}

/** Runs the candidate for the role, and the orders. */
export class RolloutLoop {
  private readonly _keeper: LeaseRenewer
  private readonly _planner: RolloutPlanner
  private _timer: NodeJS.Timeout | undefined
  private _epoch: number | undefined
  private _ordersFrom: Milliseconds = 0
  /** When the role's key was last written, or tried to be. */
  private _writtenAt: Milliseconds = -Infinity

  /**
   * @param _ownValues this project's values at the last listing
   * @param _leaseNow time that counts suspensions of the machine, in which a lease may have ended
   */
  constructor (
    private readonly _state: GatewayState,
    private readonly _store: KeyValueService,
    private readonly _settings: RolloutLoopSettings,
    private readonly _ownValues: () => readonly VersionedValue[],
    private readonly _leaseNow: () => Milliseconds
  ) {
    const { name, incarnation } = _state.fronts.self
    this._keeper = new LeaseRenewer({ host: name, incarnation }, _settings.roleTimeToLive)
    this._planner = new RolloutPlanner(_settings)
  }

  /** Whether this instance surely holds the role now. */
  get isHolder (): boolean {
    return this._keeper.epoch(this._leaseNow()) !== undefined
  }

  /** Starts, and goes on until stopped. */
  start (): void {
    this._tick()
    const isCandidate = this.isHolder || this._state.readSchedule.isReading(this._state.beliefNow())
    const delay = isCandidate ? this._settings.interval : this._settings.idleInterval
    this._timer = setTimeout(() => { this.start() }, delay)
  }

  /** Gives the role back. */
  stop (): void {
    clearTimeout(this._timer)
    this._tell({ kind: 'want', isWanted: false })
  }

  private _tick (): void {
    const state = this._state
    const now = state.now()
    const leaseNow = this._leaseNow()
    // Only an instance that keeps up with the store sees the holder's renewals.
    this._tell({ kind: 'want', isWanted: this.isHolder || state.readSchedule.isReading(state.beliefNow()) })
    const epoch = this._keeper.epoch(leaseNow)
    if (epoch !== this._epoch) this._noteEpoch(epoch, now)
    const { name } = state.fronts.self
    if (epoch === undefined || now < this._ordersFrom) {
      state.loading.record(name, [], [], now)
      return
    }
    const byLoad = state.catalog.replicas
      .map(replica => ({ replica, requests: state.loads.of(replica.id).requests }))
      .sort((left, right) => left.requests - right.requests)
      .map(({ replica }) => replica)
    for (const model of state.catalog.announcedModels) {
      const version = state.catalog.announcedVersion(model)?.version ?? 0
      for (const step of this._planner.next(byLoad, model, version, now)) this._state.log.detach('order', this._take(step, epoch))
    }
    state.loading.record(name, this._planner.loading, this._planner.recentlyLoaded(now), now)
  }

  private _noteEpoch (epoch: number | undefined, now: Milliseconds): void {
    this._epoch = epoch
    this._planner.clear()
    this._ordersFrom = Math.max(now, this._keeper.formerHeldUntil + this._settings.turnInterval)
    this._state.log.change(epoch === undefined ? 'rollout-role-lost' : 'rollout-role-won', { epoch })
  }

  private async _take (step: RolloutStep, epoch: number): Promise<void> {
    const { log, replicaProtocol, catalog, now, fronts } = this._state
    const { order } = step
    const { replica, model, version } = order
    const fields = { replica: replica.id, model, version, epoch }
    const answer = await this._call(order, replicaProtocol.reportCall(replica))
    const report = answer === undefined ? undefined : replicaProtocol.readReport(answer.body)
    if (report === undefined) {
      log.decision('replica-report-missing', { ...fields, status: answer?.status })
      return
    }
    const loaded = report.weightVersions[model] ?? 0
    if (!report.isBusy && loaded >= version) {
      log.change('replica-loaded', { ...fields, loaded })
      this._planner.onLoaded({ replicaId: replica.id, model, version: loaded }, now())
    }
    if (!report.isBusy) catalog.observeWeightVersion(replica, model, loaded)
    // The role may have been lost while the report was awaited.
    if (!this._planner.isNeeded(step, report) || this._keeper.epoch(this._leaseNow()) !== epoch) return
    this._planner.onSent(order, now())
    const sent = await this._call(order, replicaProtocol.orderCall(order, fronts.self.name, epoch, report.orderCount))
    log.change('order-sent', { ...fields, orderCount: report.orderCount, status: sent?.status })
    if (sent !== undefined && !replicaProtocol.isOrderAccepted(sent.status)) this._planner.onRefused(replica.id)
  }

  private async _call ({ replica }: WeightOrder, call: ReplicaCall): Promise<{ status: number, body: string } | undefined> {
    const outcome = await callAddress(this._state.channels, replica, call, this._settings.callTimeout)
    if (outcome.isAnswered) return outcome
    this._state.log.decision('replica-call-failed', { replica: replica.id, path: call.path, reason: outcome.reason })
    return undefined
  }

  private _tell (message: LeaseMessage): void {
    for (const effect of this._keeper.handle(message, this._leaseNow(), this._state.now())) this._state.log.detach('rollout-role', this._perform(effect))
  }

  private async _perform (effect: LeaseEffect): Promise<void> {
    const key = this._settings.roleKey
    if (effect.kind === 'read-role') {
      await this._readRole(key)
      return
    }
    const { expectedRevision, record } = effect
    this._writtenAt = this._state.beliefNow()
    const written = await this._store.compareAndSwap({ key, expectedRevision, value: JSON.stringify(record) })
    if (written.isErr) this._tell({ kind: 'call-failed' })
    else this._tell({ kind: 'role-written', outcome: written.value })
  }

  /** The last read of the store tells who holds the role, unless a write after it was lost to somebody. */
  private async _readRole (key: string): Promise<void> {
    if (this._state.readSchedule.ownReadAt > this._writtenAt) {
      this._tellRead(this._ownValues().find(value => value.key === key))
      return
    }
    const read = await this._store.read(key)
    if (read.isErr) this._tell({ kind: 'call-failed' })
    else this._tellRead(read.value)
  }

  private _tellRead (listed: VersionedValue | undefined): void {
    const record = listed === undefined ? undefined : roleRecordSchema.safeParse(JSON.parse(listed.value))
    this._tell({ kind: 'role-read', record: record?.data, keyRevision: listed?.revision ?? 0 })
  }
}
