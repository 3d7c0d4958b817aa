/** One gateway instance: creates its components, starts them and shuts them down. */
import type { Socket } from 'node:net'
import {
  CachedParts, CatalogCurrency, RetryDelays, EngineSpeeds, FleetLoads, FleetRetryBudget, FrontDirectory, GracefulStop,
  LoadingReplicas, PeerLinks, ReadSchedule, RepeatedCrashes, ReplicaHealth, ReplicaLimits, ReplicaNotices, replicaRunOf,
  SeededRandom, SentPrompts, ServiceCatalog, ServiceLinks, SharedServerPace, SoftwareVersions, StoredParts, StoreMirror,
  StreamOrigins, ColdReplicas, type CatalogChange, type DroppedCaller,
  type FrontRecord, type KeyValueService, type Milliseconds, type Replica
} from '@wasabihead/coordination'
import { CallerGuard } from '@wasabihead/http'
import { CatalogLoop, CrashRecords, FRONT_KEY_PREFIX, HOST_KEY_PREFIX, OriginRecords, Registration, VersionRecords } from '../catalog/index.js'
import { ChannelPool, splitAddress, type CallTarget } from '../channels/index.js'
import { EndpointServer, type EndpointHandler, type EndpointResponse } from '../directory/index.js'
import {
  Heartbeats, LISTING_PATH, REQUEST_ID_PARAMETER, readStoreChange, requestStreamOrigin, STREAM_ORIGIN_PATH, type PeerListing
} from '../peers/index.js'
import type { CallerProtocol, CatalogSource, ReplicaProtocol } from '../protocol/index.js'
import {
  beginPace, findOrigin, FrontServer, onEvacuationChange, RelayServer, reportColdReplicas, suspectRestart, tickPaces, WaitQueues,
  type GatewayState, type RequestServer
} from '../requests/index.js'
import { CrashVerifier, LinkProber } from '../links/index.js'
import { RolloutLoop } from '../rollout/index.js'
import { StoreCollector, StoreFollower } from '../stores/index.js'
import { DecisionLog, describeFailure, GatewayMetrics } from '../telemetry/index.js'
import type { GatewaySettings } from './gatewaySettings.js'

/** Dependencies that an adapter to a platform provides. */
export interface GatewayAdapter {
  store: KeyValueService
  catalogSource: CatalogSource
  callerProtocol: CallerProtocol
  replicaProtocol: ReplicaProtocol
  /** Handlers of the endpoints that say where to connect, by "METHOD /path". They answer from the gateway's state. */
  directoryEndpoints: (gateway: Gateway) => Map<string, EndpointHandler>
  /** Handlers of readiness checks, by "METHOD /path". They answer from the gateway's state. */
  readinessEndpoints: (gateway: Gateway) => Map<string, EndpointHandler>
}

/** Clocks that a gateway reads. */
export interface GatewayClocks {
  /** Monotonic; may stand still while the machine is suspended. */
  now: () => Milliseconds
  /** Includes the time for which the machine was suspended. */
  suspensionAwareNow: () => Milliseconds
}

/** Interval of the periodic work, which also detects pauses of the process. */
const TICK_INTERVAL: Milliseconds = 500
/** A longer gap between two ticks means that the process or its host was paused. */
const PAUSE_THRESHOLD: Milliseconds = 1_500
/** After a return of the store, instances register again one after another, so that they stay within its rate of writes. */
const REGISTRATION_SPREAD_PER_INSTANCE: Milliseconds = 15
const MAXIMUM_REGISTRATION_SPREAD: Milliseconds = 6_000
/** While stopping, how often the requests are checked. */
const STOP_CHECK_INTERVAL: Milliseconds = 50

/** Replicas that are added within this time after the first one are those of the first listings, by peers and by the store. */
const FIRST_LISTING_TIME: Milliseconds = 3_000

type ReplicaReplacement = Extract<CatalogChange, { registeredUntil: Milliseconds }>

/** One gateway instance with its servers and loops. */
export class Gateway {
  readonly state: GatewayState
  private readonly _front: FrontServer
  private readonly _relayServer: RelayServer
  private readonly _catalogLoop: CatalogLoop
  private readonly _registration: Registration
  private readonly _hostRegistration: Registration
  private readonly _crashRecords: CrashRecords
  private readonly _versionRecords: VersionRecords
  private readonly _originRecords: OriginRecords
  private readonly _heartbeats: Heartbeats
  private readonly _linkProber: LinkProber
  private readonly _crashVerifier: CrashVerifier
  private readonly _rollout: RolloutLoop
  private readonly _storeFollower: StoreFollower
  private readonly _storeCollector: StoreCollector
  private readonly _directory: EndpointServer
  private readonly _readiness: EndpointServer
  private readonly _control: EndpointServer
  private readonly _metricsServer: EndpointServer
  private _isListening = false
  private _stopping: Promise<void> | undefined
  private _tickedAt: Milliseconds = 0
  private _firstReplicaAt: Milliseconds | undefined

  constructor (
    private readonly _settings: GatewaySettings, adapter: GatewayAdapter, clocks: GatewayClocks, seed: number
  ) {
    const settings = _settings
    const { now, suspensionAwareNow } = clocks
    const self: FrontRecord = { ...settings.self, isLeaving: false, knowsSharingGroups: true }
    const { ownPrefix } = adapter.catalogSource
    const roleKey = `${ownPrefix}rollout`
    const metrics = new GatewayMetrics()
    this.state = {
      catalog: new ServiceCatalog(settings.catalog),
      // Own keys are quiet: instances send each other heartbeats, and only those that read the store follow the rollout role.
      mirror: new StoreMirror((before, after) => adapter.catalogSource.isSame(before, after), key => key.startsWith(ownPrefix)),
      readSchedule: new ReadSchedule(settings.readSchedule),
      catalogCurrency: new CatalogCurrency(settings.catalogCurrency),
      fronts: new FrontDirectory(self, settings.directory),
      loads: new FleetLoads(),
      loadingReplicas: new LoadingReplicas(),
      sentPrompts: new SentPrompts(),
      storedParts: new StoredParts(),
      health: new ReplicaHealth(),
      notices: new ReplicaNotices(),
      links: new ServiceLinks(),
      peerLinks: new PeerLinks(),
      replicaLimits: new ReplicaLimits(self.name),
      coldReplicas: new ColdReplicas(self.name),
      retryDelays: new RetryDelays(),
      waitQueues: settings.hasWaitQueue ? new WaitQueues(metrics, now) : undefined,
      serverPace: new SharedServerPace(self.name, { heartbeatInterval: settings.heartbeats.interval }),
      speeds: new EngineSpeeds(),
      cachedParts: new CachedParts(),
      retryBudget: new FleetRetryBudget(settings.retryBudget, now(), settings.isFirstRun),
      gracefulStop: new GracefulStop(settings.gracefulStop),
      crashes: new RepeatedCrashes(),
      softwareVersions: new SoftwareVersions(settings.isFirstRun),
      streamOrigins: new StreamOrigins(),
      requestStreamOrigin: async requestId => await requestStreamOrigin(requestId, this.state),
      onStreamBegan: () => { this._originRecords.write() },
      onStreamsAmbiguous: () => { this._onStreamsAmbiguous() },
      onReplicaLost: (replica, report) => { this._crashVerifier.onConnectionLost(replica, report) },
      callerGuard: new CallerGuard(settings.callers, now, dropped => { this._onCallerDropped(dropped) }),
      channels: new ChannelPool(
        settings.channels, now,
        (target, isConnected) => { this._onLink(target, isConnected) }, ({ id }) => { suspectRestart(this.state, id) }
      ),
      callerProtocol: adapter.callerProtocol,
      replicaProtocol: adapter.replicaProtocol,
      log: new DecisionLog({ host: self.name, ...settings.log }),
      metrics,
      zone: self.zone,
      oldWeights: settings.oldWeights,
      isPaceForAllServices: settings.isPaceForAllServices,
      now,
      suspensionAwareNow,
      random: new SeededRandom(seed)
    }
    this._front = new FrontServer(this.state)
    this._relayServer = new RelayServer(this.state)
    this._catalogLoop = new CatalogLoop(this.state, adapter.catalogSource, settings.catalogLoop, settings.seeds, {
      onChange: change => { this._onChange(change) },
      onStoreReturned: () => { this._onStoreReturned() }
    })
    const key = `${ownPrefix}${FRONT_KEY_PREFIX}${self.name}`
    this._registration = new Registration(this.state, adapter.store, { key, growsWithFleet: true, ...settings.registration })
    const hostKey = `${ownPrefix}${HOST_KEY_PREFIX}${self.name}`
    this._hostRegistration = new Registration(this.state, adapter.store, { key: hostKey, ...settings.hostRegistration })
    this._crashRecords = new CrashRecords(this.state, adapter.store, ownPrefix)
    this._versionRecords = new VersionRecords(this.state, adapter.store, ownPrefix)
    this._originRecords = new OriginRecords(this.state, adapter.store, ownPrefix)
    this._linkProber = new LinkProber(this.state)
    this._crashVerifier = new CrashVerifier(this.state)
    this._heartbeats = new Heartbeats(this.state, settings.heartbeats, {
      isReady: () => this.isReady,
      onPeerCatalogStatus: (news, peer) => { this._catalogLoop.onPeerStatus(news, peer) },
      rolloutEpoch: () => this._rollout.highestEpoch,
      onRolloutEpoch: epoch => { this._rollout.onEpochSeen(epoch) },
      onCatalogChange: change => { this._onChange(change) }
    }, settings.machine)
    const rollout = { roleKey, ...settings.rollout }
    this._rollout = new RolloutLoop(this.state, adapter.store, rollout, () => this._catalogLoop.ownValues, suspensionAwareNow)
    this._storeCollector = new StoreCollector(this.state, settings.storeCollector, () => this._rollout.isHolder)
    this._storeFollower = new StoreFollower(this.state, settings.storeFollower)
    this._directory = new EndpointServer(adapter.directoryEndpoints(this), this.state.callerGuard)
    this._readiness = new EndpointServer(adapter.readinessEndpoints(this), this.state.callerGuard)
    this._control = new EndpointServer(new Map<string, EndpointHandler>([
      [`GET ${LISTING_PATH}`, () => ({ status: 200, contentType: 'application/json', body: JSON.stringify(this._peerListing()) })],
      [`GET ${STREAM_ORIGIN_PATH}`, async (query: URLSearchParams) => await this._streamOrigin(query)]
    ]), this.state.callerGuard)
    this._metricsServer = new EndpointServer(new Map([
      ['GET /metrics', () => ({ status: 200, contentType: 'text/plain', body: this.state.metrics.format() })]
    ]), this.state.callerGuard)
  }

  /** Whether callers may be sent here: the instance listens, has a configuration and is not leaving. */
  get isReady (): boolean {
    return this._isListening && this._stopping === undefined && this.state.catalog.routes !== undefined
  }

  /** Logs uncaught exceptions and unhandled rejections, so that one bad input does not end the process. */
  handleUncaughtErrors (): void {
    const logFailure = (error: unknown): void => { this.state.log.warn('unhandled-failure', { detail: describeFailure(error) }) }
    process.on('uncaughtException', logFailure)
    process.on('unhandledRejection', logFailure)
  }

  /** Starts all components. Rejects if an address cannot be listened on. */
  async start (): Promise<void> {
    const { listen } = this._settings
    this._catalogLoop.start()
    await Promise.all([
      this._front.listen(...splitAddress(listen.front)),
      this._relayServer.listen(...splitAddress(this._settings.self.heartbeatAddress)),
      this._directory.listen(...splitAddress(listen.directory)),
      this._readiness.listen(...splitAddress(listen.readiness)),
      this._control.listen(...splitAddress(listen.control)),
      this._metricsServer.listen(...splitAddress(listen.metrics)),
      this._heartbeats.start(this._settings.self.heartbeatAddress)
    ])
    this._isListening = true
    if (this._stopping !== undefined) return
    this._linkProber.start()
    this._registration.start()
    this._hostRegistration.start()
    this._rollout.start()
    this._storeCollector.start()
    this._tickedAt = this.state.now()
    setInterval(() => { this._tick() }, TICK_INTERVAL)
    this.state.log.change('started', { sinceProcessStart: Math.round(process.uptime() * 1_000) })
  }

  /** Applies the settings that may change while the process runs; changes of all others take effect at its next start. */
  reload ({ seeds, retryBudget }: GatewaySettings): void {
    this._catalogLoop.seeds = seeds
    this.state.retryBudget.configure(retryBudget)
    this.state.log.change('settings-reloaded', { seeds: seeds.join(','), retryRatio: retryBudget.ratio, retryAllowance: retryBudget.allowance })
  }

  /**
   * Shuts down gracefully: peers learn at once that callers must not be sent here any more, and each request gets an answer.
   * Resolves when the process may end. Further calls change nothing.
   */
  async stop (): Promise<void> {
    this._stopping ??= this._stop()
    await this._stopping
  }

  private async _stop (): Promise<void> {
    const { gracefulStop, now } = this.state
    gracefulStop.begin(now())
    this.state.fronts.leave()
    this._heartbeats.send()
    for (const server of this._requestServers) server.disableKeepAlive()
    this._rollout.stop()
    this._storeCollector.stop()
    this.state.log.change('leaving', { running: this._running, unanswered: this._unanswered })
    this.state.log.detach('withdrawal', this._registration.withdraw())
    await new Promise<void>(resolve => {
      const timer = setInterval(() => {
        const phase = gracefulStop.phase(now())
        if (phase === 'accepting') return
        for (const server of this._requestServers) {
          server.refuseNewRequests()
          server.endLateRequests()
          server.closeIdleConnections()
        }
        if (this._unanswered > 0 && phase !== 'over') return
        clearInterval(timer)
        resolve()
      }, STOP_CHECK_INTERVAL)
    })
    this.state.log.change('stopped', { running: this._running, unanswered: this._unanswered })
    this.state.log.close()
  }

  private get _requestServers (): readonly RequestServer[] {
    return [this._front, this._relayServer]
  }

  private get _running (): number {
    return this._requestServers.reduce((sum, { running }) => sum + running, 0)
  }

  private get _unanswered (): number {
    return this._requestServers.reduce((sum, { unanswered }) => sum + unanswered, 0)
  }

  private async _streamOrigin (query: URLSearchParams): Promise<EndpointResponse> {
    const origin = await findOrigin(this.state, query.get(REQUEST_ID_PARAMETER) ?? '', readStoreChange(query))
    return origin === undefined
      ? { status: 404 }
      : { status: 200, contentType: 'application/json', body: JSON.stringify(origin) }
  }

  private _peerListing (): PeerListing {
    const { catalog, mirror, fronts, now, suspensionAwareNow } = this.state
    return {
      era: mirror.era,
      revision: mirror.revision,
      catalog: catalog.listing(suspensionAwareNow()),
      fronts: [fronts.self, ...fronts.livePeers(now())]
    }
  }

  private _tick (): void {
    const now = this.state.now()
    const gap = now - this._tickedAt
    this._tickedAt = now
    if (gap > PAUSE_THRESHOLD) {
      this.state.log.change('paused', { gap: Math.round(gap) })
      this.state.channels.closeAllIdleConnections()
    } else {
      this.state.channels.closeExpiringConnections()
    }
    this.state.loads.expire(now)
    reportColdReplicas(this.state)
    tickPaces(this.state)
    this.state.peerLinks.retain(new Set(this.state.fronts.peers.map(({ name }) => name)))
    this._crashRecords.write()
    this._versionRecords.write()
    this._originRecords.write()
    this.state.metrics.gauge('caller_memory_bytes', this.state.callerGuard.memory.held)
    this._catalogLoop.report()
    this.state.log.tick()
  }

  /** The age in milliseconds; undefined if the time is not known. */
  private _ageOf (time: Milliseconds): number | undefined {
    return Number.isFinite(time) ? Math.round(this.state.suspensionAwareNow() - time) : undefined
  }

  private _configureStores (): void {
    const services = this.state.catalog.routes?.configuration.services ?? []
    this.state.storedParts.configure(services.flatMap(({ cacheStore }) => cacheStore ?? []))
    this._storeFollower.follow()
    this.state.coldReplicas.configure(services)
  }

  /** The connection is closed; a request on it that was sent to a replica may have run. */
  private _onCallerDropped ({ address, limit, held }: DroppedCaller<Socket>): void {
    const { memory } = this.state.callerGuard
    this.state.metrics.count('dropped_callers_total', limit)
    this.state.log.decision('caller-dropped', { address, limit, held, allHeld: memory.held, connections: memory.connections })
  }

  /** Records that a connection could be opened, or not; those to stores belong to no service with replicas. */
  private _onLink ({ id }: CallTarget, isConnected: boolean): void {
    const { catalog, links, health, log, now } = this.state
    const replica = catalog.replica(id)
    if (replica === undefined) return
    const { service } = replica
    const replicas = catalog.usableReplicas(service).map(usable => usable.id)
    const change = isConnected ? links.onConnected(service, now()) : links.onConnectFailed(service, id, replicas, now())
    if (change === 'cut-off') {
      this._crashVerifier.onCutOff(service)
      log.change('service-cut-off', { service, replicas: replicas.length })
    } else if (change === 'reachable') {
      for (const usable of replicas) health.clearFailures(usable)
      for (const usable of catalog.usableReplicas(service)) beginPace(this.state, usable, 'links-returned')
      log.change('service-reachable', { service, through: id })
    }
    this._crashVerifier.onLink(replica, isConnected)
    if (isConnected) return
    suspectRestart(this.state, replica.id)
    this._linkProber.probe()
  }

  /** What this instance wrote may be gone, and its leases may belong to others. */
  private _onStoreReturned (): void {
    const { random, fronts, now } = this.state
    const spread = Math.min(MAXIMUM_REGISTRATION_SPREAD, fronts.size(now()) * REGISTRATION_SPREAD_PER_INSTANCE)
    for (const registration of [this._registration, this._hostRegistration]) registration.registerAgain(random.next() * spread)
    this._originRecords.writeAgain(random.next() * spread)
  }

  /** Streams that began before the new registration was read may be those of either run. */
  private _onReplicaReplaced ({ replica, successor, registeredUntil }: ReplicaReplacement): void {
    if (replica.softwareVersion === successor.softwareVersion) return
    const streams = this.state.streamOrigins.onReplaced(replicaRunOf(replica), registeredUntil)
    if (streams > 0) this._onStreamsAmbiguous()
    this.state.log.change('replica-upgraded', {
      replica: replica.id, before: replica.softwareVersion, softwareVersion: successor.softwareVersion, ambiguousStreams: streams
    })
  }

  /** A replica of the first listing may have served for long. */
  private _onReplicaAdded (replica: Replica): void {
    const now = this.state.suspensionAwareNow()
    this._firstReplicaAt ??= now
    if (now - this._firstReplicaAt > FIRST_LISTING_TIME) beginPace(this.state, replica, 'started')
  }

  /** The holders have to know before callers whose streams break off take them up elsewhere. */
  private _onStreamsAmbiguous (): void {
    this._heartbeats.sendStreamOrigins()
    this._originRecords.write()
  }

  private _onChange (change: CatalogChange): void {
    const { log, channels, health, cachedParts, softwareVersions, suspensionAwareNow } = this.state
    switch (change.kind) {
      case 'configuration':
        this._front.applyLimits()
        this._configureStores()
        if (change.isSharingChanged) this.state.storedParts.onSharingChanged(this.state.now())
        log.change('configuration-in-force', {
          sharing: this.state.catalog.routes?.sharing.shared, version: change.version, revision: change.revision
        })
        break
      case 'weight-version':
      case 'weight-version-dated':
        log.change(change.kind === 'weight-version' ? 'weight-version-named' : change.kind, {
          model: change.model, version: change.version, age: this._ageOf(change.announcedAfter)
        })
        break
      case 'data-centre-evacuated':
      case 'data-centre-restored':
        onEvacuationChange(this.state, change)
        break
      case 'replica-replaced':
        this._onReplicaReplaced(change)
        break
      case 'replica-added':
        this._versionRecords.write()
        this._onReplicaAdded(change.replica)
        log.change(change.kind, replicaFields(change))
        break
      case 'replica-draining':
        channels.closeIdleConnections(change.replica.id)
        log.change(change.kind, replicaFields(change))
        break
      case 'replica-removed':
        channels.closeIdleConnections(change.replica.id)
        health.forget(change.replica.id)
        cachedParts.forget(change.replica.id)
        this.state.serverPace.forget(change.replica)
        softwareVersions.onRemoved(change.replica, suspensionAwareNow())
        if (change.reason === 'restarted') this._onReplicaReplaced(change)
        this._crashVerifier.onRunEnded(change.replica)
        log.change(change.kind, { ...replicaFields(change), reason: change.reason })
    }
  }
}

function replicaFields ({ replica }: { replica: { id: string, service: string, address: string } }): { [field: string]: string } {
  return { replica: replica.id, service: replica.service, address: replica.address }
}
