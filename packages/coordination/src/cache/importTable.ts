/** The imports in progress: at most one for each block and replica, so that no block is sent to a replica twice at once. */
import type { Milliseconds } from '../common/index.js'

/** Time after which an import whose end was not reported is no longer waited for. */
const LONGEST_IMPORT: Milliseconds = 30_000

interface RunningImport {
  startedAt: Milliseconds
  predictedEnd: Milliseconds
}

/** Tracks the imports in progress. */
export class ImportTable {
  private readonly _replicas = new Map<string, Map<string, RunningImport>>()

  /** Registers an import; false if it is already in progress, in which case the caller waits for it and starts none. */
  begin (replica: string, blockKey: string, predictedEnd: Milliseconds, now: Milliseconds): boolean {
    if (this.remainingTime(replica, blockKey, now) !== undefined) return false
    const running = this._replicas.get(replica) ?? new Map<string, RunningImport>()
    running.set(blockKey, { startedAt: now, predictedEnd })
    this._replicas.set(replica, running)
    return true
  }

  /** Ends an import, successful or not. */
  end (replica: string, blockKey: string): void {
    const running = this._replicas.get(replica)
    running?.delete(blockKey)
    if (running?.size === 0) this._replicas.delete(replica)
  }

  /** Predicted time until the import in progress ends; undefined if there is none. */
  remainingTime (replica: string, blockKey: string, now: Milliseconds): Milliseconds | undefined {
    const running = this._replicas.get(replica)?.get(blockKey)
    if (running === undefined || now - running.startedAt >= LONGEST_IMPORT) return undefined
    return Math.max(0, running.predictedEnd - now)
  }
}
