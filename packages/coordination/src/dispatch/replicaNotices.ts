/**
 * Records which replicas have announced in an answer that they accept no more requests because they are leaving, or none from
 * this instance for a while. Answers carry this earlier than the store does, and also while the store is unavailable.
 */
import type { Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'

/** A leaving replica is repeated in heartbeats for this long, since heartbeats may be lost. */
const UPDATE_LIFETIME: Milliseconds = 3_000
/** Maximum number of leaving runs retained; the oldest are evicted first, whose registrations the store removed long ago. */
const MAXIMUM_LEAVING = 4_000

/** Identifies one run of a replica: a replica that restarts under the same id is a new run. */
export function replicaRunOf ({ id, startedAt }: Pick<Replica, 'id' | 'startedAt'>): string {
  return `${id}/${startedAt}`
}

/** Notices by the run of the replica, so that a restart clears them. */
export class ReplicaNotices {
  /** Leaving runs, with the time at which this instance learned of each; a leaving run never accepts requests again. */
  private readonly _leaving = new Map<string, Milliseconds>()
  /** Time from which each run accepts requests from this instance again. */
  private readonly _closedUntil = new Map<string, Milliseconds>()
  private _updates: { run: string, at: Milliseconds }[] = []

  /** Records that the replica announced in an answer that it is leaving; returns whether this is new. */
  onLeaving (replica: Replica, now: Milliseconds): boolean {
    const run = replicaRunOf(replica)
    const isNew = this.receive(run, now)
    if (isNew) this._updates.push({ run, at: now })
    return isNew
  }

  /** Records a leaving run reported by another instance; returns whether it is new. */
  receive (run: string, now: Milliseconds): boolean {
    if (this._leaving.has(run)) return false
    this._leaving.set(run, now)
    if (this._leaving.size > MAXIMUM_LEAVING) {
      const oldest = this._leaving.keys().next()
      if (oldest.done !== true) this._leaving.delete(oldest.value)
    }
    return true
  }

  /** Records that the replica refused a request and accepts none from this instance for a duration; the latest end counts. */
  onRetryAfter (replica: Replica, delay: Milliseconds, now: Milliseconds): void {
    for (const [run, until] of this._closedUntil) if (until <= now) this._closedUntil.delete(run)
    const run = replicaRunOf(replica)
    // Answers on two connections may arrive out of order.
    this._closedUntil.set(run, Math.max(now + delay, this._closedUntil.get(run) ?? -Infinity))
  }

  /** Whether this instance must not send the replica a request now. */
  isClosed (replica: Replica, now: Milliseconds): boolean {
    return this.opensAt(replica) > now
  }

  /**
   * When the replica accepts requests from this instance again: -Infinity if no notice is recorded, Infinity if the replica is
   * leaving.
   */
  opensAt (replica: Replica): Milliseconds {
    const run = replicaRunOf(replica)
    return this._leaving.has(run) ? Infinity : this._closedUntil.get(run) ?? -Infinity
  }

  /** Leaving runs to report to the other instances now. */
  updates (now: Milliseconds): string[] {
    this._updates = this._updates.filter(({ at }) => now - at < UPDATE_LIFETIME)
    return this._updates.map(({ run }) => run)
  }
}
