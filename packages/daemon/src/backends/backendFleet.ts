/** The backend servers and stores of the configuration in force, with the recorded state of each engine. */
import {
  ReadRotation, ReplicaTable,
  type BackendServerConfiguration, type CacheStore, type ConfigurationDocument, type Milliseconds, type ModelEngine,
  type PlainService, type ReplicaState, type StoreConfiguration
} from '@wasabihead/coordination'
import { HttpCacheStore, HttpModelEngine, HttpPlainService } from '../adapters/index.js'
import type { Clock } from '../instance/clock.js'

const REFRESH_INTERVAL: Milliseconds = 500
/** Each replica costs two calls: with two refreshes a second at most 16 calls a second, about 1% of a core. */
const REPLICAS_PER_REFRESH = 4

/** A model engine replica: its configuration and client. */
export interface EngineReplica {
  configuration: BackendServerConfiguration
  engine: ModelEngine
}

/** A plain service replica: its name and client. */
export interface ServiceReplica {
  name: string
  service: PlainService
}

/** A cache store: its configuration and client. */
export interface StoreReplica {
  configuration: StoreConfiguration
  store: CacheStore
}

/** Holds the clients of the backend servers and stores, and refreshes the recorded state of the engines. */
export class BackendFleet {
  readonly replicas = new ReplicaTable()
  /** Whether a server is leaving and must get no new work; replaced when the instance is assembled. */
  isLeaving: (server: string) => boolean = () => false
  private readonly _rotation = new ReadRotation(REPLICAS_PER_REFRESH)
  private _engines = new Map<string, EngineReplica>()
  private _services = new Map<string, ServiceReplica[]>()
  private _stores: StoreReplica[] = []
  private _timer: NodeJS.Timeout | undefined

  constructor (private readonly _clock: Clock) {}

  /** The cache stores of the configuration in force. */
  get stores (): readonly StoreReplica[] {
    return this._stores
  }

  /** Replaces all servers and stores by those of a new configuration. */
  configure (document: ConfigurationDocument): void {
    this._engines = new Map(document.backendServers.map(server =>
      [server.name, { configuration: server, engine: new HttpModelEngine(server.address) }]))
    this._services = new Map(document.services.map(service =>
      [service.name, service.replicas.map(replica => ({ name: replica.name, service: new HttpPlainService(replica.address) }))]))
    this._stores = document.stores.map(store => ({ configuration: store, store: new HttpCacheStore(store.address) }))
    this.replicas.configure(document.backendServers)
    this._rotation.configure([...this._engines.keys()])
  }

  /** Starts to refresh the state of the engines periodically. */
  start (): void {
    this._timer = setTimeout(() => {
      this.refresh().catch(() => {}).finally(() => { this.start() })
    }, REFRESH_INTERVAL)
  }

  /** Stops the periodic refresh. */
  stop (): void {
    clearTimeout(this._timer)
  }

  /** The engine of a backend server; undefined if the configuration has no such server. */
  findEngine (name: string): EngineReplica | undefined {
    return this._engines.get(name)
  }

  /** The replicas of a plain service that accept new work; none if the configuration has no such service. */
  serviceReplicasOf (name: string): readonly ServiceReplica[] {
    return (this._services.get(name) ?? []).filter(replica => !this.isLeaving(replica.name))
  }

  /** Recorded states of the replicas that serve a model and accept new work. */
  replicaStatesFor (model: string): ReplicaState[] {
    return this.replicas.replicas.filter(state =>
      this._engines.get(state.name)?.configuration.model === model && !this.isLeaving(state.name))
  }

  /** Reads the load and the cache changes of the next batch of engines. */
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
    const state = this.replicas.find(name)
    if (state === undefined) return
    if (state.needsSnapshot) {
      const snapshot = await engine.readCacheSnapshot()
      if (snapshot.isOk) this.replicas.onCacheSnapshot(name, snapshot.value)
      return
    }
    const events = await engine.readCacheEvents(state.lastEventSequence)
    if (events.isOk) this.replicas.onCacheEvents(name, events.value)
  }
}
