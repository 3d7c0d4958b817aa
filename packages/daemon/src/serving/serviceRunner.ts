/** Calls plain services: once, or with retries on other replicas where the kind allows them. */
import { Result } from 'true-myth'
import { v4 as createNonce } from 'uuid'
import {
  backOffDelay, PlatformRefusedError, rankByRendezvous, RefusalError, RetryBudgets, SeededRandom, jitteredRetryAfter,
  type KeptAnswer, type Milliseconds, type PlatformError
} from '@wasabihead/coordination'
import type { BackendFleet, ServiceReplica } from '../backends/index.js'
import type { Clock } from '../instance/clock.js'
import type { Metrics } from '../telemetry/index.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import { BACK_OFF } from './retrySettings.js'
import { waitFor } from './waiting.js'

const RETRY_AFTER: Milliseconds = 1_000
/** Timeout of one attempt as a share of the time left, so that a silent connection leaves time for another replica. */
const ATTEMPT_SHARE_OF_TIME_LEFT = 1 / 3
const MINIMUM_ATTEMPT_TIMEOUT: Milliseconds = 500

/** Runs the requests of kinds that a plain service serves. */
export class ServiceRunner {
  constructor (
    private readonly _fleet: BackendFleet,
    private readonly _budgets: RetryBudgets,
    private readonly _clock: Clock,
    private readonly _random: SeededRandom,
    private readonly _metrics: Metrics
  ) {}

  /** Sends the request once, to one replica. A `PlatformRefusedError` means that it was never sent. */
  async callOnce (request: AcceptedRequest, signal: AbortSignal): Promise<Result<KeptAnswer, PlatformError>> {
    const [replica] = this._replicasFor(request)
    if (replica === undefined) {
      return Result.err(new PlatformRefusedError('The service has no replica', 'Add a replica to the document'))
    }
    return await this._call(replica, request, signal)
  }

  /**
   * Sends the request to one replica after another until one answers, the retry budget is spent or the deadline is near.
   * A durable request gets a single attempt here, since `ClaimedRunner` retries it and two layers of retries would multiply.
   */
  async callWithRetries (request: AcceptedRequest, signal: AbortSignal): Promise<Result<KeptAnswer, RefusalError>> {
    const { workspace, kind } = request
    const budget = this._budgets.onFirstAttempt(workspace.name, kind.name, this._clock.monotonic())
    if (kind.treatment === 'durable') return await this._callDurable(request, signal)
    let mayHaveRun = false
    for (const [attempt, replica] of this._replicasFor(request).entries()) {
      if (attempt > 0) {
        const delay = backOffDelay(BACK_OFF, attempt - 1, this._random.next())
        if (signal.aborted || this._timeLeft(request) <= delay || !budget.trySpend()) break
        this._metrics.count('retries', workspace.name, kind.name)
        await waitFor(delay)
      }
      const answer = await this._call(replica, request, signal, this._attemptTimeout(request))
      if (answer.isOk) return Result.ok(answer.value)
      mayHaveRun ||= !(answer.error instanceof PlatformRefusedError)
    }
    return Result.err(this._refusal(mayHaveRun))
  }

  private async _callDurable (request: AcceptedRequest, signal: AbortSignal): Promise<Result<KeptAnswer, RefusalError>> {
    const [replica] = this._replicasFor(request, createNonce())
    const answer = replica === undefined ? undefined : await this._call(replica, request, signal)
    return answer?.isOk === true ? Result.ok(answer.value) : Result.err(this._refusal(answer !== undefined))
  }

  private _refusal (mayHaveRun: boolean): RefusalError {
    return new RefusalError('service-unavailable', 503, mayHaveRun ? 'unknown' : true,
      'No replica of the service answered', 'Retry after the given delay',
      jitteredRetryAfter(RETRY_AFTER, this._random.next()))
  }

  private _timeLeft (request: AcceptedRequest): Milliseconds {
    return request.deadline - this._clock.monotonic()
  }

  private _attemptTimeout (request: AcceptedRequest): Milliseconds {
    const timeLeft = this._timeLeft(request)
    return Math.max(1, Math.min(timeLeft, Math.max(MINIMUM_ATTEMPT_TIMEOUT, timeLeft * ATTEMPT_SHARE_OF_TIME_LEFT)))
  }

  private async _call (
    replica: ServiceReplica, request: AcceptedRequest, signal: AbortSignal, timeout?: Milliseconds
  ): Promise<Result<KeptAnswer, PlatformError>> {
    const target = request.kind.target
    const path = 'service' in target ? target.path : '/'
    return await replica.service.call({
      nonce: createNonce(),
      path,
      body: request.body,
      ...(timeout === undefined ? {} : { timeout }),
      ...(request.idempotencyKey === undefined ? {} : { idempotencyKey: request.idempotencyKey })
    }, signal)
  }

  private _replicasFor (request: AcceptedRequest, placementKey = request.requestId): ServiceReplica[] {
    const target = request.kind.target
    const replicas = 'service' in target ? this._fleet.serviceReplicasOf(target.service) : []
    const order = rankByRendezvous(placementKey, replicas.map(replica => replica.name))
    return order.flatMap(name => replicas.filter(replica => replica.name === name))
  }
}
