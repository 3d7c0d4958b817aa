/** A fleet of replayed instances over one simulated key-value service. */
import {
  configurationRecordSchema, SeededRandom, type ChangeOutcome, type ConfigurationRecord, type Member, type Milliseconds
} from '@wasabihead/coordination'
import { CONFIGURATION_KEY, createEntry, createRecord, ReplayedInstance, type ReplayedWorld } from './replayedInstance.js'
import { ReplayedNetwork } from './replayedNetwork.js'
import { SimulatedKeyValue } from './simulatedKeyValue.js'
import { VirtualTime } from './virtualTime.js'

const WATCH_POLL: Milliseconds = 50
const LONGEST_WATCH_DELAY: Milliseconds = 50
const DATA_CENTRES = 7
const FIRST_INCARNATION = 1_764_000_000_000

/** How a replay is set up. */
export interface FleetOptions {
  instances: number
  seed: number
  /** Bytes of the configuration as it is fetched. */
  configurationBytes?: number
  /** Whether every instance begins with the entries of all others, as a fleet that has run for long. */
  isSettled?: boolean
}

/** The fleet. */
export class ReplayedFleet {
  readonly time = new VirtualTime()
  readonly network: ReplayedNetwork
  readonly keyValue: SimulatedKeyValue
  readonly instances = new Map<string, ReplayedInstance>()
  /** Hosts that do not reach the key-value service. */
  readonly cutFromService = new Set<string>()
  /** Whether instances read the registrations again after their start. */
  areRegistrationsRead = true
  /** Called with each configuration that comes into force on an instance. */
  inForce: (instance: ReplayedInstance, record: ConfigurationRecord) => void = () => {}
  private readonly _random: SeededRandom
  private readonly _world: ReplayedWorld
  private _nextIncarnation = FIRST_INCARNATION
  private _toldKeyRevision = 0
  private _wasDown = false

  constructor (options: FleetOptions) {
    this._random = new SeededRandom(options.seed)
    this.network = new ReplayedNetwork(this.time, this._random)
    this.keyValue = new SimulatedKeyValue(this.time, this._random)
    this._world = {
      time: this.time,
      network: this.network,
      keyValue: this.keyValue,
      reachesService: host => !this.cutFromService.has(host),
      readRegistrations: host => this._readRegistrations(host),
      configurationBytes: options.configurationBytes ?? 0,
      inForce: (instance, record) => { this.inForce(instance, record) }
    }
    const names = Array.from({ length: options.instances }, (_, index) => index)
    const found = names.map(index => createEntry({ ...this._place(index), incarnation: FIRST_INCARNATION }))
    for (const index of names) this._add(index, FIRST_INCARNATION, options.isSettled === true ? found : found.slice(0, 1))
    this._pollKey()
  }

  /** Instances that run, frozen ones included. */
  get running (): ReplayedInstance[] {
    return [...this.instances.values()].filter(instance => instance.process.isRunning)
  }

  /** Starts an instance on a host that knows one other member, as read from the service. */
  start (index: number): ReplayedInstance {
    const peers = this.running.filter(instance => instance.self.host !== this._place(index).host)
    const found: Member[] = peers.length === 0 ? [] : [{ ...this._random.pick(peers).self, version: 0, configurationRevision: 0 }]
    this._nextIncarnation += 1
    return this._add(index, this._nextIncarnation, found)
  }

  /** Performs an operator's change at an instance. */
  apply (
    instance: ReplayedInstance, revision: number, changeToken: string, isResent: boolean,
    done: (outcome: ChangeOutcome) => void
  ): void {
    instance.apply(createRecord(revision, changeToken), isResent, done)
  }

  private _add (index: number, incarnation: number, found: Member[]): ReplayedInstance {
    const start = { ...this._place(index), incarnation, seed: this._random.integer(2 ** 31), found }
    const instance = new ReplayedInstance(this._world, start)
    this.instances.set(start.host, instance)
    instance.meet(this.instances.values())
    for (const other of this.instances.values()) other.meet([instance])
    return instance
  }

  private _readRegistrations (host: string): Member[] | undefined {
    if (!this.areRegistrationsRead || this.keyValue.faults.isDown || this.cutFromService.has(host)) return undefined
    return [...this.instances.values()].flatMap(({ registration }) => registration ?? [])
  }

  private _place (index: number): { host: string, dataCentre: string } {
    return { host: `entry-host-${index}`, dataCentre: `region-dc-${index % DATA_CENTRES}` }
  }

  /** Plays the service's side of the watches. */
  private _pollKey (): void {
    this.time.after(WATCH_POLL, () => { this._pollKey() })
    const { isDown } = this.keyValue.faults
    if (isDown && !this._wasDown) this._endWatches()
    this._wasDown = isDown
    if (isDown) return
    const entry = this.keyValue.peek(CONFIGURATION_KEY)
    if (entry === undefined || entry.revision === this._toldKeyRevision) return
    this._toldKeyRevision = entry.revision
    const record = configurationRecordSchema.parse(JSON.parse(entry.value))
    for (const instance of this.running) {
      if (!instance.isWatching || instance.isWatchSilent || this.cutFromService.has(instance.self.host)) continue
      this.time.after(this._random.next() * LONGEST_WATCH_DELAY, () => { instance.tell(record) })
    }
  }

  private _endWatches (): void {
    for (const instance of this.running) if (instance.isWatching) instance.endWatch()
  }
}
