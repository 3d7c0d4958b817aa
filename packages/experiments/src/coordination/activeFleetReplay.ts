/** Replays the heartbeats, the directory and the reads of the store of a fleet of gateway instances, without a network. */
import { deflateRawSync } from 'node:zlib'
import {
  ActiveRounds, FrontDirectory, isRoundDue, ReadSchedule, SeededRandom, type FrontRecord, type Heartbeat, type Milliseconds
} from '@wasabihead/coordination'

const INTERVAL: Milliseconds = 250
const STEP: Milliseconds = 10
const READ_CHECK_INTERVAL: Milliseconds = 50
/** IP and UDP headers of a datagram. */
const HEADER_BYTES = 28
const ROUNDS_WITH_OWN_RECORD = 6
const REPLICAS = 60
const REQUEST_DURATION: Milliseconds = 1_500
const DIRECTORY = { heartbeatInterval: INTERVAL, minimumSilenceTimeout: 1_300, unconfirmedLifetime: 3_000, forgetAfter: 30_000 }
const READS = {
  readers: 2, interval: 400, peerChangesTimeout: 400, longestAge: 1_200, backOff: { firstDelay: 150, maximumDelay: 1_000 }
}
const STORE_REVISION = 1

/** A fleet to replay. */
export interface ActiveFleetOptions {
  instances: number
  seed: number
  requestsPerSecond: number
  /** Instances of a build without active sets; the others are of this one. */
  olderBuilds?: number
  /** Share of the messages between data centres that are lost. */
  lossShare?: number
}

/** One instance of the fleet. */
export class ReplayedInstance {
  readonly schedule = new ReadSchedule(READS)
  readonly rounds: ActiveRounds
  ends: { at: Milliseconds, replica: string }[] = []
  readonly reportedAt = new Map<string, Milliseconds>()
  isRunning = true
  ticks = 0
  round = 0
  sent: Heartbeat['sent'] = []

  constructor (readonly fronts: FrontDirectory, readonly phase: Milliseconds, readonly isOlder: boolean) {
    this.rounds = new ActiveRounds(fronts)
  }

  get name (): string {
    return this.fronts.self.name
  }

  /** Names of the instances that may read the store. */
  readers (now: Milliseconds): string[] {
    const live = [...this.fronts.livePeers(now).map(({ name }) => name), this.name]
    const active = live.filter(name => this.fronts.isActive(name, now))
    return active.length > 0 ? active : live
  }
}

/** Counts since the last reset. */
export interface ActiveFleetCounts {
  messages: number
  messagesBetween: number
  bytes: number
  bytesBetween: number
  reads: number
  loadAges: number
  loadSamples: number
}

/** A fleet in three data centres whose first instances have larger machines than the others. */
export class ActiveFleetReplay {
  readonly instances: ReplayedInstance[]
  now: Milliseconds = 0
  counts = noCounts()
  /** Whether messages between two data centres are lost. */
  isCut: (from: string, to: string) => boolean = () => false
  private readonly _byName = new Map<string, ReplayedInstance>()
  private readonly _random: SeededRandom

  constructor (private readonly _options: ActiveFleetOptions) {
    this._random = new SeededRandom(_options.seed)
    const records = Array.from({ length: _options.instances }, (_, index) => recordOf(index, index < 6 ? 135 : 7))
    this.instances = records.map((record, index) => {
      const isOlder = index >= _options.instances - (_options.olderBuilds ?? 0)
      const { capacity, ...older } = record
      const fronts = new FrontDirectory(isOlder ? older : record, DIRECTORY)
      // The hosts of earlier runs are known to an instance of this build only.
      if (!isOlder) fronts.applyHosts(records.map(({ name }) => name))
      return new ReplayedInstance(fronts, STEP * this._random.integer(INTERVAL / STEP), isOlder)
    })
    for (const instance of this.instances) {
      instance.fronts.applyRecords(this.instances.map(({ fronts }) => fronts.self), 0)
      instance.schedule.onRead(0)
      this._byName.set(instance.name, instance)
    }
  }

  /** The running instances. */
  get running (): ReplayedInstance[] {
    return this.instances.filter(({ isRunning }) => isRunning)
  }

  /** Runs the fleet for a time. */
  run (duration: Milliseconds): void {
    for (const end = this.now + duration; this.now < end; this.now += STEP) {
      for (const instance of this.running) {
        if (this.now % INTERVAL === instance.phase) this._tick(instance)
        if (this.now % READ_CHECK_INTERVAL === 0) this._readIfDue(instance)
      }
      if (this.now % INTERVAL === 0) this._placeRequests()
    }
  }

  /** Begins to count. */
  reset (): void {
    this.counts = noCounts()
  }

  private _tick (instance: ReplayedInstance): void {
    const { fronts, rounds } = instance
    instance.ticks += 1
    instance.ends = instance.ends.filter(({ at }) => at > this.now)
    if (!fronts.hasActiveSet) {
      if (!isRoundDue(instance.ticks, fronts.peers.length, false)) return
      instance.round += 1
      return this._send(instance, fronts.peers, this._heartbeat(instance))
    }
    fronts.adaptActive(true, 0.1, this.now)
    const sender = {
      hasLoads: instance.ends.length > 0, isUrgent: false, hasJustStarted: instance.round <= ROUNDS_WITH_OWN_RECORD
    }
    const kind = rounds.due(instance.ticks, sender, this.now)
    if (kind === undefined) return
    if (kind === 'full') instance.round += 1
    for (const { peers, heartbeat } of rounds.messages(kind, this._heartbeat(instance), sender, this.now)) {
      this._send(instance, peers, heartbeat)
    }
  }

  private _send (from: ReplayedInstance, peers: readonly FrontRecord[], heartbeat: Heartbeat): void {
    const size = deflateRawSync(JSON.stringify(heartbeat)).length + HEADER_BYTES
    const { zone } = from.fronts.self
    for (const peer of peers) {
      const isBetween = peer.zone !== zone
      this.counts.messages += 1
      this.counts.bytes += size
      if (isBetween) {
        this.counts.messagesBetween += 1
        this.counts.bytesBetween += size
        if (this.isCut(zone, peer.zone) || this._random.next() < (this._options.lossShare ?? 0)) continue
      }
      const to = this._byName.get(peer.name)
      if (to?.isRunning === true) this._receive(to, from, heartbeat)
    }
  }

  private _receive (to: ReplayedInstance, from: ReplayedInstance, heartbeat: Heartbeat): void {
    to.fronts.receive(heartbeat, this.now)
    if (!to.isOlder && heartbeat.heard !== undefined) to.fronts.receiveHeard(heartbeat.heard, this.now)
    if (heartbeat.catalog !== undefined) to.schedule.onPeerStatus(heartbeat.catalog, STORE_REVISION, this.now)
    if (Object.keys(heartbeat.loads).length > 0) to.reportedAt.set(from.name, this.now)
  }

  private _heartbeat (instance: ReplayedInstance): Heartbeat {
    const { fronts, schedule, ends, sent, round } = instance
    const { name, incarnation, isLeaving, capacity } = fronts.self
    const loads: Heartbeat['loads'] = {}
    for (const { replica } of ends) {
      const [requests, prefill, memory] = loads[replica] ?? [0, 0, 0]
      loads[replica] = [requests + 1, prefill + 731, memory + 2_417]
    }
    instance.sent = []
    return {
      from: { name, incarnation, isLeaving, ...(capacity === undefined ? {} : { capacity }) },
      isReady: true,
      catalog: schedule.status(STORE_REVISION, this.now),
      namings: [],
      named: [round <= ROUNDS_WITH_OWN_RECORD ? fronts.self : this._random.pick([fronts.self, ...fronts.observedPeers])],
      loads,
      sent,
      stores: [],
      fetched: [],
      loading: [],
      loaded: [],
      leaving: [],
      rolloutEpoch: 1,
      cutOff: [],
      active: fronts.activeReport,
      limits: [],
      crashes: [],
      answeredFeatures: [],
      crashBlocks: []
    }
  }

  private _readIfDue (instance: ReplayedInstance): void {
    const { schedule, name } = instance
    if (schedule.nextReadAt(name, instance.readers(this.now), Infinity) > this.now) return
    this.counts.reads += 1
    schedule.onRead(this.now)
  }

  /** Callers ask an instance of their data centre for addresses, and choose one at random. */
  private _placeRequests (): void {
    const running = this.running
    const byAddress = new Map(running.map(instance => [instance.fronts.self.frontAddress, instance]))
    const requests = Math.round(this._options.requestsPerSecond * INTERVAL / 1_000)
    for (let index = 0; index < requests; index++) {
      const asked = this._random.pick(running)
      const placing = byAddress.get(this._random.pick(asked.fronts.addresses(true, this.now)))
      if (placing === undefined) continue
      for (const at of placing.reportedAt.values()) {
        if (this.now - at > REQUEST_DURATION) continue
        this.counts.loadAges += this.now - at
        this.counts.loadSamples += 1
      }
      const replica = `server-${this._random.integer(REPLICAS)}`
      placing.ends.push({ at: this.now + REQUEST_DURATION, replica })
      placing.sent.push([replica, 'workspace-7', Array.from({ length: 4 }, () => (
        [this._random.integer(2 ** 32).toString(16).padStart(16, '0'), 256]))])
    }
  }
}

function noCounts (): ActiveFleetCounts {
  return { messages: 0, messagesBetween: 0, bytes: 0, bytesBetween: 0, reads: 0, loadAges: 0, loadSamples: 0 }
}

function recordOf (index: number, capacity: number): FrontRecord {
  const host = `10.0.${Math.floor(index / 250)}.${index % 250 + 1}`
  return {
    name: `host-${index}`,
    incarnation: 1_765_000_000_000 + index * 137,
    zone: `zone-${index % 3}`,
    region: 'region-1',
    frontAddress: `${host}:8080`,
    controlAddress: `${host}:8081`,
    heartbeatAddress: `${host}:9000`,
    isLeaving: false,
    capacity
  }
}
