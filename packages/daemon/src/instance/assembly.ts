/** Creates the components of one instance and connects them. Each function creates the components of one feature. */
import {
  CallBudget, FLEET_RATES, HomeDirectory, MemberTable, placementHash, RetryBudgets, SeededRandom,
  type KeyValueService, type Member
} from '@wasabihead/coordination'
import { CallerGuard } from '@wasabihead/http'
import { BudgetedKeyValueService, CallAccount, EtcdKeyValueService, HttpHostList } from '../adapters/index.js'
import { BlockTransfers, type BackendFleet } from '../backends/index.js'
import { CallerServer, RequestLookup, RequestReader } from '../callers/index.js'
import { ClaimCoordinator, ClaimDirectory, ClaimPeerClient, ClaimPeerRoutes, ClaimRoutes } from '../claims/index.js'
import {
  ConfigurationController, ConfigurationPeerClient, ConfigurationPeerRoutes, ConfigurationRoutes
} from '../configuration/index.js'
import { PromptHomes, HomePeerClient, HomePeerRoutes } from '../homes/index.js'
import { LeavingLoop, LeavingPeerClient, LeavingPeerRoutes, LeavingRoutes } from '../leaving/index.js'
import { RoleLoop } from '../leases/index.js'
import { MemberRoutes, MembershipLoop, MembershipPeerClient, MembershipPeerRoutes } from '../membership/index.js'
import { DrainRoutes, OperatorServer, StatusRoutes } from '../operators/index.js'
import { OrderRoutes, OrdersLoop } from '../orders/index.js'
import { PeerServer, type PeerConnections } from '../peers/index.js'
import {
  QuarantineController, QuarantinePeerClient, QuarantinePeerRoutes, QuarantineRoutes, QuarantineStore
} from '../quarantine/index.js'
import {
  ClaimedRunner, ModelRunner, PromptPlacer, RETRY_BUDGETS, ServiceRunner, type RequestAdmission
} from '../serving/index.js'
import type { Settings } from '../settings/index.js'
import { MetricsRoutes, type Logger, type Metrics } from '../telemetry/index.js'
import type { Clock } from './clock.js'

/** What an instance has before its components are created. */
export interface AssemblyContext {
  settings: Settings
  clock: Clock
  logger: Logger
  metrics: Metrics
  connections: PeerConnections
  fleet: BackendFleet
  admission: RequestAdmission
  /** Starts the graceful stop that an operator requested. */
  drain: () => void
}

/** The components that an instance starts and stops. */
export interface InstanceComponents {
  members: MemberTable
  configuration: ConfigurationController
  claims: ClaimCoordinator
  claimed: ClaimedRunner
  membership: MembershipLoop
  orders: OrdersLoop
  leaving: LeavingLoop
  quarantine: QuarantineController
  callerServer: CallerServer
  operatorServer: OperatorServer
  peerServer: PeerServer
}

/** Of an incomplete head, trailers, or a line with a chunk's size; the parser's limit on heads is half of it. */
const MAXIMUM_OPEN_BYTES = 32_768

/** Dependencies that the features share. */
interface SharedDependencies extends AssemblyContext {
  random: SeededRandom
  guard: CallerGuard
  members: MemberTable
  calls: CallAccount
  /** The key-value service, one adapter for each priority of the shared call budget. */
  claimStore: KeyValueService
  configurationStore: KeyValueService
  membershipStore: KeyValueService
}

type ServingComponents = Pick<InstanceComponents, 'claims' | 'claimed' | 'quarantine'> & {
  models: ModelRunner
  services: ServiceRunner
  homeDirectory: HomeDirectory
}

/** Creates the components of an instance without starting any of them. */
export function assembleInstance (context: AssemblyContext): InstanceComponents {
  const shared = createSharedDependencies(context)
  const orders = createOrders(shared)
  const leaving = createLeaving(shared)
  const configuration = createConfiguration(shared, orders, () => { membership.announce() })
  const membership = createMembership(shared, configuration)
  const serving = createServing(shared, configuration)
  const components = { ...serving, members: shared.members, configuration, membership, orders, leaving }
  return {
    ...components,
    callerServer: createCallerServer(shared, components),
    operatorServer: createOperatorServer(shared, components),
    peerServer: createPeerServer(shared, components)
  }
}

function createSharedDependencies (context: AssemblyContext): SharedDependencies {
  const { settings, clock } = context
  const service = new EtcdKeyValueService(settings.keyValueAddress)
  const calls = new CallAccount(new CallBudget(FLEET_RATES, clock.monotonic()), clock)
  return {
    ...context,
    guard: createGuard(context),
    // The host is part of the seed, so that hosts with the same seed setting don't have the same jitter.
    random: new SeededRandom(placementHash(`${settings.seed}|${settings.host}`)),
    members: new MemberTable(ownEntry(settings, clock)),
    calls,
    claimStore: new BudgetedKeyValueService(service, calls, 'claims'),
    configurationStore: new BudgetedKeyValueService(service, calls, 'configuration'),
    membershipStore: new BudgetedKeyValueService(service, calls, 'membership')
  }
}

function createGuard ({ settings, clock, logger, metrics }: AssemblyContext): CallerGuard {
  const limits = {
    connection: settings.callerConnectionBytes,
    address: settings.callerAddressBytes,
    total: settings.callerMemoryBytes,
    requestsAhead: settings.callerRequestsAhead
  }
  const guard = new CallerGuard(limits, () => clock.monotonic(), ({ address, limit, held }) => {
    metrics.count('dropped-callers', 'all', limit)
    logger.warn('connection of a caller closed', { address, limit, held, allHeld: guard.memory.held })
  })
  guard.maximumOpenBytes = MAXIMUM_OPEN_BYTES
  return guard
}

function createOrders ({ settings, configurationStore, members, clock, fleet, logger }: SharedDependencies): OrdersLoop {
  const role = new RoleLoop(settings.environment, 'orders', configurationStore, members, clock)
  return new OrdersLoop(role, fleet, clock, logger)
}

function createLeaving ({ settings, connections, members, clock, random, fleet }: SharedDependencies): LeavingLoop {
  const peers = new LeavingPeerClient(connections, settings.environment)
  const leaving = new LeavingLoop(new HttpHostList(settings.hostListAddress), members, peers, clock, random)
  fleet.isLeaving = server => leaving.isLeaving(server)
  return leaving
}

function createConfiguration (shared: SharedDependencies, orders: OrdersLoop, announce: () => void): ConfigurationController {
  const { settings, configurationStore, members, connections, clock, random, logger, fleet } = shared
  return new ConfigurationController({
    environment: settings.environment,
    keyValue: configurationStore,
    members,
    peers: new ConfigurationPeerClient(connections),
    clock,
    random,
    logger,
    inForce: stored => {
      fleet.configure(stored.document)
      orders.configure(stored.document)
      members.updateSelf({ configurationRevision: stored.revision }, clock.monotonic())
      announce()
    }
  })
}

function createMembership (shared: SharedDependencies, configuration: ConfigurationController): MembershipLoop {
  const { settings, members, membershipStore, connections, clock, random, calls } = shared
  const peers = new MembershipPeerClient(connections, settings.environment)
  return new MembershipLoop(settings.environment, members, membershipStore, peers, clock, random, {
    membersChanged: count => { calls.setLiveMembers(count) },
    revisionSeen: (host, revision, askedAt) => { configuration.onRevisionSeen(host, revision, askedAt) }
  }, settings.knownPeers)
}

function createQuarantine (shared: SharedDependencies): QuarantineController {
  const { settings, configurationStore, connections, members, clock, random, logger } = shared
  return new QuarantineController({
    store: new QuarantineStore(settings.environment, configurationStore),
    peers: new QuarantinePeerClient(connections, settings.environment),
    members,
    clock,
    random,
    logger
  })
}

function createServing (shared: SharedDependencies, configuration: ConfigurationController): ServingComponents {
  const { settings, claimStore, members, connections, clock, random, logger, metrics, fleet } = shared
  const homeDirectory = new HomeDirectory()
  const homes = new PromptHomes(members, homeDirectory, new HomePeerClient(connections), clock)
  const transfers = new BlockTransfers(fleet, settings.dataCentre, clock)
  const placer = new PromptPlacer(fleet, transfers, homes, settings.workspaceSecret, clock, metrics)
  const budgets = new RetryBudgets(RETRY_BUDGETS)
  const quarantine = createQuarantine(shared)
  const models = new ModelRunner(placer, configuration, budgets, clock, random, metrics, logger, quarantine)
  const services = new ServiceRunner(fleet, budgets, clock, random, metrics)
  const claims = new ClaimCoordinator(
    settings.environment, claimStore, members, new ClaimPeerClient(connections), clock, logger)
  const claimed = new ClaimedRunner(members.identity, claims, models, services, () => configuration.document, clock, logger)
  claims.onDurableWork = claim => { claimed.resume(claim) }
  claims.hasAttempt = attemptToken => claimed.hasAttempt(attemptToken)
  return { claims, claimed, quarantine, models, services, homeDirectory }
}

function createCallerServer (
  { admission, clock, metrics, logger, members, guard }: SharedDependencies,
  { configuration, claims, claimed, models, services }: ServingComponents & Pick<InstanceComponents, 'configuration'>
): CallerServer {
  return new CallerServer({
    reader: new RequestReader(() => configuration.documentForNewWork),
    models,
    services,
    claimed,
    lookup: new RequestLookup(async (workspace, key) => await claims.find(workspace, key)),
    members,
    admission,
    clock,
    metrics,
    logger,
    guard
  })
}

function createOperatorServer (
  { settings, members, metrics, admission, claimStore, drain, fleet, guard }: SharedDependencies,
  { configuration, claims, claimed, orders, leaving, quarantine }: Omit<InstanceComponents, `${string}Server`>
): OperatorServer {
  return new OperatorServer(settings.operatorTokenDigest, [
    new ConfigurationRoutes(configuration, members),
    new MemberRoutes(members),
    new ClaimRoutes(claims, new ClaimDirectory(settings.environment, claimStore)),
    new OrderRoutes(orders),
    new LeavingRoutes(leaving),
    new QuarantineRoutes(quarantine),
    new MetricsRoutes(metrics),
    new StatusRoutes({
      environment: settings.environment,
      members,
      metrics,
      configurationVersion: () => configuration.state.version,
      running: () => Math.max(admission.openRequests, claimed.running),
      backendServers: () => fleet.replicas.replicas
    }),
    new DrainRoutes(settings.host, drain)
  ], undefined, guard)
}

function createPeerServer (
  { settings, clock }: SharedDependencies,
  { configuration, claims, membership, leaving, quarantine, homeDirectory }: ServingComponents &
  Pick<InstanceComponents, 'configuration' | 'membership' | 'leaving'>
): PeerServer {
  return new PeerServer([
    new MembershipPeerRoutes(settings.environment, membership),
    new ConfigurationPeerRoutes(configuration),
    new ClaimPeerRoutes(claims),
    new LeavingPeerRoutes(settings.environment, leaving),
    new HomePeerRoutes(homeDirectory, clock),
    new QuarantinePeerRoutes(settings.environment, quarantine)
  ])
}

function ownEntry (settings: Settings, clock: Clock): Member {
  return {
    host: settings.host,
    incarnation: Math.floor(clock.wall()),
    version: 1,
    dataCentre: settings.dataCentre,
    peerAddress: '',
    callerAddress: '',
    state: 'alive',
    configurationRevision: 0
  }
}
