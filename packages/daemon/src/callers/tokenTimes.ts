/** Measures the time between the tokens of one answer. */
import type { Milliseconds } from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { AcceptedRequest } from '../serving/index.js'
import type { Metrics } from '../telemetry/index.js'

/** Records the time from each token to the next, as the measure `between-tokens`. */
export class TokenTimes {
  private _lastAt: Milliseconds | undefined

  constructor (
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _request: AcceptedRequest
  ) {}

  /** Called when a token is sent to the caller. */
  onToken (): void {
    const now = this._clock.monotonic()
    if (this._lastAt !== undefined) {
      this._metrics.time('between-tokens', this._request.workspace.name, this._request.kind.name, now - this._lastAt)
    }
    this._lastAt = now
  }
}
