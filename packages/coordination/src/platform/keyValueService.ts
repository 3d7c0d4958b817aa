/** The platform's key-value service. Only single-key compare-and-swap is assumed, so that any such service fits. */
import type { Result } from 'true-myth'
import type { Milliseconds } from '../common/index.js'
import type { PlatformError } from './errors.js'

/** Revision that stands for "the key does not exist" in a compare-and-swap. */
export const ABSENT_REVISION = 0

/** A value with the revision of its last write. */
export interface VersionedValue {
  key: string
  value: string
  /** Rises with each write of the key; never `ABSENT_REVISION`. */
  revision: number
}

/** A compare-and-swap on one key. */
export interface CompareAndSwap {
  key: string
  /** The revision the writer last saw, or `ABSENT_REVISION` to create. */
  expectedRevision: number
  value: string
  /** The lease under which the value lives, if it should vanish with its writer. */
  leaseId?: string
}

/** How a compare-and-swap ended: won with the new revision, or lost because the key had moved on. */
export type CompareAndSwapOutcome =
  | { kind: 'won', revision: number }
  | { kind: 'lost' }

/** A running watch. `stop` ends it and is safe to call twice. */
export interface Watch {
  stop (): void
}

/** Gives access to the platform's key-value service. Every method counts as one call on the service's budget. */
export abstract class KeyValueService {
  /** Reads one key; `undefined` where it does not exist. */
  abstract read (key: string): Promise<Result<VersionedValue | undefined, PlatformError>>

  /** Reads all keys under a prefix, in key order. */
  abstract list (prefix: string): Promise<Result<VersionedValue[], PlatformError>>

  /** Writes one key if its revision is the expected one. An ambiguous error may still have taken effect. */
  abstract compareAndSwap (write: CompareAndSwap): Promise<Result<CompareAndSwapOutcome, PlatformError>>

  /** Removes one key if its revision is the expected one. */
  abstract remove (key: string, expectedRevision: number): Promise<Result<CompareAndSwapOutcome, PlatformError>>

  /** Grants a lease; values written under it vanish when it is not kept alive for the time to live. */
  abstract grantLease (timeToLive: Milliseconds): Promise<Result<string, PlatformError>>

  /** Renews a lease. A lease that has lapsed is a refused error. */
  abstract keepLeaseAlive (leaseId: string): Promise<Result<void, PlatformError>>

  /** Calls `changed` with each new value of the key until stopped; `ended` when the service drops the watch. */
  abstract watch (key: string, changed: (value: VersionedValue) => void, ended: () => void): Watch
}
