/** Brings replicas to the named weight versions, a few at a time, through orders that one instance gives. */
import type { Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'

/** Settings of the rollout. */
export interface RolloutSettings {
  /** Share of a service's replicas that load at the same time. */
  loadingShare: number
  /** Between two looks at a replica that carries out an order. */
  reportInterval: Milliseconds
  /** An order that shows no effect for this long is sent again. */
  repeatAfter: Milliseconds
}

/** One order to a replica. */
export interface WeightOrder {
  replica: Replica
  model: string
  version: number
}

/** What a replica says of its orders. */
export interface ReplicaReport {
  /** Orders accepted since its start. */
  orderCount: number
  /** Whether an order is being carried out. */
  isBusy: boolean
  weightVersions: Readonly<Record<string, number>>
}

/** What to do: ask a replica for its report, and send the order if it is still needed then. */
export interface RolloutStep {
  order: WeightOrder
  /** Whether the order was sent already, so that only its progress is asked for. */
  isSent: boolean
}

/** A replica that has loaded a version. */
export interface LoadedReplica {
  replicaId: string
  model: string
  version: number
}

/** Others learn of a loaded replica by its registration after this time at the latest. */
const LOADED_NEWS: Milliseconds = 3_000

interface OpenOrder {
  order: WeightOrder
  startedAt: number
  sentAt: Milliseconds | undefined
  askedAt: Milliseconds
}

/** Plans the orders for one model after another. */
export class RolloutPlanner {
  private readonly _open = new Map<string, OpenOrder>()
  private _loaded: { loaded: LoadedReplica, at: Milliseconds }[] = []

  constructor (private readonly _settings: RolloutSettings) {}

  /** The replicas that are about to load or load now, and should get no requests. */
  get loading (): string[] {
    return [...this._open.keys()]
  }

  /**
   * The steps to take now.
   * @param replicas all known replicas; those with the fewest running requests should come first
   */
  next (replicas: readonly Replica[], model: string, version: number, now: Milliseconds): RolloutStep[] {
    const serving = replicas.filter(replica => !replica.isDraining && replica.weightVersions[model] !== undefined)
    this._dropSettled(serving, model, version)
    const behind = serving.filter(replica => (replica.weightVersions[model] ?? 0) < version)
    const atOnce = Math.max(1, Math.floor(serving.length * this._settings.loadingShare))
    const steps: RolloutStep[] = []
    for (const replica of behind) {
      const open = this._open.get(replica.id)
      if (open === undefined && this._open.size >= atOnce) continue
      const order = { replica, model, version }
      const current = open ?? { order, startedAt: replica.startedAt, sentAt: undefined, askedAt: -Infinity }
      this._open.set(replica.id, current)
      if (now - current.askedAt < this._settings.reportInterval) continue
      current.askedAt = now
      const isSent = current.sentAt !== undefined && now - current.sentAt < this._settings.repeatAfter
      steps.push({ order, isSent })
    }
    return steps
  }

  /** Whether the order should be sent now that the replica has reported. */
  isNeeded ({ order, isSent }: RolloutStep, report: ReplicaReport): boolean {
    return !isSent && !report.isBusy && (report.weightVersions[order.model] ?? 0) < order.version
  }

  /** The order is being sent. */
  onSent ({ replica }: WeightOrder, now: Milliseconds): void {
    const open = this._open.get(replica.id)
    if (open !== undefined) open.sentAt = now
  }

  /** The replica refused the order and will not carry it out. */
  onRefused (replicaId: string): void {
    const open = this._open.get(replicaId)
    if (open !== undefined) open.sentAt = undefined
  }

  /** A report showed that the replica has loaded a version. */
  onLoaded (loaded: LoadedReplica, now: Milliseconds): void {
    this._loaded.push({ loaded, at: now })
  }

  /** What others may not know yet. */
  recentlyLoaded (now: Milliseconds): LoadedReplica[] {
    this._loaded = this._loaded.filter(({ at }) => now - at < LOADED_NEWS)
    return this._loaded.map(({ loaded }) => loaded)
  }

  /** This instance no longer gives orders. */
  clear (): void {
    this._open.clear()
  }

  private _dropSettled (serving: readonly Replica[], model: string, version: number): void {
    const byId = new Map(serving.map(replica => [replica.id, replica]))
    for (const [id, open] of this._open) {
      if (open.order.model !== model) continue
      const replica = byId.get(id)
      const isGone = replica === undefined || replica.startedAt !== open.startedAt
      const isDone = replica !== undefined && (replica.weightVersions[model] ?? 0) >= version
      if (isGone || isDone) this._open.delete(id)
      else if (open.order.version !== version) {
        this._open.set(id, { ...open, order: { replica, model, version }, sentAt: undefined })
      }
    }
  }
}
