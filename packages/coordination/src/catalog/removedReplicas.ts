/** The runs of replicas that were removed lately, which an older copy of the store may list again. */
import type { Milliseconds } from '../common/index.js'
import { NO_ERA } from '../platform/index.js'
import type { Replica, Revised } from './messages.js'

const RETENTION: Milliseconds = 60_000

interface RemovedRun {
  startedAt: number
  at: Milliseconds
  /** The era of the store in which it was removed. */
  era: number
  /** Its entry in an older copy, and until when that is ignored unless it changes. */
  copied?: { revision: number, era: number, ignoredUntil: Milliseconds }
}

/** Tells entries of removed runs in an older copy of the store from those of runs that registered again. */
export class RemovedReplicas {
  private readonly _runs = new Map<string, RemovedRun>()

  /** @param _ignoreFor how long a run that is alive may take to change its entry after a return of the store */
  constructor (private readonly _ignoreFor: Milliseconds) {}

  /** When ignored entries have to be judged again; Infinity where there are none. */
  get recheckAt (): Milliseconds {
    return Math.min(Infinity, ...[...this._runs.values()].map(({ copied }) => copied?.ignoredUntil ?? Infinity))
  }

  /** Records that a run was removed. */
  add ({ id, startedAt }: Replica, era: number, now: Milliseconds): void {
    this._runs.set(id, { startedAt, at: now, era })
  }

  /** Forgets the removed run of a replica, which is in use again. */
  delete (id: string): void {
    this._runs.delete(id)
  }

  /** Forgets runs that were removed long ago, and those that an older copy listed and the store no longer does. */
  retain (listed: ReadonlySet<string>, now: Milliseconds): void {
    for (const [id, { at, copied }] of this._runs) {
      if (now - at > RETENTION || (copied !== undefined && !listed.has(id))) this._runs.delete(id)
    }
  }

  /** Whether an entry is that of a removed run in an older copy. A run that is alive writes its entry again within seconds. */
  isCopy ({ era = NO_ERA, revision, value: { id, startedAt } }: Revised<Replica>, now: Milliseconds): boolean {
    const run = this._runs.get(id)
    if (run === undefined || run.era === era || startedAt > run.startedAt) return false
    if (run.copied?.era !== era) run.copied = { revision, era, ignoredUntil: now + this._ignoreFor }
    return run.copied.revision === revision && now < run.copied.ignoredUntil
  }
}
