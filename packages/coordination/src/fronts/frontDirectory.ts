/** Which instances callers may connect to, from the store's records and from direct heartbeats. */
import type { Milliseconds } from '../common/index.js'
import { silenceFor } from './heartbeatRounds.js'
import type { FrontRecord, Heartbeat } from './messages.js'

/** Settings of the directory. */
export interface FrontDirectorySettings {
  /** The shortest time between two heartbeats of an instance. */
  heartbeatInterval: Milliseconds
  /** An instance that was heard is not left out for a shorter silence than this. */
  shortestSilence: Milliseconds
  /** A record of the store that was never heard of directly counts for this long. */
  unheardLifetime: Milliseconds
  /** An instance that nobody heard for this long is forgotten. */
  forgetAfter: Milliseconds
}

interface KnownFront {
  record: FrontRecord
  isReady: boolean
  isListed: boolean
  firstSeenAt: Milliseconds
  heardAt: Milliseconds | undefined
}

/** Most addresses in one answer. */
const MAXIMUM_ADDRESSES = 64

/** Holds what is known of the other instances. */
export class FrontDirectory {
  private readonly _fronts = new Map<string, KnownFront>()
  private _hasHeardAny = false
  private _hosts: ReadonlySet<string> | undefined
  /** Made when it is asked for, and anew after a change. */
  private _knownNames: readonly string[] | undefined

  /** @param _self this instance, as it registers itself */
  constructor (private _self: FrontRecord, private readonly _settings: FrontDirectorySettings) {}

  /** This instance's own record. */
  get self (): FrontRecord {
    return this._self
  }

  /** This instance begins to leave. */
  leave (): void {
    this._self = { ...this._self, isLeaving: true }
  }

  /** Takes the store's records. */
  applyRecords (records: readonly FrontRecord[], now: Milliseconds): void {
    const listed = new Set(records.map(({ name }) => name))
    for (const record of records) {
      if (record.name === this._self.name) this._outbid(record)
      else this._take(record, now).isListed = true
    }
    for (const [name, front] of this._fronts) if (!listed.has(name)) front.isListed = false
    this._expire(now)
  }

  /** Takes the names of all hosts that ran an instance lately, as the store has them. */
  applyHosts (names: readonly string[]): void {
    this._hosts = new Set(names)
    this._knownNames = undefined
  }

  /** Takes a heartbeat, and the instances that it names. */
  hear ({ from, isReady, named }: Pick<Heartbeat, 'from' | 'isReady' | 'named'>, now: Milliseconds): void {
    this.learn(named, now)
    const front = this._fronts.get(from.name)
    if (front === undefined || front.record.incarnation !== from.incarnation) return
    if (from.isLeaving) front.record = { ...front.record, isLeaving: true }
    front.heardAt = now
    front.isReady = isReady
    this._hasHeardAny = true
  }

  /** The record of another instance. */
  peer (name: string): FrontRecord | undefined {
    return this._fronts.get(name)?.record
  }

  /** Takes instances that another one knows; they count as alive once they are heard. */
  learn (records: readonly FrontRecord[], now: Milliseconds): void {
    for (const record of records) {
      if (record.name === this._self.name) this._outbid(record)
      else this._take(record, now)
    }
  }

  /** The other instances that were heard lately, alive or not: their last run is known. */
  get heardPeers (): FrontRecord[] {
    return [...this._fronts.values()].filter(({ heardAt }) => heardAt !== undefined).map(({ record }) => record)
  }

  /** The other instances that heartbeats are sent to. */
  get peers (): FrontRecord[] {
    return [...this._fronts.values()].map(({ record }) => record)
  }

  /** The peers that are alive and ready as far as this instance knows. */
  livePeers (now: Milliseconds): FrontRecord[] {
    return [...this._fronts.values()].filter(front => this._isLive(front, now)).map(({ record }) => record)
  }

  /** Instances that take part now, this one included; at least 1. */
  size (now: Milliseconds): number {
    return this.livePeers(now).length + 1
  }

  /**
   * Names of the instances that may be at work, heard or not, this one included; undefined before the store told of its
   * hosts. The same array until it changes.
   */
  get knownNames (): readonly string[] | undefined {
    if (this._hosts === undefined) return undefined
    this._knownNames ??= [...new Set([...this._hosts, ...this._fronts.keys(), this._self.name])]
    return this._knownNames
  }

  /** How many they are. */
  get knownSize (): number | undefined {
    return this.knownNames?.length
  }

  /**
   * Where callers may connect: every instance that is alive and ready.
   * @param isSelfReady whether this instance itself takes callers
   */
  addresses (isSelfReady: boolean, now: Milliseconds): string[] {
    const fronts = this.livePeers(now)
    if (isSelfReady && !this._self.isLeaving) fronts.push(this._self)
    return fronts.map(({ frontAddress }) => frontAddress).slice(0, MAXIMUM_ADDRESSES)
  }

  private get _silence (): Milliseconds {
    const { shortestSilence, heartbeatInterval } = this._settings
    return Math.max(shortestSilence, silenceFor(this._fronts.size, heartbeatInterval))
  }

  private _isLive (front: KnownFront, now: Milliseconds): boolean {
    if (front.record.isLeaving) return false
    if (front.heardAt !== undefined) return front.isReady && now - front.heardAt <= this._silence
    // Where no instance is heard at all, this one cannot tell the others' silence from its own deafness.
    return front.isListed && (!this._hasHeardAny || now - front.firstSeenAt <= this._settings.unheardLifetime)
  }

  /** A former run began while the host's time of day was ahead; the others would take this run for the older one. */
  private _outbid ({ incarnation }: FrontRecord): void {
    if (incarnation > this._self.incarnation) this._self = { ...this._self, incarnation: incarnation + 1 }
  }

  private _take (record: FrontRecord, now: Milliseconds): KnownFront {
    const known = this._fronts.get(record.name)
    if (known !== undefined && known.record.incarnation >= record.incarnation) {
      if (known.record.incarnation === record.incarnation && record.isLeaving) known.record = record
      return known
    }
    const front: KnownFront = { record, isReady: false, isListed: false, firstSeenAt: now, heardAt: undefined }
    this._fronts.set(record.name, front)
    if (known === undefined) this._knownNames = undefined
    return front
  }

  private _expire (now: Milliseconds): void {
    for (const [name, front] of this._fronts) {
      const lastSign = front.heardAt ?? front.firstSeenAt
      if (front.isListed || now - lastSign <= this._settings.forgetAfter) continue
      this._fronts.delete(name)
      this._knownNames = undefined
    }
  }
}
