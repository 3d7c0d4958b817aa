/** Limits an instance to its share of the calls to the key-value service; calls over the share are refused at once. */
import { Result } from 'true-myth'
import {
  KeyValueService, PlatformRefusedError,
  type CallBudget, type CallKind, type CallPriority, type CompareAndSwap, type CompareAndSwapOutcome, type Milliseconds,
  type PlatformError, type VersionedValue, type Watch
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'

/** An instance's call budget, shared by its wrappers of the service so that calls and watches are counted together. */
export class CallAccount {
  private _watches = 0

  constructor (private readonly _budget: CallBudget, private readonly _clock: Clock) {}

  /** Takes one call from the budget. Returns false if the call exceeds the share and must not be made. */
  take (kind: CallKind, priority: CallPriority): boolean {
    return this._budget.take(kind, priority, this._clock.monotonic())
  }

  /** Recomputes this instance's share of the fleet's rates. */
  setLiveMembers (count: number): void {
    this._budget.setLiveMembers(count, this._clock.monotonic())
  }

  /** Counts a watch that starts (1) or ends (-1). */
  countWatch (change: 1 | -1): void {
    this._watches += change
    this._budget.setWatches(this._watches, this._clock.monotonic())
  }
}

/** Wraps the key-value service for calls of one priority. */
export class BudgetedKeyValueService extends KeyValueService {
  constructor (
    private readonly _inner: KeyValueService,
    private readonly _account: CallAccount,
    private readonly _priority: CallPriority
  ) {
    super()
  }

  override async read (key: string): Promise<Result<VersionedValue | undefined, PlatformError>> {
    return await this._callWithinBudget('read', async () => await this._inner.read(key))
  }

  override async list (prefix: string): Promise<Result<VersionedValue[], PlatformError>> {
    return await this._callWithinBudget('read', async () => await this._inner.list(prefix))
  }

  override async compareAndSwap (write: CompareAndSwap): Promise<Result<CompareAndSwapOutcome, PlatformError>> {
    return await this._callWithinBudget('write', async () => await this._inner.compareAndSwap(write))
  }

  override async remove (key: string, expectedRevision: number): Promise<Result<CompareAndSwapOutcome, PlatformError>> {
    return await this._callWithinBudget('write', async () => await this._inner.remove(key, expectedRevision))
  }

  override async grantLease (timeToLive: Milliseconds): Promise<Result<string, PlatformError>> {
    return await this._callWithinBudget('write', async () => await this._inner.grantLease(timeToLive))
  }

  override async keepLeaseAlive (leaseId: string): Promise<Result<void, PlatformError>> {
    return await this._callWithinBudget('write', async () => await this._inner.keepLeaseAlive(leaseId))
  }

  override watch (key: string, changed: (value: VersionedValue) => void, ended: () => void): Watch {
    let isCounted = true
    this._account.countWatch(1)
    const uncount = (): void => {
      if (isCounted) this._account.countWatch(-1)
      isCounted = false
    }
    const watch = this._inner.watch(key, changed, () => {
      uncount()
      ended()
    })
    return {
      stop: () => {
        uncount()
        watch.stop()
      }
    }
  }

  private async _callWithinBudget<Value> (
    kind: CallKind, call: () => Promise<Result<Value, PlatformError>>
  ): Promise<Result<Value, PlatformError>> {
    if (this._account.take(kind, this._priority)) return await call()
    return Result.err(new PlatformRefusedError(
      `This instance has used its share of ${kind}s on the key-value service`, 'Retry after one second'))
  }
}
