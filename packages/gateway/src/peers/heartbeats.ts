/** Heartbeats between instances over UDP: liveness and readiness, and the load that each instance puts on each replica. */
import dgram from 'node:dgram'
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import {
  ActiveRounds, heartbeatSchema, isRoundDue, MESSAGE_DELAY_MARGIN, PauseGuard, streamOriginsMessageSchema, type CatalogChange,
  type CatalogStatus, type FrontRecord, type Heartbeat, type MachineSize, type Milliseconds, type ReplicaLoad,
  type StreamOriginsMessage
} from '@wasabihead/coordination'
import { splitAddress } from '../channels/index.js'
import {
  beginPace, connectedInstances, encodeColdUpdates, paceUpdates, receiveColdUpdates, receivePaces, type GatewayState
} from '../requests/index.js'
import { MachineUsage } from './machineUsage.js'

/** Settings of the heartbeats. */
export interface HeartbeatSettings {
  /** With many peers a round is sent only every few intervals; see `isRoundDue`. */
  interval: Milliseconds
}

/** Callbacks to the instance that sends and receives heartbeats. */
export interface HeartbeatCallbacks {
  /** Whether this instance accepts callers' requests now. */
  isReady (): boolean
  /**
   * A heartbeat had the status of its sender's copy of the store.
   * @param peer the sender's record; undefined if this instance does not know it
   */
  onPeerCatalogStatus (status: CatalogStatus, peer: FrontRecord | undefined): void
  /** The highest epoch of the rollout role that this instance knows of. */
  rolloutEpoch (): number
  /** A peer knows of this epoch of the rollout role. */
  onRolloutEpoch (epoch: number): void
  /** A weight version that a peer announced changed the catalog. */
  onCatalogChange (change: CatalogChange): void
}

/** Intervals without a run of the timer after which the process counts as having been paused. */
const PAUSE_INTERVALS = 3
/** Peers that relay requests should soon stop to use an instance that is cut off itself. */
const URGENT_AFTER_LINK_CHANGE: Milliseconds = 500
/** Larger messages are not sent: their datagrams would be fragmented on the way. */
const MAXIMUM_DATAGRAM_BYTES = 60_000
/** Address family in the result of a DNS lookup. */
const IPV4_FAMILY = 4
/** Number of instance records in one heartbeat. */
const RECORDS_PER_HEARTBEAT = 1
const ORIGINS_PER_DATAGRAM = 500
/** In its first rounds an instance sends its own record, since its peers may not know it yet. */
const ROUNDS_WITH_OWN_RECORD = 6
/** Limit on the size of a message after decompression. */
const MAXIMUM_INFLATED_BYTES = 1_048_576

/** Sends heartbeats to all peers in rounds, and applies those of the peers to the state of the gateway. */
export class Heartbeats {
  // Peers have IP addresses, so no DNS lookup is needed; it would cost more than sending the datagram.
  private readonly _socket = dgram.createSocket({ type: 'udp4', lookup: (address, _options, done) => { done(null, address, IPV4_FAMILY) } })
  private readonly _pauseGuard: PauseGuard
  private readonly _activeRounds: ActiveRounds
  private readonly _usage: MachineUsage
  /** The latest change of the store that was sent to all peers. */
  private _sentChange = 0
  private _isActive: boolean | undefined
  private _timer: NodeJS.Timeout | undefined
  private _tickedAt: Milliseconds = 0
  private _ticks = 0
  private _round = 0

  constructor (
    private readonly _state: GatewayState,
    private readonly _settings: HeartbeatSettings,
    private readonly _callbacks: HeartbeatCallbacks,
    machine: MachineSize = {}
  ) {
    const { interval } = _settings
    this._activeRounds = new ActiveRounds(_state.fronts)
    this._usage = new MachineUsage(machine)
    this._pauseGuard = new PauseGuard({ longestGap: PAUSE_INTERVALS * interval, settling: PAUSE_INTERVALS * interval })
    this._socket.on('message', message => { this._receive(message) })
    this._socket.on('error', error => { _state.log.warn('heartbeat-socket-failed', { detail: error.message }) })
  }

  /**
   * Binds the socket and starts sending. Rejects if the address cannot be bound.
   * @param address IP address and port to receive heartbeats at
   */
  async start (address: string): Promise<void> {
    const [host, port] = splitAddress(address)
    // Otherwise a pause before the first round would not be detected.
    this._pauseGuard.tick(this._state.suspensionAwareNow())
    this._tickedAt = this._state.now()
    await new Promise<void>((resolve, reject) => {
      this._socket.once('error', reject)
      this._socket.bind(port, host, () => {
        this._socket.off('error', reject)
        resolve()
      })
    })
    this._timer = setInterval(() => { this.send() }, this._settings.interval)
  }

  /** Stops sending and receiving. */
  stop (): void {
    clearInterval(this._timer)
    this._socket.close()
  }

  /** Sends a heartbeat to each peer if a round is due. Called in each interval, and when this instance starts to leave. */
  send (): void {
    const { fronts, log, storedParts, suspensionAwareNow } = this._state
    const { peers } = fronts
    const now = this._state.now()
    const gap = now - this._tickedAt
    this._tickedAt = now
    if (this._pauseGuard.tick(suspensionAwareNow())) {
      log.change('heartbeats-paused', { gap: Math.round(gap) })
      fronts.onPaused(gap, now)
      // A store that restarted during the pause may already have been written to again.
      storedParts.invalidateAll()
    }
    this.sendStreamOrigins()
    this._ticks += 1
    if (fronts.hasActiveSet) return this._sendActiveRound(now)
    if (!isRoundDue(this._ticks, peers.length, this._isUrgent)) return
    this._round += 1
    if (peers.length === 0) return
    this._sendTo(peers, this._heartbeat())
  }

  /** Sends what is due in a fleet that is so large that only some of its instances are active. */
  private _sendActiveRound (now: Milliseconds): void {
    const { fronts, loads, log, metrics, mirror } = this._state
    const isReady = this._callbacks.isReady()
    const utilization = this._usage.sample(now)
    const size = fronts.adaptActive(isReady, utilization, now)
    if (size !== undefined) log.change('active-instances-resized', { size, utilization: utilization.toFixed(2) })
    const isActive = fronts.isActive(fronts.self.name, now)
    if (isActive !== this._isActive) log.change(isActive ? 'active' : 'standing-by', { utilization: utilization.toFixed(2) })
    this._isActive = isActive
    metrics.gauge('instance_active', isActive ? 1 : 0)
    metrics.gauge('instances_placing', fronts.placingSize(now))
    // Peers that learn elsewhere of a change that they lack wait only briefly before they read the store.
    const hasNewChange = mirror.changedAt !== this._sentChange && this._isReader
    const isUrgent = this._isUrgent || hasNewChange
    const sender = { hasLoads: loads.local.size > 0, isUrgent, hasJustStarted: this._round <= ROUNDS_WITH_OWN_RECORD }
    const kind = this._activeRounds.due(this._ticks, sender, now)
    if (kind === undefined) return
    if (kind === 'full') {
      this._round += 1
      this._sentChange = mirror.changedAt
    }
    for (
      const { peers, heartbeat } of this._activeRounds.messages(kind, this._heartbeat(kind === 'full'), sender, now)
    ) this._sendTo(peers, heartbeat)
  }

  /** Sends the origins of streams to their holders, only while a service runs several versions of its software. */
  sendStreamOrigins (): void {
    const { fronts, streamOrigins, softwareVersions, catalog, now, suspensionAwareNow } = this._state
    const peers = new Map(fronts.livePeers(now()).map(peer => [peer.name, peer]))
    const isMixed = (service: string): boolean => softwareVersions.isMixed(service, catalog.replicas, suspensionAwareNow())
    const messages = streamOrigins.takeUnsent([...peers.keys()], isMixed, suspensionAwareNow())
    for (const [holder, { streamOrigins: origins }] of messages) {
      const peer = peers.get(holder)
      if (peer === undefined) continue
      for (let start = 0; start < origins.length; start += ORIGINS_PER_DATAGRAM) {
        this._sendTo([peer], { streamOrigins: origins.slice(start, start + ORIGINS_PER_DATAGRAM) })
      }
    }
  }

  private _sendTo (peers: readonly FrontRecord[], content: Heartbeat | StreamOriginsMessage): void {
    const message = deflateRawSync(JSON.stringify(content))
    if (message.length > MAXIMUM_DATAGRAM_BYTES) {
      this._state.log.warn('heartbeat-too-large', { bytes: message.length, peers: peers.length })
      return
    }
    for (const { heartbeatAddress } of peers) {
      const [host, port] = splitAddress(heartbeatAddress)
      try {
        this._socket.send(message, port, host, () => {
          // Errors are ignored: the receiver detects lost datagrams by the missing heartbeats.
        })
      } catch (error) {
        // A record with an address that cannot be one must not keep the heartbeat from the others.
        this._state.log.decision('heartbeat-not-sent', { address: heartbeatAddress, detail: String(error) })
      }
    }
  }

  /**
   * Whether peers have to be notified in each interval. Loading weights takes a fraction of a second, and the replica refuses
   * requests meanwhile.
   */
  private get _isUrgent (): boolean {
    const { fronts, loadingReplicas, links, now } = this._state
    const orders = loadingReplicas.reportedBy(fronts.self.name, now())
    const isLoading = orders.loading.length > 0 || orders.loaded.length > 0
    return fronts.self.isLeaving || isLoading || now() - links.changedAt < URGENT_AFTER_LINK_CHANGE
  }

  /** @param isToAll false if some peers do not get it: what is reported only once then waits for the next one */
  private _heartbeat (isToAll = true): Heartbeat {
    const loads: Heartbeat['loads'] = {}
    for (const [id, load] of this._state.loads.local) {
      loads[id] = [load.requests, Math.round(load.prefillTokens), Math.round(load.memoryTokens)]
    }
    const {
      fronts, mirror, readSchedule, sentPrompts, storedParts, loadingReplicas, crashes, notices, replicaLimits, links, now,
      suspensionAwareNow
    } = this._state
    const orders = loadingReplicas.reportedBy(fronts.self.name, now())
    return {
      from: senderOf(fronts.self),
      isReady: this._callbacks.isReady(),
      catalog: this._catalogStatus(),
      namings: this._state.catalog.recentAnnouncements(suspensionAwareNow()),
      named: this._recordsToSend(),
      loads,
      sent: sentPrompts.take().map(({ replicaId, salt, parts }) => (
        [replicaId, salt, parts.map(({ id, tokens }) => [id, tokens])])),
      stores: (isToAll ? storedParts.takeUpdates(now()) : []).map(({ events, age, ...store }) => ({
        ...store,
        age: Math.ceil(age),
        events: events.map(({ salt, partId, tokens, isAdded }) => [salt, partId, tokens, isAdded])
      })),
      fetched: isToAll ? storedParts.takeFetchSamples() : [],
      loading: orders.loading,
      loaded: [...orders.loaded],
      leaving: notices.updates(now()),
      rolloutEpoch: this._callbacks.rolloutEpoch(),
      cutOff: links.cutOff,
      active: fronts.activeReport,
      isBehind: fronts.hasActiveSet && readSchedule.isBehind(mirror.reach, mirror.era) ? true : undefined,
      limits: replicaLimits.updates(suspensionAwareNow()).map(({ run, rate, heardAge, sentAge }) => (
        [run, rate ?? null, Math.ceil(heardAge), Math.ceil(sentAge)])),
      cold: encodeColdUpdates(this._state.coldReplicas.updates(suspensionAwareNow())),
      paces: paceUpdates(this._state),
      ...crashes.update(suspensionAwareNow())
    }
  }

  private _catalogStatus (): CatalogStatus | undefined {
    const { mirror, readSchedule, suspensionAwareNow } = this._state
    const status = readSchedule.status(mirror.changedAt, suspensionAwareNow(), mirror.era)
    if (status === undefined) return undefined
    return this._isReader
      ? { ...status, told: mirror.recentChanges(suspensionAwareNow()) }
      : status
  }

  private get _isReader (): boolean {
    const { fronts, readSchedule } = this._state
    return readSchedule.isReader(fronts.self.name, connectedInstances(this._state))
  }

  private _recordsToSend (): FrontRecord[] {
    const { fronts, random } = this._state
    if (this._round <= ROUNDS_WITH_OWN_RECORD) return [fronts.self]
    const known = [fronts.self, ...fronts.observedPeers]
    return Array.from({ length: RECORDS_PER_HEARTBEAT }, () => random.pick(known))
  }

  private _receive (message: Buffer): void {
    const content = parseMessage(message)
    if (content === undefined) this._state.log.decision('heartbeat-unreadable', { bytes: message.length })
    else if ('streamOrigins' in content) this._state.streamOrigins.receive(content, this._state.suspensionAwareNow())
    else this._receiveHeartbeat(content)
  }

  private _receiveHeartbeat (heartbeat: Heartbeat): void {
    const now = this._state.now()
    const suspensionAwareNow = this._state.suspensionAwareNow()
    // One that has waited shows nevertheless that its sender ran; it has no ages of instances.
    this._state.fronts.receive(heartbeat, now)
    if (this._pauseGuard.mayBeBuffered(suspensionAwareNow)) {
      this._state.log.decision('heartbeat-waited', { from: heartbeat.from.name })
      return
    }
    for (
      const service of this._state.peerLinks.receive(heartbeat.from.name, heartbeat.cutOff, now)
    ) this._state.links.onReachedByPeer(service)
    const loads = new Map<string, ReplicaLoad>()
    for (const [id, [requests, prefillTokens, memoryTokens]] of Object.entries(heartbeat.loads)) {
      loads.set(id, { requests, prefillTokens, memoryTokens })
    }
    this._state.loads.receive(heartbeat.from.name, loads, now)
    this._state.waitQueues?.onPeerLoads()
    this._state.loadingReplicas.record(heartbeat.from.name, heartbeat.loading, heartbeat.loaded, now)
    for (const { replicaId, model, version } of heartbeat.loaded) {
      const replica = this._state.catalog.replica(replicaId)
      if (replica !== undefined && this._state.catalog.observeWeightVersion(replica, model, version)) {
        beginPace(this._state, replica, 'weights-loaded')
      }
    }
    for (const [replicaId, salt, parts] of heartbeat.sent) this._receiveSentPrompts(replicaId, salt, parts)
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
    receiveColdUpdates(this._state, heartbeat)
    receivePaces(this._state, heartbeat)
    this._state.crashes.receive(heartbeat, suspensionAwareNow)
    this._callbacks.onRolloutEpoch(heartbeat.rolloutEpoch)
    const { catalog, from, namings } = heartbeat
    for (
      const change of this._state.catalog.applyPeerAnnouncements(namings, suspensionAwareNow)
    ) this._callbacks.onCatalogChange(change)
    if (catalog !== undefined) this._callbacks.onPeerCatalogStatus(catalog, this._state.fronts.peer(from.name))
    if (heartbeat.heard !== undefined) this._receiveHeard(heartbeat.heard, heartbeat)
  }

  /** What the sender of a list knows of the store, the instances in it know at most, unless the sender is behind. */
  private _receiveHeard (heard: NonNullable<Heartbeat['heard']>, { from, isBehind = false }: Heartbeat): void {
    const { fronts, catalogCurrency, now, suspensionAwareNow } = this._state
    fronts.receiveHeard(heard, now())
    const isAhead = catalogCurrency.isAhead(from.name)
    if (isAhead === undefined) return
    for (const [name, , age] of heard) {
      catalogCurrency.onReport(name, isAhead || isBehind, suspensionAwareNow() - age - MESSAGE_DELAY_MARGIN)
    }
  }

  private _receiveSentPrompts (replicaId: string, salt: string, parts: [string, number][]): void {
    const { catalog, cachedParts } = this._state
    const replica = catalog.replica(replicaId)
    const engine = replica === undefined ? undefined : catalog.routes?.service(replica.service)?.engine
    if (engine === undefined) return
    cachedParts.onSent(replicaId, salt, parts.map(([id, tokens]) => ({ id, tokens })), engine.cacheTokens)
  }
}

function senderOf ({ name, incarnation, isLeaving, capacity }: FrontRecord): Heartbeat['from'] {
  return capacity === undefined ? { name, incarnation, isLeaving } : { name, incarnation, isLeaving, capacity }
}

function parseMessage (message: Buffer): Heartbeat | StreamOriginsMessage | undefined {
  try {
    const text = inflateRawSync(message, { maxOutputLength: MAXIMUM_INFLATED_BYTES }).toString('utf8')
    const content: unknown = JSON.parse(text)
    const isOrigins = typeof content === 'object' && content !== null && 'streamOrigins' in content
    return isOrigins ? streamOriginsMessageSchema.parse(content) : heartbeatSchema.parse(content)
  } catch {
    return undefined
  }
}
