/** Simulates a fleet of instances that share one key-value service, in virtual time. */
import {
  configurationRecordSchema, SeededRandom, type ChangeOutcome, type ConfigurationRecord, type Member, type Milliseconds
} from '@wasabihead/coordination'
import { CONFIGURATION_KEY, createEntry, createRecord, ReplayedInstance, type ReplayedWorld } from './replayedInstance.js'
import { ReplayedNetwork } from './replayedNetwork.js'
import { SimulatedKeyValue } from './simulatedKeyValue.js'
import { VirtualTime } from './virtualTime.js'

const WATCH_POLL: Milliseconds = 50
const MAXIMUM_WATCH_DELAY: Milliseconds = 50
const DATA_CENTRES = 7
const FIRST_INCARNATION = 1_764_000_000_000

/** Size, seed and initial state of a simulated fleet. */
export interface FleetOptions {
  instances: number
  seed: number
  /** Size in bytes of the configuration when one instance fetches it from another; 0 if absent. */
  configurationBytes?: number
  /**
   * Whether every instance starts with the entries of all instances, as in a fleet that has converged.
   * Otherwise each starts with the entry of the first instance alone.
   */
  isSettled?: boolean
}

/** A simulated fleet. The caller advances it through `time`. */
export class ReplayedFleet {
  readonly time = new VirtualTime()
  readonly network: ReplayedNetwork
  readonly keyValue: SimulatedKeyValue
  readonly instances = new Map<string, ReplayedInstance>()
  /** Hosts that cannot reach the key-value service. */
  readonly hostsWithoutKeyValue = new Set<string>()
  /** Whether instances can list the registrations periodically after their start. */
  areRegistrationsRead = true
  /** Called with each configuration that takes effect on an instance. */
  onInForce: (instance: ReplayedInstance, record: ConfigurationRecord) => void = () => {}
  private readonly _random: SeededRandom
  private readonly _world: ReplayedWorld
  private _nextIncarnation = FIRST_INCARNATION
  private _notifiedKeyRevision = 0
  private _wasDown = false

  constructor (options: FleetOptions) {
    this._random = new SeededRandom(options.seed)
    this.network = new ReplayedNetwork(this.time, this._random)
    this.keyValue = new SimulatedKeyValue(this.time, this._random)
    this._world = {
      time: this.time,
      network: this.network,
      keyValue: this.keyValue,
      reachesService: host => !this.hostsWithoutKeyValue.has(host),
      readRegistrations: host => this._readRegistrations(host),
      configurationBytes: options.configurationBytes ?? 0,
      onInForce: (instance, record) => { this.onInForce(instance, record) }
    }
    const indexes = Array.from({ length: options.instances }, (_, index) => index)
    const found = indexes.map(index => createEntry({ ...this._locationOf(index), incarnation: FIRST_INCARNATION }))
    for (const index of indexes) this._add(index, FIRST_INCARNATION, options.isSettled === true ? found : found.slice(0, 1))
    this._pollKey()
  }

  /** Instances that have not been killed, including frozen ones. */
  get running (): ReplayedInstance[] {
    return [...this.instances.values()].filter(instance => instance.process.isRunning)
  }

  /**
   * Starts an instance on a host, with a new incarnation and the entry of one random running instance on another host, as if
   * read from the key-value service.
   */
  start (index: number): ReplayedInstance {
    const peers = this.running.filter(instance => instance.self.host !== this._locationOf(index).host)
    const found: Member[] = peers.length === 0 ? [] : [{ ...this._random.pick(peers).self, version: 0, configurationRevision: 0 }]
    this._nextIncarnation += 1
    return this._add(index, this._nextIncarnation, found)
  }

  /** Applies an operator's configuration change through an instance. `done` is called with the outcome. */
  apply (
    instance: ReplayedInstance, revision: number, changeToken: string, isResent: boolean,
    done: (outcome: ChangeOutcome) => void
  ): void {
    instance.apply(createRecord(revision, changeToken), isResent, done)
  }

  private _add (index: number, incarnation: number, found: Member[]): ReplayedInstance {
    const start = { ...this._locationOf(index), incarnation, seed: this._random.integer(2 ** 31), found }
    const instance = new ReplayedInstance(this._world, start)
    this.instances.set(start.host, instance)
    instance.addPeers(this.instances.values())
    for (const other of this.instances.values()) other.addPeers([instance])
    return instance
  }

  private _readRegistrations (host: string): Member[] | undefined {
    if (!this.areRegistrationsRead || this.keyValue.faults.isDown || this.hostsWithoutKeyValue.has(host)) return undefined
    return [...this.instances.values()].flatMap(({ registration }) => registration ?? [])
  }

  private _locationOf (index: number): { host: string, dataCentre: string } {
    return { host: `entry-host-${index}`, dataCentre: `region-dc-${index % DATA_CENTRES}` }
  }

  /** Polls the configuration key and notifies the watching instances of changes; ends all watches when the service goes down. */
  private _pollKey (): void {
    this.time.after(WATCH_POLL, () => { this._pollKey() })
    const { isDown } = this.keyValue.faults
    if (isDown && !this._wasDown) this._endWatches()
    this._wasDown = isDown
    if (isDown) return
    const entry = this.keyValue.peek(CONFIGURATION_KEY)
    if (entry === undefined || entry.revision === this._notifiedKeyRevision) return
    this._notifiedKeyRevision = entry.revision
    const record = configurationRecordSchema.parse(JSON.parse(entry.value))
    for (const instance of this.running) {
      if (!instance.isWatching || instance.isWatchSilent || this.hostsWithoutKeyValue.has(instance.self.host)) continue
      this.time.after(this._random.next() * MAXIMUM_WATCH_DELAY, () => { instance.notifyWatch(record) })
    }
  }

  private _endWatches (): void {
    for (const instance of this.running) if (instance.isWatching) instance.endWatch()
  }
}
