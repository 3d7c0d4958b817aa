/** Replays callers, replicas and the policy between them in virtual time. */
import { SeededRandom, type Milliseconds, type RequestClass } from '@wasabihead/coordination'
import { VirtualTime } from '../../simulation/index.js'
import { SharedProcessor } from './sharedProcessor.js'

/** Maximum number of requests that all replicas together run at full speed. */
export const REPLICA_WIDTH = 64
/** Mean service time of a request at full speed. */
export const MEAN_SERVICE_TIME: Milliseconds = 1_000
const LOAD_DURATION: Milliseconds = 60_000
const SETTLING_TIME: Milliseconds = 60_000
const MAXIMUM_ATTEMPTS = 4
const TIMEOUTS: Record<RequestClass, Milliseconds> = { interactive: 4_000, normal: 8_000, batch: 30_000 }

/** One request with its outcome over all attempts. */
export interface ReplayedRequest {
  id: number
  workspace: string
  requestClass: RequestClass
  /** Service time at full speed. */
  size: Milliseconds
  sentAt: Milliseconds
  /** Time of the answer; undefined if no attempt was answered by its deadline. */
  answeredAt: Milliseconds | undefined
  attempts: number
}

/** One attempt of a request, as a policy receives it. Only the first call of `answer` or `refuse` that takes effect counts. */
export interface ReplayedAttempt {
  id: number
  request: ReplayedRequest
  deadline: Milliseconds
  /** Answers the caller; has no effect after the deadline. */
  answer: () => void
  /** Rejects the attempt; the caller retries after the given delay, up to the maximum number of attempts. */
  refuse: (retryAfter: Milliseconds) => void
}

/** Decides which attempts run on the replicas, and when. */
export abstract class OverloadPolicy {
  abstract readonly name: string
  /** Handles an attempt. `run` starts its request on the replicas and returns a function that cancels it. */
  abstract handleAttempt (attempt: ReplayedAttempt, run: (onDone: () => void) => () => void): void
}

/** Creates a policy that runs in the given virtual time. */
export type PolicyFactory = (time: VirtualTime, random: SeededRandom) => OverloadPolicy

/** Offered load: requests a second of the usual workspaces, and the size of a batch that arrives all at once. */
export interface OfferedLoad {
  requestsPerSecond: number
  batchRequests: number
}

/** Replays the load; returns every request with its outcome. */
export function replayOverload (load: OfferedLoad, createPolicy: PolicyFactory, seed: number): ReplayedRequest[] {
  return new OverloadReplay(load, createPolicy, seed).run()
}

class OverloadReplay {
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _processor = new SharedProcessor(this._time, REPLICA_WIDTH)
  private readonly _policy: OverloadPolicy
  private readonly _requests: ReplayedRequest[] = []
  private _nextAttemptId = 0

  constructor (private readonly _load: OfferedLoad, createPolicy: PolicyFactory, seed: number) {
    this._random = new SeededRandom(seed)
    this._policy = createPolicy(this._time, new SeededRandom(seed + 1))
  }

  run (): ReplayedRequest[] {
    this._scheduleArrival()
    this._time.after(LOAD_DURATION / 3, () => {
      for (let index = 0; index < this._load.batchRequests; index++) this._addRequest('flood', 'batch')
    })
    this._time.runUntil(LOAD_DURATION + SETTLING_TIME)
    return this._requests
  }

  private _scheduleArrival (): void {
    const gap = -Math.log(1 - this._random.next()) * 1_000 / this._load.requestsPerSecond
    if (this._time.now + gap > LOAD_DURATION) return
    this._time.after(gap, () => {
      this._addRequest(`workspace-${this._random.integer(8)}`, this._random.next() < 0.4 ? 'interactive' : 'normal')
      this._scheduleArrival()
    })
  }

  private _addRequest (workspace: string, requestClass: RequestClass): void {
    const size = MEAN_SERVICE_TIME * (0.5 + this._random.next())
    const id = this._requests.length
    const request = { id, workspace, requestClass, size, sentAt: this._time.now, answeredAt: undefined, attempts: 0 }
    this._requests.push(request)
    this._startAttempt(request)
  }

  private _startAttempt (request: ReplayedRequest): void {
    request.attempts += 1
    let isOver = false
    const end = (onEnd: () => void) => {
      if (isOver) return
      isOver = true
      onEnd()
    }
    const refuse = (retryAfter: Milliseconds) => {
      end(() => { if (request.attempts < MAXIMUM_ATTEMPTS) this._time.after(retryAfter, () => { this._startAttempt(request) }) })
    }
    const deadline = this._time.now + TIMEOUTS[request.requestClass]
    const answer = () => { if (this._time.now <= deadline) end(() => { request.answeredAt = this._time.now }) }
    this._policy.handleAttempt({ id: this._nextAttemptId++, request, deadline, answer, refuse },
      onDone => this._processor.start(request.size, onDone))
  }
}
