/** One instance of the daemon: its parts, started and stopped in order. */
import {
  ConcurrencyLimit, MemberTable, SeededRandom,
  type ClaimReply, type ClaimReport, type ClaimRequest, type InstanceIdentity, type Member, type Milliseconds
} from '@wasabihead/coordination'
import { EtcdKeyValueService } from '../adapters/index.js'
import { BackendFleet } from '../backends/index.js'
import { CallerServer, RequestReader } from '../callers/index.js'
import { ClaimCoordinator } from '../claims/index.js'
import { ConfigurationKeeper } from '../configuration/index.js'
import { MembershipLoop } from '../membership/index.js'
import { OperatorServer } from '../operators/index.js'
import { PeerClient, PeerHandlers, PeerServer } from '../peers/index.js'
import { ClaimedRunner, ModelRunner, ServiceRunner } from '../serving/index.js'
import type { Settings } from '../settings/index.js'
import { Logger, Metrics } from '../telemetry/index.js'
import { waitFor } from '../serving/waiting.js'
import { SystemClock, type Clock } from './clock.js'

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
  private readonly _peers = new PeerClient()
  private readonly _fleet: BackendFleet
  private readonly _limit: ConcurrencyLimit
  private _parts: RunningParts | undefined

  /** @param _settings checked settings */
  constructor (private readonly _settings: Settings) {
    this._logger = new Logger(_settings.host, _settings.logLevel)
    this._fleet = new BackendFleet(this._clock)
    this._limit = new ConcurrencyLimit(_settings.maximumRunning)
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
    const parts = this._parts
    if (parts === undefined) return
    parts.members.updateSelf({ state: 'leaving' }, this._clock.monotonic())
    parts.callerServer.leave()
    await parts.membership.announce()
    while (this._limit.running > 0 || parts.claimed.running > 0) await waitFor(DRAIN_POLL)
    await parts.callerServer.stop()
    parts.membership.stop()
    parts.configuration.stop()
    this._fleet.stop()
    await parts.operatorServer.stop()
    await parts.peerServer.stop()
    this._logger.info('stopped')
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
    const claims = new ClaimCoordinator(settings.environment, keyValue, members, this._peers, clock, this._logger)
    const models = new ModelRunner(
      this._fleet, configuration, settings.workspaceSecret, clock, random, this._metrics, this._logger)
    const services = new ServiceRunner(this._fleet)
    const claimed = new ClaimedRunner(members.identity, claims, models, services, clock, this._logger)
    const membership = new MembershipLoop(settings.environment, members, keyValue, this._peers, clock, random, () => {
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
      operatorServer: new OperatorServer({
        configuration, members, metrics: this._metrics, operatorTokenDigest: settings.operatorTokenDigest
      }),
      peerServer: new PeerServer(new InstancePeerHandlers(settings.environment, members, configuration, claims, clock))
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
    const fetched = await this._peers.fetchConfiguration(ahead.peerAddress, revision)
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

class InstancePeerHandlers extends PeerHandlers {
  constructor (
    private readonly _environment: string,
    private readonly _members: MemberTable,
    private readonly _configuration: ConfigurationKeeper,
    private readonly _claims: ClaimCoordinator,
    private readonly _clock: Clock
  ) {
    super()
  }

  override identity (): InstanceIdentity {
    return this._members.identity
  }

  override gossip (environment: string, members: readonly Member[]): Member[] {
    if (environment !== this._environment) return []
    for (const member of members) this._members.merge(member, this._clock.monotonic())
    return [...this._members.members]
  }

  override configurationAfter (knownRevision: number): string {
    const current = this._configuration.state.current
    return current !== undefined && current.revision > knownRevision ? JSON.stringify(current) : ''
  }

  override async claim (request: ClaimRequest): Promise<ClaimReply> {
    return await this._claims.claimHere(request)
  }

  override async reportClaim (report: ClaimReport): Promise<ClaimReply> {
    return await this._claims.reportHere(report)
  }
}
