/** One instance of the daemon: its parts, started and stopped in order. */
import {
  CallBudget, FLEET_RATES, HomeDirectory, MemberTable, placementHash, RetryBudgets, SeededRandom,
  type Member, type Milliseconds
} from '@wasabihead/coordination'
import { BudgetedKeyValueService, CallAccount, EtcdKeyValueService, HttpHostList } from '../adapters/index.js'
import { BackendFleet, BlockTransfers } from '../backends/index.js'
import { CallerServer, RequestLookup, RequestReader } from '../callers/index.js'
import { ClaimCoordinator, ClaimDirectory, ClaimPeerClient, ClaimPeerRoutes, ClaimRoutes } from '../claims/index.js'
import {
  ConfigurationKeeper, ConfigurationPeerClient, ConfigurationPeerRoutes, ConfigurationRoutes
} from '../configuration/index.js'
import { LeavingLoop, LeavingPeerClient, LeavingPeerRoutes, LeavingRoutes } from '../leaving/index.js'
import { RoleLoop } from '../leases/index.js'
import { HomeKeeper, HomePeerClient, HomePeerRoutes } from '../homes/index.js'
import { MemberRoutes, MembershipLoop, MembershipPeerClient, MembershipPeerRoutes } from '../membership/index.js'
import { DrainRoutes, OperatorServer, StatusRoutes } from '../operators/index.js'
import { OrderRoutes, OrdersLoop } from '../orders/index.js'
import { PeerConnections, PeerServer } from '../peers/index.js'
import { ClaimedRunner, ModelRunner, PromptPlacer, RequestAdmission, RETRY_BUDGETS, ServiceRunner, waitFor } from '../serving/index.js'
import {
  QuarantineKeeper, QuarantinePeerClient, QuarantinePeerRoutes, QuarantineRoutes, QuarantineStore
} from '../quarantine/index.js'
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
  private readonly _fleet: BackendFleet
  private readonly _admission: RequestAdmission
  private _parts: RunningParts | undefined
  private _stopping: Promise<void> | undefined

  /**
   * @param _settings checked settings
   * @param _onDrained called once an operator's drain has stopped the instance
   */
  constructor (private readonly _settings: Settings, private readonly _onDrained: () => void = () => {}) {
    this._logger = new Logger(_settings.host, _settings.logLevel)
    this._fleet = new BackendFleet(this._clock)
    this._admission = new RequestAdmission(_settings.maximumRunning, new SeededRandom(_settings.seed), this._clock)
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
    await parts.quarantine.start()
    parts.claims.start()
    this._fleet.start()
    parts.orders.start()
    parts.leaving.start()
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
    parts.callerServer.leave()
    await parts.membership.leave()
    // A request may still be arriving when the server stops listening, and claimed work outlives its caller's connection.
    await this._waitUntilIdle(parts)
    await parts.callerServer.stop()
    await this._waitUntilIdle(parts)
    parts.claims.stop()
    parts.orders.stop()
    parts.leaving.stop()
    parts.quarantine.stop()
    parts.membership.stop()
    parts.configuration.stop()
    this._fleet.stop()
    await parts.operatorServer.stop()
    await parts.peerServer.stop()
    this._logger.info('stopped')
  }

  private async _waitUntilIdle (parts: RunningParts): Promise<void> {
    while (this._admission.present > 0 || parts.claimed.running > 0) await waitFor(DRAIN_POLL)
  }

  private _drain (): void {
    this.stop().then(this._onDrained, error => { this._logger.error('the drain failed', { problem: String(error) }) })
  }

  private _assemble (): RunningParts {
    const settings = this._settings
    const clock = this._clock
    // Hosts that share a seed must still not jitter in step.
    const random = new SeededRandom(placementHash(`${settings.seed}|${settings.host}`))
    const service = new EtcdKeyValueService(settings.keyValueAddress)
    const calls = new CallAccount(new CallBudget(FLEET_RATES, clock.monotonic()), clock)
    const members = new MemberTable(this._ownEntry())
    const configuration = new ConfigurationKeeper({
      environment: settings.environment,
      keyValue: new BudgetedKeyValueService(service, calls, 'configuration'),
      members,
      peers: new ConfigurationPeerClient(this._connections),
      clock,
      random,
      logger: this._logger,
      inForce: stored => {
        this._fleet.configure(stored.document)
        orders.configure(stored.document)
        members.updateSelf({ configurationRevision: stored.revision }, clock.monotonic())
        this._parts?.membership.announce()
      }
    })
    const role = new RoleLoop(
      settings.environment, 'orders', new BudgetedKeyValueService(service, calls, 'configuration'), members, clock)
    const orders = new OrdersLoop(role, this._fleet, clock, this._logger)
    const leavingPeers = new LeavingPeerClient(this._connections, settings.environment)
    const leaving = new LeavingLoop(new HttpHostList(settings.hostListAddress), members, leavingPeers, clock, random)
    this._fleet.isLeaving = server => leaving.isLeaving(server)
    const claimStore = new BudgetedKeyValueService(service, calls, 'claims')
    const claims = new ClaimCoordinator(
      settings.environment, claimStore, members, new ClaimPeerClient(this._connections), clock, this._logger)
    const transfers = new BlockTransfers(this._fleet, settings.dataCentre, clock)
    const homeDirectory = new HomeDirectory()
    const homes = new HomeKeeper(members, homeDirectory, new HomePeerClient(this._connections), clock)
    const placer = new PromptPlacer(this._fleet, transfers, homes, settings.workspaceSecret, clock, this._metrics)
    const budgets = new RetryBudgets(RETRY_BUDGETS)
    const quarantine = new QuarantineKeeper({
      store: new QuarantineStore(settings.environment, new BudgetedKeyValueService(service, calls, 'configuration')),
      peers: new QuarantinePeerClient(this._connections, settings.environment),
      members,
      clock,
      random,
      logger: this._logger
    })
    const models = new ModelRunner(placer, configuration, budgets, clock, random, this._metrics, this._logger, quarantine)
    const services = new ServiceRunner(this._fleet, budgets, clock, random, this._metrics)
    const claimed = new ClaimedRunner(
      members.identity, claims, models, services, () => configuration.document, clock, this._logger)
    claims.onDurableWork = claim => { claimed.resume(claim) }
    claims.knowsAttempt = attemptToken => claimed.knows(attemptToken)
    const registry = new BudgetedKeyValueService(service, calls, 'membership')
    const membershipPeers = new MembershipPeerClient(this._connections, settings.environment)
    const membership = new MembershipLoop(settings.environment, members, registry, membershipPeers, clock, random, {
      membersChanged: count => { calls.setLiveMembers(count) },
      revisionSeen: (host, revision) => { configuration.seeRevision(host, revision) }
    }, settings.knownPeers)
    const reader = new RequestReader(() => configuration.documentForNewWork)
    return {
      members,
      configuration,
      claims,
      claimed,
      membership,
      orders,
      leaving,
      quarantine,
      callerServer: new CallerServer({
        reader,
        models,
        services,
        claimed,
        lookup: new RequestLookup(async (workspace, key) => await claims.find(workspace, key)),
        members,
        admission: this._admission,
        clock,
        metrics: this._metrics,
        logger: this._logger
      }),
      operatorServer: new OperatorServer(settings.operatorTokenDigest, [
        new ConfigurationRoutes(configuration, members),
        new MemberRoutes(members),
        new ClaimRoutes(claims, new ClaimDirectory(settings.environment, claimStore)),
        new OrderRoutes(orders),
        new LeavingRoutes(leaving),
        new QuarantineRoutes(quarantine),
        new MetricsRoutes(this._metrics),
        new StatusRoutes({
          environment: settings.environment,
          members,
          metrics: this._metrics,
          configurationVersion: () => configuration.state.version,
          running: () => Math.max(this._admission.present, claimed.running)
        }),
        new DrainRoutes(settings.host, () => { this._drain() })
      ]),
      peerServer: new PeerServer([
        new MembershipPeerRoutes(settings.environment, membership),
        new ConfigurationPeerRoutes(configuration),
        new ClaimPeerRoutes(claims),
        new LeavingPeerRoutes(settings.environment, leaving),
        new HomePeerRoutes(homeDirectory, clock),
        new QuarantinePeerRoutes(settings.environment, quarantine)
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
}

interface RunningParts {
  members: MemberTable
  configuration: ConfigurationKeeper
  claims: ClaimCoordinator
  claimed: ClaimedRunner
  membership: MembershipLoop
  orders: OrdersLoop
  leaving: LeavingLoop
  quarantine: QuarantineKeeper
  callerServer: CallerServer
  operatorServer: OperatorServer
  peerServer: PeerServer
}
