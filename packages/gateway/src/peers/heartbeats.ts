/** Heartbeats between instances over UDP: who is alive and ready, and what each has sent to which replica. */
import dgram from 'node:dgram'
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import {
  heartbeatSchema, isRoundDue, PauseGuard, type CatalogChange, type CatalogStatus, type FrontRecord, type Heartbeat,
  type Milliseconds, type ReplicaLoad
} from '@wasabihead/coordination'
import { splitAddress } from '../channels/index.js'
import type { GatewayState } from '../requests/index.js'

/** Settings of the heartbeats. */
export interface HeartbeatSettings {
  interval: Milliseconds
}

/** What heartbeats ask and tell the instance. */
export interface HeartbeatOwner {
  /** Whether this instance takes callers now. */
  isReady (): boolean
  /** A peer told of its copy of the store. */
  onCatalogNews (news: CatalogStatus, peer: FrontRecord | undefined): void
  /** What a peer told changed a belief. */
  onCatalogChange (change: CatalogChange): void
}

/** Intervals without a round of the timer that show that the process stood still. */
const PAUSE_INTERVALS = 3
/** A larger datagram would be split on its way. */
const MAXIMUM_BYTES = 60_000
/** Address family, as look-ups name it. */
const IPV4 = 4
/** Instances named in one heartbeat. */
const NAMED_INSTANCES = 1
/** In its first rounds an instance names itself, since its peers may not know it yet. */
const ROUNDS_NAMING_SELF = 6
/** Bound on what a datagram may hold before it was deflated. */
const MAXIMUM_INFLATED_BYTES = 1_048_576

/** Sends and takes heartbeats. */
export class Heartbeats {
  // Peers have IP addresses; the usual look-up would cost more than the sending.
  private readonly _socket = dgram.createSocket({ type: 'udp4', lookup: (address, _options, done) => { done(null, address, IPV4) } })
  private readonly _pauses: PauseGuard
  private _timer: NodeJS.Timeout | undefined
  private _ticks = 0
  private _round = 0

  constructor (
    private readonly _state: GatewayState, private readonly _settings: HeartbeatSettings, private readonly _owner: HeartbeatOwner
  ) {
    const { interval } = _settings
    this._pauses = new PauseGuard({ longestGap: PAUSE_INTERVALS * interval, settling: PAUSE_INTERVALS * interval })
    this._socket.on('message', message => { this._take(message) })
    this._socket.on('error', error => { _state.log.warn('heartbeat-socket-failed', { detail: error.message }) })
  }

  /** Starts listening and sending. */
  async start (address: string): Promise<void> {
    const [host, port] = splitAddress(address)
    // A pause may begin before the first round.
    this._pauses.tick(this._state.suspensionAwareNow())
    await new Promise<void>(resolve => { this._socket.bind(port, host, resolve) })
    this._timer = setInterval(() => { this.send() }, this._settings.interval)
  }

  /** Stops sending. */
  stop (): void {
    clearInterval(this._timer)
    this._socket.close()
  }

  /** Sends one round. */
  send (): void {
    const { fronts, log, storedParts, suspensionAwareNow: suspensionAwareNow } = this._state
    const { peers } = fronts
    if (this._pauses.tick(suspensionAwareNow())) {
      log.change('heartbeats-paused')
      // A store that has restarted meanwhile may be written to again by now.
      storedParts.invalidateAll()
    }
    this._ticks += 1
    if (!isRoundDue(this._ticks, peers.length, this._isUrgent)) return
    this._round += 1
    if (peers.length === 0) return
    const message = deflateRawSync(JSON.stringify(this._heartbeat()))
    if (message.length > MAXIMUM_BYTES) {
      this._state.log.warn('heartbeat-too-large', { bytes: message.length, peers: peers.length })
      return
    }
    for (const { heartbeatAddress } of peers) {
      const [host, port] = splitAddress(heartbeatAddress)
      this._socket.send(message, port, host, () => {
        // A lost datagram shows at the receiver as silence.
      })
    }
  }

  /** A load of weights takes a fraction of a second, and a replica refuses requests meanwhile. */
  private get _isUrgent (): boolean {
    const { fronts, loadingReplicas: loadingReplicas, now } = this._state
    const orders = loadingReplicas.reportedBy(fronts.self.name, now())
    return fronts.self.isLeaving || orders.loading.length > 0 || orders.loaded.length > 0
  }

  private _heartbeat (): Heartbeat {
    const loads: Heartbeat['loads'] = {}
    for (const [id, load] of this._state.loads.local) {
      loads[id] = [load.requests, Math.round(load.prefillTokens), Math.round(load.memoryTokens)]
    }
    const { fronts, sentPrompts, storedParts, loadingReplicas: loadingReplicas, crashes, notices, replicaLimits: replicaLimits, now, suspensionAwareNow: suspensionAwareNow } = this._state
    const orders = loadingReplicas.reportedBy(fronts.self.name, now())
    return {
      from: { name: fronts.self.name, incarnation: fronts.self.incarnation, isLeaving: fronts.self.isLeaving },
      isReady: this._owner.isReady(),
      catalog: this._catalogNews(),
      namings: this._state.catalog.recentAnnouncements(suspensionAwareNow()),
      named: this._named(),
      loads,
      sent: sentPrompts.take().map(({ replicaId, salt, parts }) => (
        [replicaId, salt, parts.map(({ id, tokens }) => [id, tokens])])),
      stores: storedParts.takeUpdates(now()).map(({ events, age, ...store }) => ({
        ...store,
        age: Math.ceil(age),
        events: events.map(({ salt, partId, tokens, isAdded }) => [salt, partId, tokens, isAdded])
      })),
      fetched: storedParts.takeFetchSamples(),
      loading: orders.loading,
      loaded: [...orders.loaded],
      leaving: notices.updates(now()),
      limits: replicaLimits.updates(suspensionAwareNow()).map(({ run, rate, heardAge, sentAge }) => (
        [run, rate ?? null, Math.ceil(heardAge), Math.ceil(sentAge)])),
      crashes: crashes.updates(now())
    }
  }

  private _catalogNews (): CatalogStatus | undefined {
    const { fronts, mirror, readSchedule, now, suspensionAwareNow: suspensionAwareNow } = this._state
    const news = readSchedule.status(mirror.changedAt, suspensionAwareNow())
    if (news === undefined) return undefined
    const instances = [fronts.self.name, ...fronts.livePeers(now()).map(({ name }) => name)]
    return readSchedule.isReader(fronts.self.name, instances) ? { ...news, told: mirror.recentChanges(suspensionAwareNow()) } : news
  }

  private _named (): FrontRecord[] {
    const { fronts, random } = this._state
    if (this._round <= ROUNDS_NAMING_SELF) return [fronts.self]
    const known = [fronts.self, ...fronts.observedPeers]
    return Array.from({ length: NAMED_INSTANCES }, () => random.pick(known))
  }

  private _take (message: Buffer): void {
    const heartbeat = parseHeartbeat(message)
    if (heartbeat === undefined) {
      this._state.log.decision('heartbeat-unreadable', { bytes: message.length })
      return
    }
    const now = this._state.now()
    const suspensionAwareNow = this._state.suspensionAwareNow()
    if (this._pauses.mayBeBuffered(suspensionAwareNow)) {
      this._state.log.decision('heartbeat-waited', { from: heartbeat.from.name })
      return
    }
    this._state.fronts.receive(heartbeat, now)
    const loads = new Map<string, ReplicaLoad>()
    for (const [id, [requests, prefillTokens, memoryTokens]] of Object.entries(heartbeat.loads)) {
      loads.set(id, { requests, prefillTokens, memoryTokens })
    }
    this._state.loads.receive(heartbeat.from.name, loads, now)
    this._state.loadingReplicas.record(heartbeat.from.name, heartbeat.loading, heartbeat.loaded, now)
    for (const { replicaId, model, version } of heartbeat.loaded) {
      const replica = this._state.catalog.replica(replicaId)
      if (replica !== undefined) this._state.catalog.observeWeightVersion(replica, model, version)
    }
    for (const [replicaId, salt, parts] of heartbeat.sent) this._takeSent(replicaId, salt, parts)
    for (const { events, ...store } of heartbeat.stores) {
      this._state.storedParts.onUpdate({
        ...store, events: events.map(([salt, partId, tokens, isAdded]) => ({ salt, partId, tokens, isAdded }))
      }, now)
    }
    for (const [address, excess] of heartbeat.fetched) this._state.storedParts.onReportedFetches(address, excess, now)
    for (const run of heartbeat.leaving) {
      if (this._state.notices.receive(run, now)) this._state.log.change('replica-leaving', { run, toldBy: heartbeat.from.name })
    }
    for (const [run, rate, heardAge, sentAge] of heartbeat.limits) {
      const change = this._state.replicaLimits.receive({ run, rate: rate ?? undefined, heardAge, sentAge }, suspensionAwareNow)
      if (change !== undefined) {
        this._state.log.decision('replica-limit', { run, change, rate: rate ?? undefined, age: heardAge, toldBy: heartbeat.from.name })
      }
    }
    for (const crash of heartbeat.crashes) this._state.crashes.receive(crash, now)
    const { catalog, from, namings } = heartbeat
    for (const change of this._state.catalog.applyPeerAnnouncements(namings, suspensionAwareNow)) this._owner.onCatalogChange(change)
    if (catalog !== undefined) this._owner.onCatalogNews(catalog, this._state.fronts.peer(from.name))
  }

  private _takeSent (replicaId: string, salt: string, parts: [string, number][]): void {
    const { catalog, cachedParts } = this._state
    const replica = catalog.replica(replicaId)
    const engine = replica === undefined ? undefined : catalog.routes?.service(replica.service)?.engine
    if (engine === undefined) return
    cachedParts.onSent(replicaId, salt, parts.map(([id, tokens]) => ({ id, tokens })), engine.cacheTokens)
  }
}

function parseHeartbeat (message: Buffer): Heartbeat | undefined {
  try {
    const text = inflateRawSync(message, { maxOutputLength: MAXIMUM_INFLATED_BYTES }).toString('utf8')
    return heartbeatSchema.parse(JSON.parse(text))
  } catch {
    return undefined
  }
}
