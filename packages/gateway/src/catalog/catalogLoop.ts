/** Updates the catalog from the store, and from peers while the store does not answer. */
import {
  frontRecordSchema, MESSAGE_DELAY_MARGIN, NO_ERA, type CatalogChange, type CatalogListing, type CatalogStatus,
  type FrontRecord, type Milliseconds, type PeerChanges, type ReadRequest, type VersionedValue, type VersionRecord
} from '@wasabihead/coordination'
import type { CatalogSource } from '../protocol/index.js'
import { requestPeerListing } from '../peers/index.js'
import { applyColdRegistrations, connectedInstances, type GatewayState } from '../requests/index.js'
import { CRASH_KEY_PREFIX, parseCrashRecord } from './crashRecords.js'
import { ORIGIN_KEY_PREFIX, parseOriginRecord } from './originRecords.js'
import { parseVersionRecord, VERSION_KEY_PREFIX } from './versionRecords.js'

/** Settings of the loop. */
export interface CatalogLoopSettings {
  /** Minimum time between two requests for a peer's catalog, which are sent while the store does not answer. */
  peerInterval: Milliseconds
  peerTimeout: Milliseconds
}

/** Callbacks to the instance whose catalog is updated. */
export interface CatalogCallbacks {
  onChange (change: CatalogChange): void
  /** The store came back from an older copy, in another era. */
  onStoreReturned (): void
}

/** Follows the own prefix in the keys of instances; each instance has one. */
export const FRONT_KEY_PREFIX = 'instances/'
/** Follows the own prefix in the keys of hosts; each host that recently ran an instance has one, even if it no longer does. */
export const HOST_KEY_PREFIX = 'hosts/'

interface StoreReadRecord {
  asked: ReadRequest
  /** Revision of the copy before the read. */
  before: number
  /** Name of the peer whose report led to the read. */
  toldBy: string | undefined
  failure: string | undefined
}

/** The listed instances may have ended since the copy was made. */
const MAXIMUM_PEERS_COMPARED = 3

/** Reads the store when the schedule says so, or when a peer reports changes that this instance lacks. */
export class CatalogLoop {
  private _timer: NodeJS.Timeout | undefined
  private _isReading = false
  private _isRequestingFromPeer = false
  private _isStopped = false
  private _hasReadOrigins = false
  private _peerRequestedAt: Milliseconds = -Infinity
  private _isStoreReachable = true
  private _isOutdated = false
  /** Why the last read of the store failed; undefined if it did not. */
  private _readFailure: string | undefined
  private _ownValues: readonly VersionedValue[] = []
  /** The latest revision of the store among the catalogs that were received from peers. */
  private _peerPosition = { era: NO_ERA, revision: 0 }
  private _hasComparedWithPeers = false

  /**
   * @param seeds control addresses of instances that are asked for their catalog while no live peer is known
   */
  constructor (
    private readonly _state: GatewayState,
    private readonly _source: CatalogSource,
    private readonly _settings: CatalogLoopSettings,
    public seeds: readonly string[],
    private readonly _callbacks: CatalogCallbacks
  ) {}

  /** The values that instances of this project wrote, as of the last read. */
  get ownValues (): readonly VersionedValue[] {
    return this._ownValues
  }

  /** Reads the store at once, and then repeatedly until `stop` is called. */
  start (): void {
    this._state.log.detach('catalog', this._read(undefined))
  }

  /** Starts no further reads; one that is under way is completed. */
  stop (): void {
    this._isStopped = true
    clearTimeout(this._timer)
  }

  /** Called periodically: tells the log and the metrics how old the copy of the store is, and which configuration is in force. */
  report (): void {
    const { catalog, catalogCurrency, mirror, readSchedule, log, metrics, suspensionAwareNow } = this._state
    const now = suspensionAwareNow()
    const version = catalog.routes?.configuration.version
    if (version === undefined) return
    const age = Math.round(now - catalog.listedAt)
    metrics.gauge('catalog_age_milliseconds', age)
    metrics.gauge('configuration_version', version)
    const isOutdated = catalogCurrency.isOutdated(readSchedule.currentAsOf, now)
    if (isOutdated === this._isOutdated) return
    this._isOutdated = isOutdated
    log.change(isOutdated ? 'catalog-outdated' : 'catalog-current', {
      age, version, revision: mirror.reach, isBehind: readSchedule.isBehind(mirror.reach, mirror.era), failure: this._readFailure
    })
  }

  /**
   * Applies the changes that a peer sent along with the status of its copy of the store. If the own copy is still behind, the
   * store is read: at once if the peer sent changes, otherwise as scheduled. During the retry delay after a failed read, a peer's
   * catalog is requested instead.
   */
  onPeerStatus (status: CatalogStatus, peer: FrontRecord | undefined): void {
    const { readSchedule, catalogCurrency, mirror, catalog, log, suspensionAwareNow } = this._state
    if (this._isStopped) return
    const { era = NO_ERA } = status
    const isSameEra = era === mirror.era && era >= readSchedule.latestPeerEra
    if (isSameEra && status.told !== undefined && status.changedAt > mirror.reach) this._applyPeerChanges(status, status.told)
    const verdict = readSchedule.onPeerStatus(status, mirror.reach, suspensionAwareNow(), mirror.era)
    if (peer !== undefined) {
      // A peer of an older build does not say which era its copy is of.
      catalogCurrency.onReport(peer.name, verdict === 'behind' || era !== mirror.era, suspensionAwareNow())
    }
    if (verdict === 'confirmed') catalog.confirm(readSchedule.currentAsOf)
    if (verdict !== 'behind' || this._isReading) return
    if (!readSchedule.mayRead(suspensionAwareNow())) log.detach('peer-catalog', this._requestPeerListing(peer))
    else if (era > mirror.era && mirror.revision > 0) this._listAfterReturn()
    // The peer, which reads the store, could not send all the changes that the own copy lacked.
    else if (status.told !== undefined) log.detach('catalog', this._read(peer))
    else this._schedule()
  }

  private _listAfterReturn (): void {
    const { readSchedule, random, fronts, now, suspensionAwareNow } = this._state
    readSchedule.onReturnTold(fronts.size(now()), random.next(), suspensionAwareNow())
    this._schedule()
  }

  private _applyPeerChanges ({ changedAt, age }: CatalogStatus, peerChanges: PeerChanges): void {
    const { mirror, catalog, log, suspensionAwareNow } = this._state
    const now = suspensionAwareNow()
    const before = mirror.reach
    if (!mirror.applyPeerChanges(peerChanges, changedAt, now)) return
    log.decision('store-changes-told', { before, reach: mirror.reach, changes: peerChanges.changes.length, age })
    const { catalog: listing } = this._source.decode(mirror.values, mirror.era)
    this._notify(catalog.applyListing(listing, Math.max(catalog.listedAt, now - age - MESSAGE_DELAY_MARGIN), now))
  }

  /** @param peer the peer to request the catalog from if the store does not answer */
  private async _read (peer: FrontRecord | undefined): Promise<void> {
    clearTimeout(this._timer)
    this._isReading = true
    try {
      await this._readOnce(peer)
    } finally {
      this._isReading = false
      this._schedule()
    }
  }

  private async _readOnce (peer: FrontRecord | undefined): Promise<void> {
    const requestedAt = this._state.suspensionAwareNow()
    const before = this._state.mirror.revision
    const asked = this._state.readSchedule.nextRequest(before)
    const failure = this._readFailure = await this._readStore(asked)
    this._recordRead(requestedAt, { asked, before, toldBy: peer?.name, failure })
    this._recordReachability(failure === undefined, failure ?? '')
    if (failure === undefined) {
      this._applyMirror(requestedAt)
      this._state.log.detach('peer-catalog', this._compareWithPeers())
      return
    }
    this._state.readSchedule.onFailure(this._state.random.next(), this._state.suspensionAwareNow())
    await this._requestPeerListing(peer)
  }

  private _recordRead (requestedAt: Milliseconds, { asked, before, toldBy, failure }: StoreReadRecord): void {
    const { log, metrics, mirror, readSchedule, suspensionAwareNow } = this._state
    metrics.count('store_reads_total', toldBy === undefined ? 'due' : 'told')
    if (failure !== undefined) metrics.count('store_read_failures_total', asked)
    log.decision('store-read', {
      toldBy,
      asked,
      age: Math.round(requestedAt - readSchedule.currentAsOf),
      before,
      revision: mirror.revision,
      changedAt: mirror.changedAt,
      took: Math.round(suspensionAwareNow() - requestedAt),
      failure
    })
  }

  private _schedule (): void {
    clearTimeout(this._timer)
    if (this._isStopped) return
    // Updates from peers may have postponed the next read by the time the timer fires.
    this._timer = setTimeout(() => {
      if (this._delayToNextRead() <= 0) this._state.log.detach('catalog', this._read(undefined))
      else this._schedule()
    }, Math.max(1, this._delayToNextRead()))
  }

  private _delayToNextRead (): Milliseconds {
    const { readSchedule, catalog, fronts, suspensionAwareNow } = this._state
    const instances = connectedInstances(this._state)
    return readSchedule.nextReadAt(fronts.self.name, instances, catalog.recheckAt) - suspensionAwareNow()
  }

  /** Updates the mirror from the store. Returns the reason if that failed. */
  private async _readStore (request: ReadRequest): Promise<string | undefined> {
    const { mirror, log, metrics, suspensionAwareNow } = this._state
    const before = { era: mirror.era, revision: mirror.revision }
    if (request === 'changes') {
      const changes = await this._source.changesSince(mirror.revision)
      if (changes.isErr) return changes.error.message
      if (changes.value !== undefined && mirror.applyChanges(changes.value, suspensionAwareNow())) return undefined
      log.change('store-history-missing', { revision: mirror.revision, reached: changes.value?.revision })
    }
    const snapshot = await this._source.list()
    if (snapshot.isErr) return snapshot.error.message
    mirror.applyListing(snapshot.value)
    if (before.revision > 0 && mirror.era !== before.era) {
      metrics.count('store_returns_total')
      log.change('store-returned', {
        eraBefore: before.era, era: mirror.era, revisionBefore: before.revision, revision: mirror.revision
      })
      this._callbacks.onStoreReturned()
    }
    return undefined
  }

  private _applyMirror (requestedAt: Milliseconds): void {
    const { mirror, catalog, fronts, crashes, softwareVersions, readSchedule, log, now, suspensionAwareNow } = this._state
    const { catalog: listing, own } = this._source.decode(mirror.values, mirror.era)
    this._ownValues = own
    readSchedule.onRead(requestedAt, mirror.era)
    this._notify(catalog.applyListing(listing, requestedAt, suspensionAwareNow()))
    if (!this._hasReadOrigins) this._applyOriginRecords()
    softwareVersions.applyRecords(this._versionRecords(), catalog.replicas, suspensionAwareNow())
    fronts.applyRecords(this._frontRecords(own), now())
    fronts.applyHosts(this._ownEntries(HOST_KEY_PREFIX).map(({ name }) => name))
    crashes.applyBlocks(this._ownEntries(CRASH_KEY_PREFIX).flatMap(({ name, value, revision }) => {
      const record = parseCrashRecord(value)
      if (record === undefined) log.decision('crash-record-unreadable', { name })
      return record === undefined ? [] : { name, ...record, revision }
    }), suspensionAwareNow())
  }

  /**
   * The store may hold an older copy when this instance starts: a peer knows the configuration that is in force, which then
   * applies until the operator has written it again.
   */
  private async _compareWithPeers (): Promise<void> {
    if (this._hasComparedWithPeers || this._state.mirror.era === NO_ERA) return
    this._hasComparedWithPeers = true
    for (let asked = 0; asked < MAXIMUM_PEERS_COMPARED; asked++) {
      // A replica that the store does not list may have left: the peer may not have noticed yet.
      if (await this._fetchPeerListing(undefined, listing => ({ ...listing, replicas: [] }))) return
    }
  }

  private async _requestPeerListing (peer: FrontRecord | undefined): Promise<void> {
    if (this._isRequestingFromPeer || this._state.now() - this._peerRequestedAt < this._settings.peerInterval) return
    this._isRequestingFromPeer = true
    this._peerRequestedAt = this._state.now()
    try {
      await this._requestPeerListingOnce(peer)
    } finally {
      this._isRequestingFromPeer = false
    }
  }

  private async _requestPeerListingOnce (peer: FrontRecord | undefined): Promise<void> {
    const { catalog, mirror, readSchedule } = this._state
    const isStarting = catalog.routes === undefined
    const { era, revision } = this._peerPosition
    const isBehind = era > mirror.era || (era === mirror.era && revision > mirror.reach)
      ? readSchedule.isBehind(revision, era)
      : readSchedule.isBehind(mirror.reach, mirror.era)
    if (isStarting || isBehind) await this._fetchPeerListing(peer)
  }

  /** Applies what `select` takes of a peer's catalog. Returns whether one was received. */
  private async _fetchPeerListing (
    peer: FrontRecord | undefined, select: (listing: CatalogListing) => CatalogListing = listing => listing
  ): Promise<boolean> {
    const { fronts, now, suspensionAwareNow, random, catalog } = this._state
    const live = fronts.livePeers(now()).map(({ controlAddress }) => controlAddress)
    const addresses = (live.length > 0 ? live : this.seeds).filter(address => address !== fronts.self.controlAddress)
    if (addresses.length === 0) return false
    const address = peer?.controlAddress ?? random.pick(addresses)
    try {
      const requestedAt = suspensionAwareNow()
      const listing = await requestPeerListing(address, this._settings.peerTimeout)
      const { era = NO_ERA, revision } = listing
      const known = this._peerPosition
      if (era > known.era || (era === known.era && revision > known.revision)) this._peerPosition = { era, revision }
      fronts.addPeers(listing.fronts, now())
      this._notify(catalog.applyPeerListing(select(listing.catalog), requestedAt, suspensionAwareNow()))
      return true
    } catch (error) {
      this._state.log.decision('peer-listing-failed', { address, detail: String(error) })
      return false
    }
  }

  /** The own values whose keys start with the own prefix and `keys`; a name is the rest of the key. */
  private _ownEntries (keys: string): { name: string, value: string, revision: number }[] {
    const prefix = `${this._source.ownPrefix}${keys}`
    const found = this._ownValues.filter(({ key }) => key.startsWith(prefix))
    return found.map(({ key, value, revision }) => ({ name: key.slice(prefix.length), value, revision }))
  }

  /** Read once: what peers begin later they send to its holders, or answer for it. */
  private _applyOriginRecords (): void {
    const { streamOrigins, log, suspensionAwareNow } = this._state
    this._hasReadOrigins = true
    for (const { name, value } of this._ownEntries(ORIGIN_KEY_PREFIX)) {
      const record = parseOriginRecord(value)
      if (record === undefined) log.decision('origin-record-unreadable', { name })
      else streamOrigins.receive(record, suspensionAwareNow())
    }
  }

  private _versionRecords (): VersionRecord[] {
    return this._ownEntries(VERSION_KEY_PREFIX).flatMap(({ name, value }) => {
      const record = parseVersionRecord(value)
      if (record === undefined) this._state.log.decision('version-record-unreadable', { name })
      return record ?? []
    })
  }

  private _frontRecords (own: readonly VersionedValue[]): FrontRecord[] {
    const prefix = `${this._source.ownPrefix}${FRONT_KEY_PREFIX}`
    const records: FrontRecord[] = []
    for (const { key, value } of own) {
      if (!key.startsWith(prefix)) continue
      const record = parseRecord(value)
      if (record === undefined) this._state.log.decision('instance-record-unreadable', { key })
      else records.push(record)
    }
    return records
  }

  private _notify (changes: readonly CatalogChange[]): void {
    for (const change of changes) this._callbacks.onChange(change)
    applyColdRegistrations(this._state)
  }

  private _recordReachability (isReachable: boolean, detail: string): void {
    if (isReachable === this._isStoreReachable) return
    this._isStoreReachable = isReachable
    const { log, suspensionAwareNow, catalog } = this._state
    log.change(isReachable ? 'store-regained' : 'store-lost', { detail, catalogAge: Math.round(suspensionAwareNow() - catalog.listedAt) })
  }
}

function parseRecord (text: string): FrontRecord | undefined {
  try {
    return frontRecordSchema.parse(JSON.parse(text))
  } catch {
    return undefined
  }
}
