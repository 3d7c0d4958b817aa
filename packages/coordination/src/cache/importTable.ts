/** The imports under way: one for each block and replica, so that no block crosses a link twice for the same place. */
import type { Milliseconds } from '../common/index.js'

/** Bounds the time for which an import is waited for that nobody ended. */
const LONGEST_IMPORT: Milliseconds = 30_000

interface RunningImport {
  startedAt: Milliseconds
  predictedEnd: Milliseconds
}

/** Knows which imports run. */
export class ImportTable {
  private readonly _replicas = new Map<string, Map<string, RunningImport>>()

  /** Whether the caller shall start the import; false where it already runs and is to be waited for. */
  begin (replica: string, blockKey: string, predictedEnd: Milliseconds, now: Milliseconds): boolean {
    if (this.remainingTime(replica, blockKey, now) !== undefined) return false
    const running = this._replicas.get(replica) ?? new Map<string, RunningImport>()
    running.set(blockKey, { startedAt: now, predictedEnd })
    this._replicas.set(replica, running)
    return true
  }

  /** Ends an import, whether the block came or not. */
  end (replica: string, blockKey: string): void {
    const running = this._replicas.get(replica)
    running?.delete(blockKey)
    if (running?.size === 0) this._replicas.delete(replica)
  }

  /** Time until the import that runs is predicted to end; undefined where none runs. */
  remainingTime (replica: string, blockKey: string, now: Milliseconds): Milliseconds | undefined {
    const running = this._replicas.get(replica)?.get(blockKey)
    if (running === undefined || now - running.startedAt >= LONGEST_IMPORT) return undefined
    return Math.max(0, running.predictedEnd - now)
  }
}
