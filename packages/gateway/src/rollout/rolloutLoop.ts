/** Sends the orders to load new weight versions to the replicas while this instance holds the rollout role. */
import {
  ABSENT_REVISION, LeaseRenewer, RolloutPlanner, roleRecordSchema, type KeyState, type KeyValueService, type LeaseEffect,
  type LeaseMessage, type Milliseconds, type RoleRecord, type RolloutSettings, type RolloutStep, type VersionedValue,
  type WeightOrder
} from '@wasabihead/coordination'
import { callAddress } from '../channels/index.js'
import type { ReplicaCall } from '../protocol/index.js'
import { beginPace, connectedInstances, recordColdAnswer, type GatewayState } from '../requests/index.js'

export interface RolloutLoopSettings extends RolloutSettings {
  roleKey: string
  roleTimeToLive: Milliseconds
  /** Minimum time between the end of the previous holder's lease and the first order of the next one. */
  turnInterval: Milliseconds
  /** Interval of the loop while this instance holds the role or is a candidate for it. */
  interval: Milliseconds
  /** Interval of the loop otherwise. */
  idleInterval: Milliseconds
  callTimeout: Milliseconds
}

/** Competes for the role and, while this instance holds it, carries out the steps of the planner. */
export class RolloutLoop {
  private readonly _leaseRenewer: LeaseRenewer
  private readonly _planner: RolloutPlanner
  private _timer: NodeJS.Timeout | undefined
  private _epoch: number | undefined
  private _ordersFrom: Milliseconds = 0
  /** When the last write of the role's key was started. */
  private _writtenAt: Milliseconds = -Infinity

  /**
   * @param _ownValues this project's own values of the store, as of the last listing
   * @param _suspensionAwareNow clock that counts suspensions of the machine, during which a lease may have expired
   */
  constructor (
    private readonly _state: GatewayState,
    private readonly _store: KeyValueService,
    private readonly _settings: RolloutLoopSettings,
    private readonly _ownValues: () => readonly VersionedValue[],
    private readonly _suspensionAwareNow: () => Milliseconds
  ) {
    const { name, incarnation } = _state.fronts.self
    this._leaseRenewer = new LeaseRenewer({ host: name, incarnation }, _settings.roleTimeToLive)
    this._planner = new RolloutPlanner(_settings)
  }

  /** Whether this instance certainly holds the role now. */
  get isHolder (): boolean {
    return this._leaseRenewer.epoch(this._suspensionAwareNow()) !== undefined
  }

  /** The highest epoch of the role that this instance knows of; 0 where it knows none. */
  get highestEpoch (): number {
    return this._leaseRenewer.highestEpoch
  }

  /** Another instance knows of an epoch, of which the store may have lost the record. */
  onEpochSeen (epoch: number): void {
    this._handleLeaseMessage({ kind: 'epoch-seen', epoch })
  }

  /** Runs one round and schedules the next one, until stopped. */
  start (): void {
    this._tick()
    const delay = this._isCandidate ? this._settings.interval : this._settings.idleInterval
    this._timer = setTimeout(() => { this.start() }, delay)
  }

  /** Stops the loop and releases the role. */
  stop (): void {
    clearTimeout(this._timer)
    this._handleLeaseMessage({ kind: 'want', isWanted: false })
  }

  /** Only an instance that reads the store sees the holder's renewals, and only one that reaches the replicas can order. */
  private get _isCandidate (): boolean {
    const { readSchedule, fronts, suspensionAwareNow } = this._state
    if (!connectedInstances(this._state).includes(fronts.self.name)) return false
    return this.isHolder || readSchedule.isReading(suspensionAwareNow())
  }

  private _tick (): void {
    const state = this._state
    const now = state.now()
    const suspensionAwareNow = this._suspensionAwareNow()
    this._handleLeaseMessage({ kind: 'want', isWanted: this._isCandidate })
    const epoch = this._leaseRenewer.epoch(suspensionAwareNow)
    if (epoch !== this._epoch) this._onEpochChange(epoch, now)
    const { name } = state.fronts.self
    if (epoch === undefined || now < this._ordersFrom) {
      state.loadingReplicas.record(name, [], [], now)
      return
    }
    const byLoad = state.catalog.replicas
      .filter(({ zone }) => !state.catalog.isEvacuated(zone))
      .map(replica => ({ replica, requests: state.loads.of(replica.id).requests }))
      .sort((left, right) => left.requests - right.requests)
      .map(({ replica }) => replica)
    for (const model of state.catalog.announcedModels) {
      const version = state.catalog.announcedVersion(model)?.version ?? 0
      for (
        const step of this._planner.next(byLoad, model, version, now)
      ) this._state.log.detach('order', this._performStep(step, epoch))
    }
    state.loadingReplicas.record(name, this._planner.loading, this._planner.recentlyLoaded(now), now)
  }

  private _onEpochChange (epoch: number | undefined, now: Milliseconds): void {
    this._epoch = epoch
    this._planner.clear()
    this._ordersFrom = Math.max(now, this._leaseRenewer.formerHeldUntil + this._settings.turnInterval)
    this._state.log.change(epoch === undefined ? 'rollout-role-lost' : 'rollout-role-won', { epoch })
  }

  private async _performStep (step: RolloutStep, epoch: number): Promise<void> {
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
    if (!report.isBusy && catalog.observeWeightVersion(replica, model, loaded)) beginPace(this._state, replica, 'weights-loaded')
    // The role may have been lost while waiting for the report.
    if (!this._planner.isNeeded(step, report) || this._leaseRenewer.epoch(this._suspensionAwareNow()) !== epoch) return
    this._planner.onSent(order, now())
    const sent = await this._call(order, replicaProtocol.orderCall(order, fronts.self.name, epoch, report.orderCount))
    log.change('order-sent', { ...fields, orderCount: report.orderCount, status: sent?.status })
    if (sent !== undefined && !replicaProtocol.isOrderAccepted(sent.status)) this._planner.onRefused(replica.id)
  }

  private async _call ({ replica }: WeightOrder, call: ReplicaCall): Promise<{ status: number, body: string } | undefined> {
    const askedAt = this._suspensionAwareNow()
    const outcome = await callAddress(this._state, replica, call, this._settings.callTimeout)
    if (outcome.isAnswered) recordColdAnswer(this._state, replica, outcome.coldLeft, askedAt)
    if (outcome.isAnswered) return outcome
    this._state.log.decision('replica-call-failed', { replica: replica.id, path: call.path, reason: outcome.reason })
    return undefined
  }

  private _handleLeaseMessage (message: LeaseMessage): void {
    for (
      const effect of this._leaseRenewer.handle(message, this._suspensionAwareNow(), this._state.now())
    ) this._state.log.detach('rollout-role', this._performEffect(effect))
  }

  private async _performEffect (effect: LeaseEffect): Promise<void> {
    const key = this._settings.roleKey
    if (effect.kind === 'read-role') {
      await this._readRole(key)
      return
    }
    const { expectedRevision, record } = effect
    this._writtenAt = this._state.suspensionAwareNow()
    const written = await this._store.compareAndSwap({ key, expectedRevision, value: JSON.stringify(record) })
    if (written.isErr) this._handleLeaseMessage({ kind: 'call-failed' })
    else this._handleLeaseMessage({ kind: 'role-written', outcome: written.value })
  }

  /** Takes the role from the last listing, unless the key was written since: that write may have lost against another one. */
  private async _readRole (key: string): Promise<void> {
    if (this._state.readSchedule.ownReadAt > this._writtenAt) {
      this._handleRoleRead({ value: this._ownValues().find(value => value.key === key), era: this._state.mirror.era })
      return
    }
    const read = await this._store.readState(key)
    if (read.isErr) this._handleLeaseMessage({ kind: 'call-failed' })
    else this._handleRoleRead(read.value)
  }

  private _handleRoleRead ({ value, era }: KeyState): void {
    const record = value === undefined ? undefined : parseRoleRecord(value.value)
    if (value !== undefined && record === undefined) this._state.log.decision('role-record-unreadable', { key: value.key })
    this._handleLeaseMessage({ kind: 'role-read', record, keyRevision: value?.revision ?? ABSENT_REVISION, era })
  }
}

function parseRoleRecord (text: string): RoleRecord | undefined {
  try {
    return roleRecordSchema.parse(JSON.parse(text))
  } catch {
    return undefined
  }
}
