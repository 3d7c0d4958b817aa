/**
 * What replicas say about the requests that they still want: none any more, since they leave, or none from this instance
 * for a while. Both come with their answers, earlier than the store tells it, and hold while the store is away.
 */
import type { Milliseconds } from '../common/index.js'
import type { Replica } from '../catalog/index.js'

/** A leaving replica is told to the other instances for this long, since heartbeats may be lost. */
const NEWS_LIFETIME: Milliseconds = 3_000
/** Most leaving runs that are remembered; the oldest go first, and the store has dropped those long ago. */
const MAXIMUM_LEAVING = 4_000

/** One run of a replica: a replica that starts again under its id is another one. */
export function replicaRunOf ({ id, startedAt }: Pick<Replica, 'id' | 'startedAt'>): string {
  return `${id}/${startedAt}`
}

/** Holds the notices by the run of the replica, so that a restart clears them. */
export class ReplicaNotices {
  /** Run to when this instance heard that it leaves; a run that leaves does not come back. */
  private readonly _leaving = new Map<string, Milliseconds>()
  /** Run to when it takes requests of this instance again. */
  private readonly _closedUntil = new Map<string, Milliseconds>()
  private _news: { run: string, at: Milliseconds }[] = []

  /** The replica said in an answer that it leaves; whether that is news. */
  onLeaving (replica: Replica, now: Milliseconds): boolean {
    const run = replicaRunOf(replica)
    const isNews = this.hear(run, now)
    if (isNews) this._news.push({ run, at: now })
    return isNews
  }

  /** Another instance told of a run that leaves; whether that is news. */
  hear (run: string, now: Milliseconds): boolean {
    if (this._leaving.has(run)) return false
    this._leaving.set(run, now)
    if (this._leaving.size > MAXIMUM_LEAVING) {
      const oldest = this._leaving.keys().next()
      if (oldest.done !== true) this._leaving.delete(oldest.value)
    }
    return true
  }

  /** The replica turned a request away and wants none from this instance for a duration; a later word replaces an earlier one. */
  onRetryAfter (replica: Replica, delay: Milliseconds, now: Milliseconds): void {
    for (const [run, until] of this._closedUntil) if (until <= now) this._closedUntil.delete(run)
    const run = replicaRunOf(replica)
    // Answers on two connections may overtake each other.
    this._closedUntil.set(run, Math.max(now + delay, this._closedUntil.get(run) ?? -Infinity))
  }

  /** Whether the replica may get no request of this instance now. */
  isClosed (replica: Replica, now: Milliseconds): boolean {
    return this.opensAt(replica) > now
  }

  /** When the replica takes requests of this instance again; -Infinity where it does now, Infinity where it never will. */
  opensAt (replica: Replica): Milliseconds {
    const run = replicaRunOf(replica)
    return this._leaving.has(run) ? Infinity : this._closedUntil.get(run) ?? -Infinity
  }

  /** The leaving runs that the other instances should be told of now. */
  news (now: Milliseconds): string[] {
    this._news = this._news.filter(({ at }) => now - at < NEWS_LIFETIME)
    return this._news.map(({ run }) => run)
  }
}
