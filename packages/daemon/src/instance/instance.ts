/** One instance of the daemon: its parts, started and stopped in order. */
import {
  ConcurrencyLimit, MemberTable, SeededRandom,
  type Member, type Milliseconds
} from '@wasabihead/coordination'
import { EtcdKeyValueService } from '../adapters/index.js'
import { BackendFleet, BlockTransfers } from '../backends/index.js'
import { CallerServer, RequestReader } from '../callers/index.js'
import { ClaimCoordinator, ClaimPeerClient, ClaimPeerRoutes } from '../claims/index.js'
import {
  ConfigurationKeeper, ConfigurationPeerClient, ConfigurationPeerRoutes, ConfigurationRoutes
} from '../configuration/index.js'
import { MemberRoutes, MembershipLoop, MembershipPeerClient, MembershipPeerRoutes } from '../membership/index.js'
import { DrainRoutes, OperatorServer, StatusRoutes } from '../operators/index.js'
import { PeerConnections, PeerServer } from '../peers/index.js'
import { ClaimedRunner, ModelRunner, PromptPlacer, ServiceRunner, waitFor } from '../serving/index.js'
import type { Settings } from '../settings/index.js'
import { Logger, Metrics, MetricsRoutes } from '../telemetry/index.js'
import { SystemClock, type Clock } from './clock.js'
import { surviveStrayFailures } from './strayFailures.js'

const DRAIN_POLL: Milliseconds = 50

/** The addresses that an instance listens on. */
export interface InstanceAddresses {
  caller: string
  operator: string
  peer: string
}

/** One instance. */
export class Instance {
  private readonly _clock: Clock = new SystemClock()
  private readonly _logger: Logger
  private readonly _metrics = new Metrics()
  private readonly _connections = new PeerConnections()
  private readonly _configurationPeers = new ConfigurationPeerClient(this._connections)
  private readonly _fleet: BackendFleet
  private readonly _limit: ConcurrencyLimit
  private _parts: RunningParts | undefined
  private _stopping: Promise<void> | undefined

  /**
   * @param _settings checked settings
   * @param _onDrained called once an operator's drain has stopped the instance
   */
  constructor (private readonly _settings: Settings, private readonly _onDrained: () => void = () => {}) {
    this._logger = new Logger(_settings.host, _settings.logLevel)
    this._fleet = new BackendFleet(this._clock)
    this._limit = new ConcurrencyLimit(_settings.maximumRunning)
  }

  /** Keeps the process alive through failures that nobody awaits and that leave no decision half done. */
  surviveStrayFailures (): void {
    surviveStrayFailures(this._logger)
  }

  /** Starts every part; resolves when callers can be served. */
  async start (): Promise<InstanceAddresses> {
    const parts = this._assemble()
    this._parts = parts
    const { bindAddress, callerPort, operatorPort, peerPort } = this._settings
    const addresses = {
      caller: `http://${bindAddress}:${await parts.callerServer.start(bindAddress, callerPort)}`,
      operator: `http://${bindAddress}:${await parts.operatorServer.start(bindAddress, operatorPort)}`,
      peer: `http://${bindAddress}:${await parts.peerServer.start(bindAddress, peerPort)}`
    }
    parts.members.setAddresses(
      this._settings.peerAddress ?? addresses.peer, this._settings.callerAddress ?? addresses.caller, this._clock.monotonic())
    await parts.configuration.start()
    await parts.membership.start()
    this._fleet.start()
    this._logger.info('serving', { ...addresses })
    return addresses
  }

  /** Leaves without cutting a request short: tells the others, refuses new work, waits for what runs. */
  async stop (): Promise<void> {
    this._stopping ??= this._leave()
    await this._stopping
  }

  private async _leave (): Promise<void> {
    const parts = this._parts
    if (parts === undefined) return
    parts.members.updateSelf({ state: 'leaving' }, this._clock.monotonic())
    parts.callerServer.leave()
    await parts.membership.announce()
    // A request may still be arriving when the server stops listening, and claimed work outlives its caller's connection.
    await this._waitUntilIdle(parts)
    await parts.callerServer.stop()
    await this._waitUntilIdle(parts)
    parts.membership.stop()
    parts.configuration.stop()
    this._fleet.stop()
    await parts.operatorServer.stop()
    await parts.peerServer.stop()
    this._logger.info('stopped')
  }

  private async _waitUntilIdle (parts: RunningParts): Promise<void> {
    while (this._limit.running > 0 || parts.claimed.running > 0) await waitFor(DRAIN_POLL)
  }

  private _drain (): void {
    this.stop().then(this._onDrained, error => { this._logger.error('the drain failed', { problem: String(error) }) })
  }

  private _assemble (): RunningParts {
    const settings = this._settings
    const clock = this._clock
    const random = new SeededRandom(settings.seed)
    const keyValue = new EtcdKeyValueService(settings.keyValueAddress)
    const members = new MemberTable(this._ownEntry())
    const configuration = new ConfigurationKeeper(settings.environment, keyValue, clock, this._logger, stored => {
      this._fleet.configure(stored.document)
      members.updateSelf({ configurationRevision: stored.revision }, clock.monotonic())
    })
    const claims = new ClaimCoordinator(
      settings.environment, keyValue, members, new ClaimPeerClient(this._connections), clock, this._logger)
    const transfers = new BlockTransfers(this._fleet, settings.dataCentre, clock)
    const placer = new PromptPlacer(this._fleet, transfers, settings.workspaceSecret, clock, this._metrics)
    const models = new ModelRunner(placer, configuration, clock, random, this._metrics, this._logger)
    const services = new ServiceRunner(this._fleet)
    const claimed = new ClaimedRunner(members.identity, claims, models, services, clock, this._logger)
    const membershipPeers = new MembershipPeerClient(this._connections)
    const membership = new MembershipLoop(settings.environment, members, keyValue, membershipPeers, clock, random, () => {
      this._learnConfiguration(members, configuration).catch(() => {})
    })
    const reader = new RequestReader(() => configuration.document)
    return {
      members,
      configuration,
      claimed,
      membership,
      callerServer: new CallerServer({
        reader, models, services, claimed, members, limit: this._limit, clock, metrics: this._metrics, logger: this._logger
      }),
      operatorServer: new OperatorServer(settings.operatorTokenDigest, [
        new ConfigurationRoutes(configuration),
        new MemberRoutes(members),
        new MetricsRoutes(this._metrics),
        new StatusRoutes({
          environment: settings.environment,
          members,
          metrics: this._metrics,
          configurationVersion: () => configuration.state.version,
          running: () => Math.max(this._limit.running, claimed.running)
        }),
        new DrainRoutes(settings.host, () => { this._drain() })
      ]),
      peerServer: new PeerServer([
        new MembershipPeerRoutes(settings.environment, members, clock),
        new ConfigurationPeerRoutes(configuration),
        new ClaimPeerRoutes(claims)
      ])
    }
  }

  private _ownEntry (): Member {
    return {
      host: this._settings.host,
      incarnation: Math.floor(this._clock.wall()),
      version: 1,
      dataCentre: this._settings.dataCentre,
      peerAddress: '',
      callerAddress: '',
      state: 'alive',
      configurationRevision: 0
    }
  }

  /** Fetches the configuration from a peer that has a newer one. */
  private async _learnConfiguration (members: MemberTable, configuration: ConfigurationKeeper): Promise<void> {
    const { revision } = configuration.state.version
    const ahead = members.live.find(member => member.configurationRevision > revision)
    if (ahead === undefined) return
    const fetched = await this._configurationPeers.fetch(ahead.peerAddress, revision)
    if (fetched.isOk && fetched.value !== '') configuration.learn(fetched.value)
  }
}

interface RunningParts {
  members: MemberTable
  configuration: ConfigurationKeeper
  claimed: ClaimedRunner
  membership: MembershipLoop
  callerServer: CallerServer
  operatorServer: OperatorServer
  peerServer: PeerServer
}
