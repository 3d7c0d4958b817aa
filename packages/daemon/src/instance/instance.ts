/** One instance of the daemon; starts and stops its components in order. */
import { SeededRandom, type Milliseconds } from '@wasabihead/coordination'
import { BackendFleet } from '../backends/index.js'
import { PeerConnections } from '../peers/index.js'
import { RequestAdmission, waitFor } from '../serving/index.js'
import type { Settings } from '../settings/index.js'
import { Logger, Metrics } from '../telemetry/index.js'
import { assembleInstance, type InstanceComponents } from './assembly.js'
import { SystemClock, type Clock } from './clock.js'
import { handleUncaughtErrors } from './uncaughtErrors.js'

const DRAIN_POLL_INTERVAL: Milliseconds = 50

/** URLs of the bound address with the ports that an instance listens on. */
export interface InstanceAddresses {
  caller: string
  operator: string
  peer: string
}

/** One instance of the daemon. An instance that was stopped cannot be started again. */
export class Instance {
  private readonly _clock: Clock = new SystemClock()
  private readonly _logger: Logger
  private readonly _metrics = new Metrics()
  private readonly _connections = new PeerConnections()
  private readonly _fleet: BackendFleet
  private readonly _admission: RequestAdmission
  private _components: InstanceComponents | undefined
  private _stopping: Promise<void> | undefined

  /**
   * @param _settings settings that have been checked
   * @param _onDrained called once an operator's drain has stopped the instance
   */
  constructor (private readonly _settings: Settings, private readonly _onDrained: () => void = () => {}) {
    this._logger = new Logger(_settings.host, _settings.logLevel)
    this._fleet = new BackendFleet(this._clock)
    this._admission = new RequestAdmission(_settings.maximumRunning, new SeededRandom(_settings.seed), this._clock)
  }

  /** Installs the handlers of `handleUncaughtErrors` with this instance's logger. */
  handleUncaughtErrors (): void {
    handleUncaughtErrors(this._logger)
  }

  /** Starts every component; resolves when callers can be served, rejects if it could not start, as when a port is taken. */
  async start (): Promise<InstanceAddresses> {
    const components = assembleInstance({
      settings: this._settings,
      clock: this._clock,
      logger: this._logger,
      metrics: this._metrics,
      connections: this._connections,
      fleet: this._fleet,
      admission: this._admission,
      drain: () => { this._drain() }
    })
    this._components = components
    const { bindAddress, callerPort, operatorPort, peerPort } = this._settings
    const addresses = {
      caller: `http://${bindAddress}:${await components.callerServer.start(bindAddress, callerPort)}`,
      operator: `http://${bindAddress}:${await components.operatorServer.start(bindAddress, operatorPort)}`,
      peer: `http://${bindAddress}:${await components.peerServer.start(bindAddress, peerPort)}`
    }
    components.members.setAddresses(
      this._settings.peerAddress ?? addresses.peer, this._settings.callerAddress ?? addresses.caller, this._clock.monotonic())
    await components.configuration.start()
    await components.membership.start()
    await components.quarantine.start()
    components.claims.start()
    this._fleet.start()
    components.orders.start()
    components.leaving.start()
    this._logger.info('serving', { ...addresses })
    return addresses
  }

  /** Stops gracefully: refuses new requests, announces to peers that this instance is leaving, and waits for pending requests. */
  async stop (): Promise<void> {
    this._stopping ??= this._leave()
    await this._stopping
  }

  private async _leave (): Promise<void> {
    const components = this._components
    if (components === undefined) return
    components.callerServer.leave()
    await components.membership.leave()
    // Requests may still arrive until the server stops listening, and claimed ones continue after their caller disconnects.
    await this._waitUntilIdle(components)
    await components.callerServer.stop()
    await this._waitUntilIdle(components)
    components.claims.stop()
    components.orders.stop()
    components.leaving.stop()
    components.quarantine.stop()
    components.membership.stop()
    components.configuration.stop()
    this._fleet.stop()
    await components.operatorServer.stop()
    await components.peerServer.stop()
    this._logger.info('stopped')
  }

  private async _waitUntilIdle (components: InstanceComponents): Promise<void> {
    while (this._admission.openRequests > 0 || components.claimed.running > 0) await waitFor(DRAIN_POLL_INTERVAL)
  }

  private _drain (): void {
    this.stop().then(this._onDrained, error => { this._logger.error('the drain failed', { problem: String(error) }) })
  }
}
