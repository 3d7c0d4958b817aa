/** How blocks move between engines and stores in a replay. */
import { storeForBlock, type Milliseconds, type Placement } from '@wasabihead/coordination'
import type { VirtualTime } from '../simulation/index.js'
import type { EngineModel } from './engineModel.js'
import type { ReplayedHost } from './replayedHost.js'
import type { StoreModel } from './storeModel.js'
import type { TraceRequest } from './trace.js'
import type { Workload } from './workload.js'

const MILLISECONDS_PER_SECOND: Milliseconds = 1_000

/** What the transfers of a replay work on. */
export interface TransferFleet {
  time: VirtualTime
  workload: Workload
  engines: readonly EngineModel[]
  stores: readonly StoreModel[]
}

/** Moves blocks. */
export abstract class Transfers {
  constructor (protected readonly _fleet: TransferFleet) {}

  /** Imports what the placement chose, then calls back; a block that cannot be read is a miss. */
  abstract importBlocks (host: ReplayedHost, engine: EngineModel, placement: Placement, done: () => void): void

  /** Exports the blocks of a request that has ended. */
  abstract exportBlocks (host: ReplayedHost, engine: EngineModel, request: TraceRequest): void
}

/** Moves no blocks: for baselines without stores. */
export class NoTransfers extends Transfers {
  override importBlocks (_host: ReplayedHost, _engine: EngineModel, _placement: Placement, done: () => void): void {
    done()
  }

  override exportBlocks (): void {}
}

/** One block after the other, and all exports to the first store. */
export class FirstVersionTransfers extends Transfers {
  override importBlocks (_host: ReplayedHost, engine: EngineModel, placement: Placement, done: () => void): void {
    const importNext = (index: number): void => {
      const blockKey = placement.importBlockKeys[index]
      const store = this._fleet.stores.find(candidate => blockKey !== undefined && candidate.holds(blockKey))
      if (blockKey === undefined || store === undefined) return done()
      store.read(blockKey, isRead => {
        if (!isRead) return done()
        engine.hold([blockKey])
        importNext(index + 1)
      })
    }
    importNext(0)
  }

  override exportBlocks (_host: ReplayedHost, engine: EngineModel, request: TraceRequest): void {
    const [store] = this._fleet.stores
    const missing = request.blockKeys.filter(blockKey => !this._fleet.stores.some(candidate => candidate.holds(blockKey)))
    const exportNext = (index: number): void => {
      const blockKey = missing[index]
      if (blockKey === undefined || store === undefined || store.isLost || !engine.holds(blockKey)) return
      store.write(blockKey, () => { exportNext(index + 1) })
    }
    exportNext(0)
  }
}

/** All imports of a prompt at once, one for each block and replica; exports by value over quiet links. */
export class TieredTransfers extends Transfers {
  private readonly _waiting = new Map<ReplayedHost, Map<string, Array<() => void>>>()

  override importBlocks (host: ReplayedHost, engine: EngineModel, placement: Placement, done: () => void): void {
    const imports = placement.imports ?? []
    let left = imports.length
    if (left === 0) return done()
    const onEnded = (): void => {
      left -= 1
      if (left === 0) done()
    }
    for (const { blockKey, link } of imports) this._importOne(host, engine, blockKey, link, onEnded)
  }

  override exportBlocks (host: ReplayedHost, engine: EngineModel, request: TraceRequest): void {
    const { workload, time } = this._fleet
    host.values.onUsed(request.workspace, request.blockKeys)
    const recomputeTime = workload.blockTokens / workload.prefillTokensPerSecond * MILLISECONDS_PER_SECOND
    const missing = request.blockKeys.filter(blockKey => !this._fleet.stores.some(store => store.holds(blockKey)))
    host.exports.add(missing.flatMap(blockKey => {
      const link = storeForBlock(blockKey, this._fleet.stores.filter(store => !store.isLost).map(({ name }) => name))
      if (link === undefined) return []
      const value = host.values.valueOf(request.workspace, blockKey, recomputeTime, workload.blockBytes)
      return [{ blockKey, replica: engine.name, link, sizeBytes: workload.blockBytes, value }]
    }), time.now)
    this._exportNext(host)
  }

  private _importOne (host: ReplayedHost, engine: EngineModel, blockKey: string, link: string, onEnded: () => void): void {
    const { time, workload, stores } = this._fleet
    const key = `${engine.name} ${blockKey}`
    const waitingOfHost = this._waitingOf(host)
    const predictedEnd = time.now + host.links.predict(link, workload.blockBytes, time.now)
    if (!host.imports.begin(engine.name, blockKey, predictedEnd, time.now)) {
      waitingOfHost.get(key)?.push(onEnded)
      return
    }
    waitingOfHost.set(key, [onEnded])
    const transfer = host.links.onStarted(link, workload.blockBytes, time.now)
    const { incarnation } = engine
    stores.find(({ name }) => name === link)?.read(blockKey, isRead => {
      if (isRead) host.links.onFinished(transfer, time.now)
      else host.links.onRefused(transfer)
      host.imports.end(engine.name, blockKey)
      if (isRead && engine.incarnation === incarnation) engine.hold([blockKey])
      const waiting = waitingOfHost.get(key) ?? []
      waitingOfHost.delete(key)
      for (const ended of waiting) ended()
      this._exportNext(host)
    })
  }

  private _waitingOf (host: ReplayedHost): Map<string, Array<() => void>> {
    const known = this._waiting.get(host)
    if (known !== undefined) return known
    const created = new Map<string, Array<() => void>>()
    this._waiting.set(host, created)
    return created
  }

  private _exportNext (host: ReplayedHost): void {
    for (const store of this._fleet.stores) this._exportTo(host, store)
  }

  private _exportTo (host: ReplayedHost, store: StoreModel): void {
    const { time, engines, workload } = this._fleet
    for (;;) {
      const next = host.exports.next(store.name, host.links, time.now)
      if (next === undefined) return
      const engine = engines.find(({ name }) => name === next.replica)
      if (store.isLost || store.holds(next.blockKey) || engine?.holds(next.blockKey) !== true) continue
      const transfer = host.links.onStarted(store.name, workload.blockBytes, time.now)
      store.write(next.blockKey, () => {
        host.links.onFinished(transfer, time.now)
        this._exportTo(host, store)
      })
    }
  }
}
