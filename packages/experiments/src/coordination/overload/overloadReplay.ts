/** Replays callers, replicas and a policy between them in virtual time. */
import { SeededRandom, type Milliseconds, type RequestClass } from '@wasabihead/coordination'
import { VirtualTime } from '../../simulation/index.js'
import { SharedProcessor } from './sharedProcessor.js'

/** Requests that run at once at full speed on all replicas together. */
export const REPLICA_WIDTH = 64
/** Mean time of a request at full speed. */
export const MEAN_SERVICE: Milliseconds = 1_000
const LENGTH: Milliseconds = 60_000
const SETTLING: Milliseconds = 60_000
const MAXIMUM_TRIES = 4
const DEADLINES: Record<RequestClass, Milliseconds> = { interactive: 4_000, normal: 8_000, batch: 30_000 }

/** One request, over all its tries. */
export interface ReplayedRequest {
  id: number
  workspace: string
  requestClass: RequestClass
  size: Milliseconds
  askedAt: Milliseconds
  answeredAt: Milliseconds | undefined
  tries: number
}

/** One try, from the policy's side. */
export interface ReplayedTry {
  id: number
  request: ReplayedRequest
  deadline: Milliseconds
  answer: () => void
  /** Gives the try up; the caller comes back after the time. */
  refuse: (retryAfter: Milliseconds) => void
}

/** What stands between callers and replicas. */
export abstract class OverloadPolicy {
  abstract readonly name: string
  /** Takes a try; `run` runs its request on the replicas. */
  abstract take (attempt: ReplayedTry, run: (onDone: () => void) => () => void): void
}

/** Makes a policy that lives in the given virtual time. */
export type PolicyFactory = (time: VirtualTime, random: SeededRandom) => OverloadPolicy

/** What is offered: requests a second of the usual workspaces, and a batch that arrives at one moment. */
export interface OfferedLoad {
  requestsPerSecond: number
  batchRequests: number
}

/** Plays the load; gives every request with its outcome. */
export function replayOverload (load: OfferedLoad, createPolicy: PolicyFactory, seed: number): ReplayedRequest[] {
  return new OverloadReplay(load, createPolicy, seed).run()
}

class OverloadReplay {
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _processor = new SharedProcessor(this._time, REPLICA_WIDTH)
  private readonly _policy: OverloadPolicy
  private readonly _requests: ReplayedRequest[] = []
  private _nextTry = 0

  constructor (private readonly _load: OfferedLoad, createPolicy: PolicyFactory, seed: number) {
    this._random = new SeededRandom(seed)
    this._policy = createPolicy(this._time, new SeededRandom(seed + 1))
  }

  run (): ReplayedRequest[] {
    this._scheduleArrival()
    this._time.after(LENGTH / 3, () => {
      for (let index = 0; index < this._load.batchRequests; index++) this._ask('flood', 'batch')
    })
    this._time.runUntil(LENGTH + SETTLING)
    return this._requests
  }

  private _scheduleArrival (): void {
    const gap = -Math.log(1 - this._random.next()) * 1_000 / this._load.requestsPerSecond
    if (this._time.now + gap > LENGTH) return
    this._time.after(gap, () => {
      this._ask(`workspace-${this._random.integer(8)}`, this._random.next() < 0.4 ? 'interactive' : 'normal')
      this._scheduleArrival()
    })
  }

  private _ask (workspace: string, requestClass: RequestClass): void {
    const size = MEAN_SERVICE * (0.5 + this._random.next())
    const id = this._requests.length
    const request = { id, workspace, requestClass, size, askedAt: this._time.now, answeredAt: undefined, tries: 0 }
    this._requests.push(request)
    this._try(request)
  }

  private _try (request: ReplayedRequest): void {
    request.tries += 1
    let isOver = false
    const end = (perform: () => void) => {
      if (isOver) return
      isOver = true
      perform()
    }
    const refuse = (retryAfter: Milliseconds) => {
      end(() => { if (request.tries < MAXIMUM_TRIES) this._time.after(retryAfter, () => { this._try(request) }) })
    }
    const deadline = this._time.now + DEADLINES[request.requestClass]
    const answer = () => { if (this._time.now <= deadline) end(() => { request.answeredAt = this._time.now }) }
    this._policy.take({ id: this._nextTry++, request, deadline, answer, refuse },
      onDone => this._processor.start(request.size, onDone))
  }
}
