/**
 * Detects executors that are gone, so that their claims do not stay open.
 * A false detection may leave an operator to resolve a claim; it never runs an at-most-once request twice.
 */
import { isSameInstance, type InstanceIdentity, type Milliseconds } from '../common/index.js'

/** Time for which an executor must be missing from the live members before it counts as gone. */
export const EXECUTOR_GONE_AFTER: Milliseconds = 30_000

/** Compares the executors of open claims with the observed membership. */
export class ExecutorWatch {
  private _live: readonly InstanceIdentity[] = []
  private readonly _absentSince = new Map<string, Milliseconds>()

  /** Records the members currently observed as live, and the executors that have open claims. */
  update (live: readonly InstanceIdentity[], executors: readonly InstanceIdentity[], now: Milliseconds): void {
    this._live = live
    const absent = executors.filter(executor => !live.some(member => isSameInstance(member, executor))).map(nameOf)
    for (const name of [...this._absentSince.keys()]) if (!absent.includes(name)) this._absentSince.delete(name)
    for (const name of absent) if (!this._absentSince.has(name)) this._absentSince.set(name, now)
  }

  /** Discards how long executors have been missing, which is stale after a pause of this process. */
  reset (): void {
    this._absentSince.clear()
  }

  /** Whether an executor is gone: restarted as a later incarnation, or missing for `EXECUTOR_GONE_AFTER`. */
  isGone (executor: InstanceIdentity, now: Milliseconds): boolean {
    const isRestarted = this._live.some(member => member.host === executor.host && member.incarnation > executor.incarnation)
    const since = this._absentSince.get(nameOf(executor))
    return isRestarted || (since !== undefined && now - since >= EXECUTOR_GONE_AFTER)
  }
}

function nameOf (instance: InstanceIdentity): string {
  return `${instance.host}/${instance.incarnation}`
}
