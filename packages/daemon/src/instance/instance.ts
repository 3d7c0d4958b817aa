/** One instance of the daemon: its parts, started and stopped in order. */
import { SeededRandom, type Milliseconds } from '@wasabihead/coordination'
import { BackendFleet } from '../backends/index.js'
import { PeerConnections } from '../peers/index.js'
import { RequestAdmission, waitFor } from '../serving/index.js'
import type { Settings } from '../settings/index.js'
import { Logger, Metrics } from '../telemetry/index.js'
import { assembleInstance, type InstanceParts } from './assembly.js'
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
  private _parts: InstanceParts | undefined
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
    const parts = assembleInstance({
      settings: this._settings,
      clock: this._clock,
      logger: this._logger,
      metrics: this._metrics,
      connections: this._connections,
      fleet: this._fleet,
      admission: this._admission,
      drain: () => { this._drain() }
    })
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

  private async _waitUntilIdle (parts: InstanceParts): Promise<void> {
    while (this._admission.present > 0 || parts.claimed.running > 0) await waitFor(DRAIN_POLL)
  }

  private _drain (): void {
    this.stop().then(this._onDrained, error => { this._logger.error('the drain failed', { problem: String(error) }) })
  }
}
