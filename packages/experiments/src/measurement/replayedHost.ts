/** One instance in the replay: its beliefs about the replicas, fed late and with gaps. */
import {
  BlockValues, ExportQueue, ImportTable, LinkEstimates, ReplicaTable,
  type Milliseconds, type SeededRandom
} from '@wasabihead/coordination'
import type { VirtualTime } from '../simulation/index.js'
import type { EngineModel } from './engineModel.js'

const SHORTEST_LAG: Milliseconds = 200
const LONGEST_LAG: Milliseconds = 1_200
const REPORT_INTERVAL: Milliseconds = 500
const LOST_BATCH_SHARE = 0.02
const MAXIMUM_EXPORTS = 1_000
const MAXIMUM_BLOCKS = 50_000
const MAXIMUM_WORKSPACES = 500

/** Beliefs of one instance. */
export class ReplayedHost {
  isLost = false
  readonly replicas = new ReplicaTable()
  readonly links = new LinkEstimates()
  readonly imports = new ImportTable()
  readonly exports = new ExportQueue(MAXIMUM_EXPORTS)
  readonly values = new BlockValues(MAXIMUM_BLOCKS, MAXIMUM_WORKSPACES)
  private readonly _waiting = new Set<string>()

  constructor (private readonly _time: VirtualTime, private readonly _random: SeededRandom) {}

  /** Plans a read of the engine's news, unless one is planned; what is read then arrives after a lag. */
  onEngineChanged (engine: EngineModel): void {
    if (this._waiting.has(engine.name)) return
    this._waiting.add(engine.name)
    this._time.after(REPORT_INTERVAL * this._random.next(), () => {
      this._waiting.delete(engine.name)
      this._read(engine)
    })
  }

  private _read (engine: EngineModel): void {
    const belief = this.replicas.find(engine.name)
    if (engine.isLost || belief === undefined) return
    const { incarnation, eventSequence: lastSequence } = engine
    const report = engine.report()
    const snapshot = belief.needsSnapshot ? { incarnation, sequence: lastSequence, blockKeys: engine.blockKeys } : undefined
    const isBatchLost = this._random.next() < LOST_BATCH_SHARE
    const events = isBatchLost ? [] : engine.eventsAfter(belief.lastEventSequence)
    this._time.after(SHORTEST_LAG + (LONGEST_LAG - SHORTEST_LAG) * this._random.next(), () => {
      if (engine.isLost) return
      this.replicas.onLoadReport(engine.name, report, this._time.now)
      if (snapshot !== undefined) this.replicas.onCacheSnapshot(engine.name, snapshot)
      else this.replicas.onCacheEvents(engine.name, { incarnation, events, lastSequence })
      if (this.replicas.find(engine.name)?.needsSnapshot === true) this.onEngineChanged(engine)
    })
  }
}
