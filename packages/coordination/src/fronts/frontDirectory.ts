/** Which instances callers may connect to, according to the store's records and to heartbeats from the instances themselves. */
import type { Milliseconds } from '../common/index.js'
import { ActiveInstances, MAXIMUM_ADDRESSES, namedAddresses } from './activeInstances.js'
import { silenceTimeout } from './heartbeatRounds.js'
import type { FrontRecord, Heartbeat } from './messages.js'

/** Settings of the directory. */
export interface FrontDirectorySettings {
  /** The shortest time between two heartbeats of an instance. */
  heartbeatInterval: Milliseconds
  /** Lower bound on the time without a heartbeat after which an instance counts as dead. */
  minimumSilenceTimeout: Milliseconds
  /** How long an instance that is listed in the store counts as alive before its first heartbeat. */
  unconfirmedLifetime: Milliseconds
  /** An instance is forgotten this long after its last heartbeat, unless the store lists it. */
  forgetAfter: Milliseconds
}

/** What the directory takes from a heartbeat. */
export type ReceivedHeartbeat = Pick<Heartbeat, 'from' | 'isReady' | 'named' | 'active'> & Partial<Pick<Heartbeat, 'loads'>>

interface KnownFront {
  record: FrontRecord
  isReady: boolean
  isListed: boolean
  firstSeenAt: Milliseconds
  /** When its last heartbeat was received. */
  receivedAt: Milliseconds | undefined
  /** When the latest of its heartbeats was sent that other instances have reported. */
  passedOnAt: Milliseconds | undefined
}

/** An instance counts as alive for this long after the last heartbeat that others have reported. */
const PASSED_ON_LIFETIME: Milliseconds = 4_000
/** Allowance for the time that a message from a peer was under way. */
const MESSAGE_DELAY_MARGIN: Milliseconds = 150

/** The instances that are known to this one, and which of them are alive. */
export class FrontDirectory {
  private readonly _fronts = new Map<string, KnownFront>()
  private _hasReceivedHeartbeat = false
  private _hosts: ReadonlySet<string> | undefined
  /** Cached result of `knownNames`; undefined after a change. */
  private _knownNames: readonly string[] | undefined
  private readonly _active: ActiveInstances
  private _selfWithoutCapacity: FrontRecord
  private _isSelfReady = false
  /** Number of answers given to callers. */
  private _answers = 0

  /** @param _self this instance, as it registers itself */
  constructor (private _self: FrontRecord, private readonly _settings: FrontDirectorySettings) {
    this._active = new ActiveInstances(_self.name)
    this._selfWithoutCapacity = withCapacity(_self, undefined)
  }

  /** This instance's own record. In fleets where all instances are active, nobody needs its capacity. */
  get self (): FrontRecord {
    return this.hasActiveSet ? this._self : this._selfWithoutCapacity
  }

  /** Whether the fleet is so large that only some of its instances are active. */
  get hasActiveSet (): boolean {
    return (this.knownSize ?? 0) > MAXIMUM_ADDRESSES
  }

  /** What this instance reports about the active instances; undefined where all are active. */
  get activeReport (): Heartbeat['active'] {
    return this.hasActiveSet ? this._active.report : undefined
  }

  /**
   * Adapts the number of active instances to their utilization. Call it in each interval of the heartbeats.
   * @param isSelfReady whether this instance itself accepts callers
   * @param utilization share of its machine that this instance uses
   * @returns the number in this data centre if this instance has changed it
   */
  adaptActive (isSelfReady: boolean, utilization: number, now: Milliseconds): number | undefined {
    this._isSelfReady = isSelfReady
    if (!this.hasActiveSet) return undefined
    return this._active.adapt(this._ready(isSelfReady, now).filter(({ zone }) => zone === this._self.zone), utilization, now)
  }

  /** Whether an instance is active; all are in a fleet without an active set. */
  isActive (name: string, now: Milliseconds): boolean {
    return !this.hasActiveSet || this._active.names(() => this._ready(this._isSelfReady, now), now).has(name)
  }

  /** Whether a peer is active, or is not and places work nevertheless. */
  placesWork ({ name }: FrontRecord, now: Milliseconds): boolean {
    return this.isActive(name, now) || this._active.placesWork(name, now)
  }

  /** Number of live instances that place work, this one included; at least 1. */
  placingSize (now: Milliseconds): number {
    if (!this.hasActiveSet) return this.size(now)
    return this.livePeers(now).filter(peer => this.placesWork(peer, now)).length + 1
  }

  /** Marks this instance as leaving. */
  leave (): void {
    this._updateSelf({ isLeaving: true })
  }

  /** Applies the complete list of records in the store. */
  applyRecords (records: readonly FrontRecord[], now: Milliseconds): void {
    const listed = new Set(records.map(({ name }) => name))
    for (const record of records) {
      if (record.name === this._self.name) this._raiseIncarnationAbove(record)
      else this._addOrUpdate(record, now).isListed = true
    }
    for (const [name, front] of this._fronts) if (!listed.has(name)) front.isListed = false
    this._expire(now)
  }

  /** Sets the names of all hosts that have recently run an instance, as the store lists them. */
  applyHosts (names: readonly string[]): void {
    this._hosts = new Set(names)
    this._knownNames = undefined
  }

  /** Applies a heartbeat and the records of instances in it. A heartbeat of an unknown run only adds these records. */
  receive ({ from, isReady, named, active, loads = {} }: ReceivedHeartbeat, now: Milliseconds): void {
    this.addPeers(named, now)
    const front = this._fronts.get(from.name)
    if (front === undefined || front.record.incarnation !== from.incarnation) return
    if (from.isLeaving) front.record = { ...front.record, isLeaving: true }
    setCapacity(front, from.capacity)
    front.receivedAt = now
    front.isReady = isReady
    this._hasReceivedHeartbeat = true
    this._active.receive(from.name, active, Object.keys(loads).length > 0, now)
  }

  /**
   * Applies the live and ready instances that a peer hears. Ages count from the arrival of the message, so that one that may have
   * waited in a buffer must not be applied.
   */
  receiveHeard (heard: NonNullable<Heartbeat['heard']>, now: Milliseconds): void {
    for (const [name, incarnation, age, capacity] of heard) {
      const front = this._fronts.get(name)
      const sentAt = now - age - MESSAGE_DELAY_MARGIN
      if (front === undefined || front.record.incarnation !== incarnation) continue
      if (sentAt <= (lastHeardAt(front) ?? -Infinity)) continue
      front.passedOnAt = sentAt
      setCapacity(front, capacity ?? undefined)
    }
  }

  /** The live instances of this data centre that this instance hears itself, to be passed on to others. */
  heardNear (now: Milliseconds): NonNullable<Heartbeat['heard']> {
    return this._heard(({ record, receivedAt }) => record.zone === this._self.zone && receivedAt !== undefined, now)
  }

  /** The live instances of other data centres, to be passed on in this one. */
  heardElsewhere (now: Milliseconds): NonNullable<Heartbeat['heard']> {
    return this._heard(({ record }) => record.zone !== this._self.zone, now)
  }

  /**
   * This process has not run for a while: its peers were not silent, since it could not have read their heartbeats. One interval
   * counts as silence nevertheless; otherwise a peer that is dead would never be dropped where each run of the timer is late.
   * @param gap from the last run of the timer of the heartbeats until now
   */
  onPaused (gap: Milliseconds, now: Milliseconds): void {
    const pause = Math.max(0, gap - this._settings.heartbeatInterval)
    for (const front of this._fronts.values()) {
      if (front.receivedAt !== undefined) front.receivedAt = Math.min(now, front.receivedAt + pause)
      if (front.passedOnAt !== undefined) front.passedOnAt = Math.min(now, front.passedOnAt + pause)
    }
  }

  /** The record of another instance by its name. */
  peer (name: string): FrontRecord | undefined {
    return this._fronts.get(name)?.record
  }

  /** Adds instances that a peer knows. They count as alive only after a heartbeat of their own. */
  addPeers (records: readonly FrontRecord[], now: Milliseconds): void {
    for (const record of records) {
      if (record.name === this._self.name) this._raiseIncarnationAbove(record)
      else this._addOrUpdate(record, now)
    }
  }

  /** The other instances of whose current run a heartbeat has been received, or reported by others, alive or not. */
  get observedPeers (): FrontRecord[] {
    return [...this._fronts.values()].filter(front => lastHeardAt(front) !== undefined).map(({ record }) => record)
  }

  /** The other instances that heartbeats are sent to. */
  get peers (): FrontRecord[] {
    return [...this._fronts.values()].map(({ record }) => record)
  }

  /** The peers that are alive and ready, as observed by this instance. */
  livePeers (now: Milliseconds): FrontRecord[] {
    return [...this._fronts.values()].filter(front => this._isLive(front, now)).map(({ record }) => record)
  }

  /** Whether heartbeats of a peer arrive, also of one that is leaving or not ready. */
  isHeard (name: string, now: Milliseconds): boolean {
    const front = this._fronts.get(name)
    return front !== undefined && this._isHeard(front, now)
  }

  /** Number of live instances, this one included; at least 1. */
  size (now: Milliseconds): number {
    return this.livePeers(now).length + 1
  }

  /**
   * Names of all instances that may be running, with or without a heartbeat, this one included; undefined before the store's
   * hosts are known. The same array is returned until its content changes.
   */
  get knownNames (): readonly string[] | undefined {
    if (this._hosts === undefined) return undefined
    this._knownNames ??= [...new Set([...this._hosts, ...this._fronts.keys(), this._self.name])]
    return this._knownNames
  }

  /** Number of instances that may be running; undefined before the store's hosts are known. */
  get knownSize (): number | undefined {
    return this.knownNames?.length
  }

  /**
   * The addresses that callers may connect to: those of every instance that is alive and ready; in a large fleet those of active
   * instances, of the caller's data centre first.
   * @param isSelfReady whether this instance itself accepts callers
   * @param zone data centre of the caller; that of this instance if the caller names none
   */
  addresses (isSelfReady: boolean, now: Milliseconds, zone: string = this._self.zone): string[] {
    const fronts = this._ready(isSelfReady, now)
    if (!this.hasActiveSet) return fronts.map(({ frontAddress }) => frontAddress).slice(0, MAXIMUM_ADDRESSES)
    this._answers += 1
    // Registrations last long in a large fleet: one that nobody has heard yet may have ended long ago.
    const heard = fronts.filter(({ name }) => name === this._self.name || !this._hasReceivedHeartbeat || this.isHeard(name, now))
    return namedAddresses(this._active.byZone(heard), zone, this._answers)
  }

  /** The live and ready instances, this one last. */
  private _ready (isSelfReady: boolean, now: Milliseconds): FrontRecord[] {
    const fronts = this.livePeers(now)
    if (isSelfReady && !this._self.isLeaving) fronts.push(this._self)
    return fronts
  }

  private _heard (isSelected: (front: KnownFront) => boolean, now: Milliseconds): NonNullable<Heartbeat['heard']> {
    const live = [...this._fronts.values()].filter(front => isSelected(front) && this._isLive(front, now))
    return live.flatMap(front => {
      const heardAt = lastHeardAt(front)
      const { name, incarnation, capacity } = front.record
      return heardAt === undefined ? [] : [[name, incarnation, Math.ceil(now - heardAt), capacity ?? null]]
    })
  }

  private _isHeard ({ receivedAt, passedOnAt }: KnownFront, now: Milliseconds): boolean {
    if (receivedAt !== undefined && now - receivedAt <= this._silenceTimeout) return true
    return passedOnAt !== undefined && now - passedOnAt <= PASSED_ON_LIFETIME
  }

  private get _silenceTimeout (): Milliseconds {
    const { minimumSilenceTimeout, heartbeatInterval } = this._settings
    return Math.max(minimumSilenceTimeout, silenceTimeout(this._fronts.size, heartbeatInterval))
  }

  private _isLive (front: KnownFront, now: Milliseconds): boolean {
    if (front.record.isLeaving) return false
    if (front.passedOnAt !== undefined && front.passedOnAt > (front.receivedAt ?? -Infinity)) return this._isHeard(front, now)
    if (front.receivedAt !== undefined) return front.isReady && this._isHeard(front, now)
    // Before any heartbeat arrives, this instance cannot tell whether its peers are dead or it cannot receive.
    return front.isListed && (!this._hasReceivedHeartbeat || now - front.firstSeenAt <= this._settings.unconfirmedLifetime)
  }

  /**
   * Raises this run's incarnation above that of a previous run that began while the host's clock was ahead. Peers would
   * otherwise take this run for the older one.
   */
  private _raiseIncarnationAbove ({ incarnation }: FrontRecord): void {
    if (incarnation > this._self.incarnation) this._updateSelf({ incarnation: incarnation + 1 })
  }

  private _updateSelf (change: Partial<FrontRecord>): void {
    this._self = { ...this._self, ...change }
    this._selfWithoutCapacity = withCapacity(this._self, undefined)
  }

  private _addOrUpdate (record: FrontRecord, now: Milliseconds): KnownFront {
    const known = this._fronts.get(record.name)
    if (known !== undefined && known.record.incarnation >= record.incarnation) {
      if (known.record.incarnation === record.incarnation && record.isLeaving) known.record = record
      return known
    }
    const unheard = { isReady: false, receivedAt: undefined, passedOnAt: undefined }
    const front: KnownFront = { record, isListed: false, firstSeenAt: now, ...unheard }
    this._fronts.set(record.name, front)
    if (known === undefined) this._knownNames = undefined
    return front
  }

  private _expire (now: Milliseconds): void {
    for (const [name, front] of this._fronts) {
      const lastSeenAt = lastHeardAt(front) ?? front.firstSeenAt
      if (front.isListed || now - lastSeenAt <= this._settings.forgetAfter) continue
      this._fronts.delete(name)
      this._knownNames = undefined
    }
  }
}

/** When the latest known heartbeat of an instance was received, or sent if others have reported it. */
function lastHeardAt ({ receivedAt, passedOnAt }: KnownFront): Milliseconds | undefined {
  if (receivedAt === undefined || passedOnAt === undefined) return receivedAt ?? passedOnAt
  return Math.max(receivedAt, passedOnAt)
}

function setCapacity (front: KnownFront, capacity: number | undefined): void {
  if (front.record.capacity !== capacity) front.record = withCapacity(front.record, capacity)
}

function withCapacity ({ capacity: _capacity, ...record }: FrontRecord, capacity: number | undefined): FrontRecord {
  return capacity === undefined ? record : { ...record, capacity }
}
