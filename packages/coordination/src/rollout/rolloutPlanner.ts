/** Brings replicas to the announced weight versions, a few at a time, by orders that a single instance sends. */
import type { Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'

/** Settings of the rollout. */
export interface RolloutSettings {
  /** Largest share of a service's replicas that load at the same time; at least one replica loads. */
  loadingShare: number
  /** Time between two requests for the report of a replica with an open order. */
  reportInterval: Milliseconds
  /** An order without an effect is sent again after this time. */
  repeatAfter: Milliseconds
}

/** One order to a replica. */
export interface WeightOrder {
  replica: Replica
  model: string
  version: number
}

/** A replica's report on its orders. */
export interface ReplicaReport {
  /** Wall-clock time of the start, as in its registration; undefined if the replica does not say. */
  startedAt: number | undefined
  /** Orders accepted since its start. */
  orderCount: number
  /** Whether an order is being carried out. */
  isBusy: boolean
  weightVersions: Readonly<Record<string, number>>
}

/** A step of the rollout: to request the replica's report, and then to send the order if it is still needed. */
export interface RolloutStep {
  order: WeightOrder
  /** Whether the order has been sent already, so that only its progress is requested. */
  isSent: boolean
}

/** A replica that has loaded a version. */
export interface LoadedReplica {
  replicaId: string
  model: string
  version: number
}

/** A loaded replica is reported to peers for this long; by then its own registration shows the version. */
const LOADED_REPORT_DURATION: Milliseconds = 3_000

interface OpenOrder {
  order: WeightOrder
  /** Start of the replica's run. */
  startedAt: number
  sentAt: Milliseconds | undefined
  polledAt: Milliseconds
}

/** Plans the orders; `next` is called for one model after another. */
export class RolloutPlanner {
  private readonly _openOrders = new Map<string, OpenOrder>()
  private _loaded: { loaded: LoadedReplica, at: Milliseconds }[] = []

  constructor (private readonly _settings: RolloutSettings) {}

  /** Ids of the replicas with an open order, which are loading or about to load and should receive no requests. */
  get loading (): string[] {
    return [...this._openOrders.keys()]
  }

  /**
   * Returns the steps that are due now for one model.
   * @param replicas all known replicas, in the order of preference: those with the fewest running requests first
   */
  next (replicas: readonly Replica[], model: string, version: number, now: Milliseconds): RolloutStep[] {
    const serving = replicas.filter(replica => !replica.isDraining && replica.weightVersions[model] !== undefined)
    this._removeFinished(serving, model, version)
    const behind = serving.filter(replica => (replica.weightVersions[model] ?? 0) < version)
    const maximumOpen = Math.max(1, Math.floor(serving.length * this._settings.loadingShare))
    const steps: RolloutStep[] = []
    for (const replica of behind) {
      const open = this._openOrders.get(replica.id)
      if (open === undefined && this._openOrders.size >= maximumOpen) continue
      const order = { replica, model, version }
      const current = open ?? { order, startedAt: replica.startedAt, sentAt: undefined, polledAt: -Infinity }
      this._openOrders.set(replica.id, current)
      if (now - current.polledAt < this._settings.reportInterval) continue
      current.polledAt = now
      const isSent = current.sentAt !== undefined && now - current.sentAt < this._settings.repeatAfter
      steps.push({ order, isSent })
    }
    return steps
  }

  /** Whether the order of a step should be sent, given the replica's report. */
  isNeeded ({ order, isSent }: RolloutStep, report: ReplicaReport): boolean {
    return !isSent && !report.isBusy && (report.weightVersions[order.model] ?? 0) < order.version
  }

  /** The order is being sent. */
  onSent ({ replica }: WeightOrder, now: Milliseconds): void {
    const open = this._openOrders.get(replica.id)
    if (open !== undefined) open.sentAt = now
  }

  /** The replica refused the order and will not carry it out, so that it may be sent again. */
  onRefused (replicaId: string): void {
    const open = this._openOrders.get(replicaId)
    if (open !== undefined) open.sentAt = undefined
  }

  /** A report showed that the replica has loaded a version. */
  onLoaded (loaded: LoadedReplica, now: Milliseconds): void {
    this._loaded.push({ loaded, at: now })
  }

  /** The recently loaded replicas, whose registrations peers may not have read yet. */
  recentlyLoaded (now: Milliseconds): LoadedReplica[] {
    this._loaded = this._loaded.filter(({ at }) => now - at < LOADED_REPORT_DURATION)
    return this._loaded.map(({ loaded }) => loaded)
  }

  /** Drops all open orders, when this instance no longer sends orders. */
  clear (): void {
    this._openOrders.clear()
  }

  private _removeFinished (serving: readonly Replica[], model: string, version: number): void {
    const byId = new Map(serving.map(replica => [replica.id, replica]))
    for (const [id, open] of this._openOrders) {
      if (open.order.model !== model) continue
      const replica = byId.get(id)
      const isGone = replica === undefined || replica.startedAt !== open.startedAt
      const isDone = replica !== undefined && (replica.weightVersions[model] ?? 0) >= version
      if (isGone || isDone) this._openOrders.delete(id)
      else if (open.order.version !== version) {
        this._openOrders.set(id, { ...open, order: { replica, model, version }, sentAt: undefined })
      }
    }
  }
}
