/** The platform's key-value service. Only single-key compare-and-swap is assumed, so that any such service fits. */
import type { Result } from 'true-myth'
import type { Milliseconds } from '../common/index.js'
import type { PlatformError } from './errors.js'

/** Revision that stands for "the key does not exist" in a compare-and-swap. */
export const ABSENT_REVISION = 0

/** Stands for the era of a service that states none. */
export const NO_ERA = 0

/** A key's value with the revision of its last write. */
export interface VersionedValue {
  key: string
  value: string
  /** Rises with each write of the key; never `ABSENT_REVISION`. */
  revision: number
}

/** A compare-and-swap on one key. */
export interface CompareAndSwap {
  key: string
  /** The revision that the writer last read, or `ABSENT_REVISION` to create the key. */
  expectedRevision: number
  value: string
  /** The lease that the value is bound to, if it should be removed when its writer stops renewing the lease. */
  leaseId?: string
}

/** What a key held, and the era of the service in which it was read. */
export interface KeyState {
  /** `undefined` where the key does not exist. */
  value: VersionedValue | undefined
  era: number
}

/**
 * Outcome of a compare-and-swap: won, with the new revision, or lost, because the key had another revision. The era is that in
 * which the service decided; absent where it states none.
 */
export type CompareAndSwapOutcome =
  | { kind: 'won', revision: number, era?: number }
  | { kind: 'lost', era?: number }

/** An active watch. `stop` ends it and may be called more than once. */
export interface Watch {
  stop (): void
}

/**
 * Access to the platform's key-value service. Each method call counts as one against the service's budget. A service may come
 * back from an older copy of itself: acknowledged writes are gone, and revisions are given out again. Where it states an era,
 * that changes each time.
 */
export abstract class KeyValueService {
  /** Reads one key; `undefined` where it does not exist. */
  abstract read (key: string): Promise<Result<VersionedValue | undefined, PlatformError>>

  /** Reads one key, and the era that its revision belongs to. */
  async readState (key: string): Promise<Result<KeyState, PlatformError>> {
    const read = await this.read(key)
    return read.map(value => ({ value, era: NO_ERA }))
  }

  /** Reads all keys under a prefix, in key order. */
  abstract list (prefix: string): Promise<Result<VersionedValue[], PlatformError>>

  /** Writes one key if its revision is the expected one. After an ambiguous error the write may have taken effect. */
  abstract compareAndSwap (write: CompareAndSwap): Promise<Result<CompareAndSwapOutcome, PlatformError>>

  /** Removes one key if its revision is the expected one. */
  abstract remove (key: string, expectedRevision: number): Promise<Result<CompareAndSwapOutcome, PlatformError>>

  /** Grants a lease and returns its id. Values bound to it are removed once it is not renewed for its time to live. */
  abstract grantLease (timeToLive: Milliseconds): Promise<Result<string, PlatformError>>

  /** Renews a lease; fails with a refused error if the lease has expired. */
  abstract keepLeaseAlive (leaseId: string): Promise<Result<void, PlatformError>>

  /** Calls `changed` with each new value of the key until stopped, and `ended` when the service ends the watch. */
  abstract watch (key: string, changed: (value: VersionedValue) => void, ended: () => void): Watch
}
