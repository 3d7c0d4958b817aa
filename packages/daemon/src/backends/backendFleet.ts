/** The backend servers and stores of the configuration in force, with what is believed about each engine. */
import {
  ReadRotation, ReplicaTable,
  type BackendServerConfiguration, type CacheStore, type ConfigurationDocument, type Milliseconds, type ModelEngine,
  type PlainService, type ReplicaState, type StoreConfiguration
} from '@wasabihead/coordination'
import { HttpCacheStore, HttpModelEngine, HttpPlainService } from '../adapters/index.js'
import type { Clock } from '../instance/clock.js'

const REFRESH_INTERVAL: Milliseconds = 500
/** Two calls for each replica and two turns a second: at most 16 calls a second, about 1% of a core. */
const REPLICAS_PER_REFRESH = 4

/** A model engine replica with its configuration. */
export interface EngineReplica {
  configuration: BackendServerConfiguration
  engine: ModelEngine
}

/** A plain service replica. */
export interface ServiceReplica {
  name: string
  service: PlainService
}

/** A cache store with its configuration. */
export interface StoreReplica {
  configuration: StoreConfiguration
  store: CacheStore
}

/** Knows the backend servers, and refreshes the beliefs about them. */
export class BackendFleet {
  readonly replicas = new ReplicaTable()
  /** Whether a server is leaving and must be given no new work. */
  isLeaving: (server: string) => boolean = () => false
  private readonly _rotation = new ReadRotation(REPLICAS_PER_REFRESH)
  private _engines = new Map<string, EngineReplica>()
  private _services = new Map<string, ServiceReplica[]>()
  private _stores: StoreReplica[] = []
  private _timer: NodeJS.Timeout | undefined

  constructor (private readonly _clock: Clock) {}

  /** The cache stores. */
  get stores (): readonly StoreReplica[] {
    return this._stores
  }

  /** Takes the servers of a new configuration. */
  configure (document: ConfigurationDocument): void {
    this._engines = new Map(document.backendServers.map(server =>
      [server.name, { configuration: server, engine: new HttpModelEngine(server.address) }]))
    this._services = new Map(document.services.map(service =>
      [service.name, service.replicas.map(replica => ({ name: replica.name, service: new HttpPlainService(replica.address) }))]))
    this._stores = document.stores.map(store => ({ configuration: store, store: new HttpCacheStore(store.address) }))
    this.replicas.configure(document.backendServers)
    this._rotation.configure([...this._engines.keys()])
  }

  /** Begins to refresh the beliefs. */
  start (): void {
    this._timer = setTimeout(() => {
      this.refresh().catch(() => {}).finally(() => { this.start() })
    }, REFRESH_INTERVAL)
  }

  /** Ends the refreshing. */
  stop (): void {
    clearTimeout(this._timer)
  }

  /** An engine by the name of its server. */
  findEngine (name: string): EngineReplica | undefined {
    return this._engines.get(name)
  }

  /** The replicas of a plain service that may be given new work. */
  servicesOf (name: string): readonly ServiceReplica[] {
    return (this._services.get(name) ?? []).filter(replica => !this.isLeaving(replica.name))
  }

  /** Beliefs about the replicas that serve a model and may be given new work. */
  beliefsFor (model: string): ReplicaState[] {
    return this.replicas.replicas.filter(belief =>
      this._engines.get(belief.name)?.configuration.model === model && !this.isLeaving(belief.name))
  }

  /** Reads load and cache news of the engines whose turn it is. */
  async refresh (): Promise<void> {
    await Promise.all(this._rotation.takeBatch().map(async name => {
      const engine = this._engines.get(name)?.engine
      if (engine !== undefined) await this._refreshOne(name, engine)
    }))
  }

  private async _refreshOne (name: string, engine: ModelEngine): Promise<void> {
    const load = await engine.readLoad()
    if (load.isErr) return this.replicas.onFailed(name)
    this.replicas.onLoadReport(name, load.value, this._clock.monotonic())
    const belief = this.replicas.find(name)
    if (belief === undefined) return
    if (belief.needsSnapshot) {
      const snapshot = await engine.readCacheSnapshot()
      if (snapshot.isOk) this.replicas.onCacheSnapshot(name, snapshot.value)
      return
    }
    const events = await engine.readCacheEvents(belief.lastEventSequence)
    if (events.isOk) this.replicas.onCacheEvents(name, events.value)
  }
}
