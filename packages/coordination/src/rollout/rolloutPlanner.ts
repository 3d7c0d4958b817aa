/** Brings replicas to the named weight versions, a few at a time, through orders that one instance gives. */
import type { Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'

/** Settings of the rollout. */
export interface RolloutSettings {
  /** Share of a service's replicas that load at the same time. */
  loadingShare: number
  /** An order that shows no effect for this long is sent again. */
  repeatAfter: Milliseconds
}

/** One order to a replica. */
export interface WeightOrder {
  replica: Replica
  model: string
  version: number
}

interface SentOrder {
  version: number
  startedAt: number
  sentAt: Milliseconds
  isSettled: boolean
}

/** Plans the orders. The replicas' registered versions are what counts; an order only makes them change. */
export class RolloutPlanner {
  private readonly _sent = new Map<string, SentOrder>()

  constructor (private readonly _settings: RolloutSettings) {}

  /** Whether the replica is carrying out an order of this instance. */
  isLoading (replicaId: string): boolean {
    return this._sent.has(replicaId)
  }

  /** The orders to send now. */
  next (replicas: readonly Replica[], model: string, version: number, now: Milliseconds): WeightOrder[] {
    const serving = replicas.filter(replica => !replica.isDraining && replica.weightVersions[model] !== undefined)
    const behind: Replica[] = []
    let loading = 0
    for (const replica of serving) {
      const sent = this._sent.get(replica.id)
      const isDone = (replica.weightVersions[model] ?? 0) >= version
      if (sent !== undefined && (isDone || sent.startedAt !== replica.startedAt)) this._sent.delete(replica.id)
      if (isDone) continue
      const isUnderWay = sent !== undefined && sent.version === version && sent.startedAt === replica.startedAt &&
        now - sent.sentAt < this._settings.repeatAfter
      if (isUnderWay) loading++
      else behind.push(replica)
    }
    const atOnce = Math.max(1, Math.floor(serving.length * this._settings.loadingShare))
    return behind.slice(0, Math.max(0, atOnce - loading)).map(replica => ({ replica, model, version }))
  }

  /** An order is being sent. */
  onSent ({ replica, version }: WeightOrder, now: Milliseconds): void {
    this._sent.set(replica.id, { version, startedAt: replica.startedAt, sentAt: now, isSettled: false })
  }

  /** The replica refused the order and will not carry it out. */
  onRefused (replicaId: string): void {
    this._sent.delete(replicaId)
  }
}
