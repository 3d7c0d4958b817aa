/** Limits the rate of one shard's writes, so that all shards together stay within their share of the key-value service. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'
import { CLAIM_SHARD_COUNT } from './claimPlacement.js'

/** Writes per second to the key-value service for the claims of the whole fleet. */
export const FLEET_CLAIM_WRITES_PER_SECOND = 200

const BURST_WRITES = 4
const WRITE_INTERVAL: Milliseconds = MILLISECONDS_PER_SECOND * CLAIM_SHARD_COUNT / FLEET_CLAIM_WRITES_PER_SECOND

/** A token bucket: an idle shard writes at once, and a busy shard collects more records into each write. */
export class WritePacer {
  private _tokens = BURST_WRITES
  private _filledAt: Milliseconds = 0

  /** Delay until the next write is allowed; 0 where it is allowed now. */
  delayAt (now: Milliseconds): Milliseconds {
    this._fill(now)
    return this._tokens >= 1 ? 0 : Math.ceil((1 - this._tokens) * WRITE_INTERVAL)
  }

  /** Counts writes. Writes beyond the available tokens are not refused; they delay the next one. */
  take (now: Milliseconds, writes = 1): void {
    this._fill(now)
    this._tokens -= writes
  }

  private _fill (now: Milliseconds): void {
    const filled = this._tokens + Math.max(0, now - this._filledAt) / WRITE_INTERVAL
    this._tokens = Math.min(BURST_WRITES, filled)
    this._filledAt = now
  }
}
