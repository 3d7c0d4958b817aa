/** Replays a trace through the decision code of one policy in virtual time. */
import { performance } from 'node:perf_hooks'
import {
  firstByRendezvous, SeededRandom,
  type Milliseconds, type PlacementRequest
} from '@wasabihead/coordination'
import { VirtualTime } from '../simulation/index.js'
import { EngineModel } from './engineModel.js'
import { Explanation } from './explanation.js'
import { FAULT_DURATION, SLOW_LINK_SPEED, type ReplayFault } from './faults.js'
import type { MeasuredPolicy } from './measuredPolicy.js'
import { ReplayedHost } from './replayedHost.js'
import { StoreModel } from './storeModel.js'
import type { TraceRequest } from './trace.js'
import type { Transfers } from './transfers.js'
import type { Workload } from './workload.js'

/** Share of requests that come to a host other than the prompt's home, by an old answer. */
const OLD_ANSWER_SHARE = 0.2
const LOOK_UP_TIME: Milliseconds = 2
const NO_REPLICA_DELAY: Milliseconds = 500
const LONGEST_DRAIN: Milliseconds = 3_600_000

/** What a replay counted, after its warm-up. */
export interface ReplayCounts {
  firstTokenTimes: Milliseconds[]
  /** Those of prompts that came before. */
  returningFirstTokenTimes: Milliseconds[]
  promptTokens: number
  recomputedTokens: number
  /** Processor time of each decision, in microseconds. */
  decisionTimes: number[]
  linkBytes: Array<{ link: string, importedBytes: number, exportedBytes: number }>
  /** Requests cut by a lost replica and run again. */
  repeated: number
  unanswered: number
  /** Share of the replicas' time that went into prefill, the warm-up included. */
  utilisation: number
}

/** One replay. */
export class Replay {
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _engines: EngineModel[]
  private readonly _stores: StoreModel[]
  private readonly _hosts: ReplayedHost[]
  private readonly _counts: ReplayCounts = {
    firstTokenTimes: [],
    returningFirstTokenTimes: [],
    promptTokens: 0,
    recomputedTokens: 0,
    decisionTimes: [],
    linkBytes: [],
    repeated: 0,
    unanswered: 0,
    utilisation: 0
  }

  /** Causes of times and recomputed tokens. */
  readonly explanation: Explanation
  private readonly _transfers: Transfers
  private _weightVersion = 1

  constructor (
    private readonly _workload: Workload,
    private readonly _trace: readonly TraceRequest[],
    private readonly _policy: MeasuredPolicy,
    private readonly _fault: ReplayFault,
    seed: number
  ) {
    this._random = new SeededRandom(seed + 1)
    this._engines = Array.from({ length: _workload.replicas }, (_, index) => new EngineModel(`engine-${index}`,
      `data-centre-${index % _workload.dataCentres}`, this._time, _workload.engineCacheBlocks, _workload.blockTokens,
      _workload.prefillTokensPerSecond))
    this._stores = Array.from({ length: _workload.stores }, (_, index) =>
      new StoreModel(`store-${index}`, this._time, _workload))
    this._hosts = Array.from({ length: _workload.hosts }, (_, index) =>
      new ReplayedHost(this._time, new SeededRandom(seed + 100 + index)))
    this._transfers = _policy.createTransfers({
      time: this._time, workload: _workload, engines: this._engines, stores: this._stores
    })
    this.explanation = new Explanation(this._engines, this._stores, _workload.blockTokens)
    this._connect()
  }

  /** Runs the whole trace and gives what was counted. */
  run (): ReplayCounts {
    this._scheduleFault()
    this._scheduleArrival(0)
    this._time.runUntil(this._workload.duration + LONGEST_DRAIN)
    this._counts.linkBytes = this._stores.map(({ name, importedBytes, exportedBytes }) =>
      ({ link: name, importedBytes, exportedBytes }))
    this._counts.unanswered = this._trace.filter(({ at }) => at >= this._workload.warmUp).length -
      this._counts.firstTokenTimes.length
    this._counts.utilisation = this._engines.reduce((sum, { busyTime }) => sum + busyTime, 0) /
      (this._engines.length * this._workload.duration)
    return this._counts
  }

  private _connect (): void {
    const links = this._stores.map(({ name }) => ({ name, bytesPerSecond: this._workload.linkBytesPerSecond }))
    for (const host of this._hosts) {
      host.replicas.configure(this._engines)
      host.links.configure(links)
    }
    for (const engine of this._engines) {
      engine.onChanged = () => { for (const host of this._hosts) host.onEngineChanged(engine) }
      engine.onChanged()
    }
  }

  private _scheduleArrival (index: number): void {
    const request = this._trace[index]
    if (request === undefined) return
    this._time.after(request.at - this._time.now, () => {
      this._scheduleArrival(index + 1)
      this._serve(request)
    })
  }

  private _serve (request: TraceRequest): void {
    const host = this._hostFor(request)
    const blockKeys = request.blockKeys.map(blockKey => `v${this._weightVersion}-${blockKey}`)
    this._time.after(LOOK_UP_TIME, () => { this._place(host, { ...request, blockKeys }) })
  }

  private _hostFor (request: TraceRequest): ReplayedHost {
    const live = this._hosts.filter(host => !host.isLost)
    if (this._random.next() < OLD_ANSWER_SHARE) return this._random.pick(live)
    const home = firstByRendezvous(request.prompt, live.map(host => String(this._hosts.indexOf(host))))
    return this._hosts[Number(home)] as ReplayedHost
  }

  private _place (host: ReplayedHost, request: TraceRequest): void {
    const placementRequest = this._toPlacementRequest(host, request)
    const beliefs = host.replicas.replicas.filter(({ acceptsWork }) => acceptsWork)
    const startedAt = performance.now()
    const placement = this._policy.place(placementRequest, beliefs, this._time.now)
    this._counts.decisionTimes.push((performance.now() - startedAt) * 1_000)
    const engine = this._engines.find(({ name }) => name === placement?.replica)
    if (placement === undefined || engine === undefined) {
      return this._time.after(NO_REPLICA_DELAY, () => { this._place(host, request) })
    }
    const readyBlocks = placement.reusedBlocks + placement.importBlockKeys.length
    const computedTokens = Math.max(0, request.promptTokens - readyBlocks * this._workload.blockTokens)
    host.replicas.onDispatched(engine.name, request.promptTokens, computedTokens, request.blockKeys, this._time.now)
    this._transfers.importBlocks(host, engine, placement, () => { this._dispatch(host, engine, request) })
  }

  private _toPlacementRequest (host: ReplayedHost, request: TraceRequest): PlacementRequest {
    const workload = this._workload
    const linksOfBlocks = new Map<string, string[]>()
    for (const blockKey of this._policy.usesStores ? request.blockKeys : []) {
      const links = this._stores.filter(store => store.holds(blockKey)).map(({ name }) => name)
      if (links.length > 0) linksOfBlocks.set(blockKey, links)
    }
    return {
      promptTokens: request.promptTokens,
      blockKeys: request.blockKeys,
      blockTokens: workload.blockTokens,
      blockBytes: workload.blockBytes,
      prefillTokensPerSecond: workload.prefillTokensPerSecond,
      storedBlockKeys: new Set(linksOfBlocks.keys()),
      linkBytesPerSecond: workload.linkBytesPerSecond,
      linksOfBlocks,
      links: host.links,
      imports: host.imports,
      recomputeWeight: workload.recomputeWeight
    }
  }

  private _dispatch (host: ReplayedHost, engine: EngineModel, request: TraceRequest): void {
    if (engine.isLost) return this._repeat(host, engine, request)
    const enqueuedAt = this._time.now
    const isCounted = request.at >= this._workload.warmUp
    engine.enqueue({
      request,
      onPrefillStarted: heldBlocks => { this.explanation.onPrefillStarted(request, engine, heldBlocks, isCounted) },
      onFirstToken: (recomputedTokens, computing) => {
        this._countFirstToken(request, recomputedTokens)
        this.explanation.onFirstToken(request, {
          total: this._time.now - request.at,
          importing: enqueuedAt - request.at,
          queued: this._time.now - enqueuedAt - computing,
          computing,
          isReturn: request.isReturn,
          priority: request.priority
        }, isCounted)
      },
      onFinished: () => {
        host.replicas.onFinished(engine.name, request.blockKeys, this._time.now)
        this._transfers.exportBlocks(host, engine, request)
      },
      onCut: () => { this._repeat(host, engine, request) }
    })
  }

  private _repeat (host: ReplayedHost, engine: EngineModel, request: TraceRequest): void {
    this._counts.repeated += 1
    host.replicas.onFinished(engine.name, request.blockKeys, this._time.now)
    host.replicas.onFailed(engine.name)
    const next = host.isLost ? this._hostFor(request) : host
    this._time.after(LOOK_UP_TIME, () => { this._place(next, request) })
  }

  private _countFirstToken (request: TraceRequest, recomputedTokens: number): void {
    if (request.at < this._workload.warmUp) return
    this._counts.firstTokenTimes.push(this._time.now - request.at)
    if (request.isReturn) this._counts.returningFirstTokenTimes.push(this._time.now - request.at)
    this._counts.promptTokens += request.promptTokens
    this._counts.recomputedTokens += recomputedTokens
  }

  private _scheduleFault (): void {
    const at = this._workload.duration / 3
    const [engine] = this._engines
    const [store] = this._stores
    const [host] = this._hosts
    if (engine === undefined || store === undefined || host === undefined) return
    const begin = (): void => {
      if (this._fault === 'replica-lost') this._loseEngine(engine)
      if (this._fault === 'store-lost') store.lose()
      if (this._fault === 'host-lost') host.isLost = true
      if (this._fault === 'slow-link') store.linkSpeed = SLOW_LINK_SPEED
      if (this._fault === 'weight-swap') this._weightVersion += 1
    }
    const end = (): void => {
      engine.isLost = false
      if (this._fault === 'replica-lost') engine.onChanged()
      store.isLost = false
      store.linkSpeed = 1
    }
    this._time.after(at, begin)
    this._time.after(at + FAULT_DURATION, end)
  }

  private _loseEngine (engine: EngineModel): void {
    engine.isLost = true
    for (const task of engine.restart()) task.onCut()
  }
}
