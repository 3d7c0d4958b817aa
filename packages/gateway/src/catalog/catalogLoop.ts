/** Keeps the catalog up to date with the store, and with peers while the store does not answer. */
import {
  frontRecordSchema, MESSAGE_DELAY_MARGIN, type CatalogChange, type CatalogStatus, type FrontRecord, type Milliseconds,
  type PeerChanges, type VersionedValue
} from '@wasabihead/coordination'
import type { CatalogSource } from '../protocol/index.js'
import { askPeerListing } from '../peers/index.js'
import type { GatewayState } from '../requests/index.js'
import { CRASH_KEYS } from './crashRecords.js'

/** Settings of the loop. */
export interface CatalogLoopSettings {
  /** Between two questions to peers while the store does not answer. */
  peerInterval: Milliseconds
  peerTimeout: Milliseconds
}

/** Under the own prefix: one key for each instance. */
export const FRONT_KEYS = 'instances/'
/** Under the own prefix: one key for each host that ran an instance lately, whether or not it still does. */
export const HOST_KEYS = 'hosts/'

/** Reads the store whenever the schedule asks for it. */
export class CatalogLoop {
  private _timer: NodeJS.Timeout | undefined
  private _isReading = false
  private _isAskingPeer = false
  private _isStopped = false
  private _askedPeerAt: Milliseconds = -Infinity
  private _isStoreReachable = true
  private _ownValues: readonly VersionedValue[] = []
  /** The store's revision that a peer's catalog, taken while the store was away, reached. */
  private _peerRevision = 0

  /**
   * @param seeds control addresses that are asked while no peer is known
   * @param _onChange told of each changed belief
   */
  constructor (
    private readonly _state: GatewayState,
    private readonly _source: CatalogSource,
    private readonly _settings: CatalogLoopSettings,
    public seeds: readonly string[],
    private readonly _onChange: (change: CatalogChange) => void
  ) {}

  /** This project's own values at the last read. */
  get ownValues (): readonly VersionedValue[] {
    return this._ownValues
  }

  /** Starts, and goes on until stopped. */
  start (): void {
    this._state.log.detach('catalog', this._read(undefined))
  }

  /** Stops after the read that is under way. */
  stop (): void {
    this._isStopped = true
    clearTimeout(this._timer)
  }

  /** Takes what a peer tells of its copy of the store, and reads the store where the own copy is behind. */
  hear (news: CatalogStatus, peer: FrontRecord | undefined): void {
    const { readSchedule, mirror, catalog, log, suspensionAwareNow: suspensionAwareNow } = this._state
    if (this._isStopped) return
    if (news.told !== undefined && news.changedAt > mirror.reach) this._takeTold(news, news.told)
    const verdict = readSchedule.onPeerStatus(news, mirror.reach, suspensionAwareNow())
    if (verdict === 'confirmed') catalog.confirm(readSchedule.currentAsOf)
    if (verdict !== 'behind' || this._isReading) return
    if (!readSchedule.mayRead(suspensionAwareNow())) log.detach('peer-catalog', this._askPeer(peer))
    // Who reads the store told of something that it could not tell in full.
    else if (news.told !== undefined) log.detach('catalog', this._read(peer))
    else this._schedule()
  }

  private _takeTold ({ changedAt, age }: CatalogStatus, told: PeerChanges): void {
    const { mirror, catalog, log, suspensionAwareNow: suspensionAwareNow } = this._state
    const now = suspensionAwareNow()
    const before = mirror.reach
    if (!mirror.applyPeerChanges(told, changedAt, now)) return
    log.decision('store-changes-told', { before, reach: mirror.reach, changes: told.changes.length, age })
    const { catalog: listing } = this._source.decode(mirror.values)
    this._take(catalog.applyListing(listing, Math.max(catalog.listedAt, now - age - MESSAGE_DELAY_MARGIN), now))
  }

  /** @param peer who is asked where the store does not answer */
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
    const askedAt = this._state.suspensionAwareNow()
    const before = this._state.mirror.revision
    const failure = await this._readStore()
    this._noteRead(askedAt, before, peer?.name, failure)
    this._noteStore(failure === undefined, failure ?? '')
    if (failure === undefined) {
      this._takeMirror(askedAt)
      return
    }
    this._state.readSchedule.onFailure(this._state.random.next(), this._state.suspensionAwareNow())
    await this._askPeer(peer)
  }

  private _noteRead (askedAt: Milliseconds, before: number, peer: string | undefined, failure: string | undefined): void {
    const { log, metrics, mirror, readSchedule, suspensionAwareNow: suspensionAwareNow } = this._state
    metrics.count('store_reads_total', peer === undefined ? 'due' : 'told')
    log.decision('store-read', {
      toldBy: peer,
      age: Math.round(askedAt - readSchedule.currentAsOf),
      before,
      revision: mirror.revision,
      changedAt: mirror.changedAt,
      took: Math.round(suspensionAwareNow() - askedAt),
      failure
    })
  }

  private _schedule (): void {
    clearTimeout(this._timer)
    if (this._isStopped) return
    // News may have moved the next read on meanwhile.
    this._timer = setTimeout(() => {
      if (this._untilDue() <= 0) this._state.log.detach('catalog', this._read(undefined))
      else this._schedule()
    }, Math.max(1, this._untilDue()))
  }

  private _untilDue (): Milliseconds {
    const { readSchedule, catalog, fronts, now, suspensionAwareNow: suspensionAwareNow } = this._state
    const { name } = fronts.self
    const instances = [name, ...fronts.livePeers(now()).map(peer => peer.name)]
    return readSchedule.nextReadAt(name, instances, catalog.recheckAt) - suspensionAwareNow()
  }

  /** Brings the mirror up to date; gives the reason where that failed. */
  private async _readStore (): Promise<string | undefined> {
    const { mirror, log, suspensionAwareNow: suspensionAwareNow } = this._state
    if (mirror.revision > 0) {
      const changes = await this._source.changesSince(mirror.revision)
      if (changes.isErr) return changes.error.message
      if (changes.value !== undefined && mirror.applyChanges(changes.value, suspensionAwareNow())) return undefined
      log.change('store-history-missing', { revision: mirror.revision, reached: changes.value?.revision })
    }
    const snapshot = await this._source.list()
    if (snapshot.isErr) return snapshot.error.message
    mirror.applyListing(snapshot.value)
    return undefined
  }

  private _takeMirror (askedAt: Milliseconds): void {
    const { mirror, catalog, fronts, crashes, readSchedule, now, suspensionAwareNow: suspensionAwareNow } = this._state
    const { catalog: listing, own } = this._source.decode(mirror.values)
    this._ownValues = own
    readSchedule.onRead(askedAt)
    this._take(catalog.applyListing(listing, askedAt, suspensionAwareNow()))
    fronts.applyRecords(this._frontRecords(own), now())
    fronts.applyHosts(this._named(HOST_KEYS).map(({ name }) => name))
    crashes.applyBlocks(this._named(CRASH_KEYS).map(({ name, revision }) => ({ fingerprint: name, revision })), now())
  }

  private async _askPeer (peer: FrontRecord | undefined): Promise<void> {
    if (this._isAskingPeer || this._state.now() - this._askedPeerAt < this._settings.peerInterval) return
    this._isAskingPeer = true
    this._askedPeerAt = this._state.now()
    try {
      await this._askPeerOnce(peer)
    } finally {
      this._isAskingPeer = false
    }
  }

  private async _askPeerOnce (peer: FrontRecord | undefined): Promise<void> {
    const { fronts, now, suspensionAwareNow: suspensionAwareNow, random, catalog, mirror, readSchedule } = this._state
    const isStarting = catalog.routes === undefined
    if (!isStarting && !readSchedule.isBehind(Math.max(mirror.reach, this._peerRevision))) return
    const known = fronts.livePeers(now()).map(({ controlAddress }) => controlAddress)
    const addresses = (known.length > 0 ? known : this.seeds).filter(address => address !== fronts.self.controlAddress)
    if (addresses.length === 0) return
    const address = peer?.controlAddress ?? random.pick(addresses)
    try {
      const askedAt = suspensionAwareNow()
      const listing = await askPeerListing(address, this._settings.peerTimeout)
      this._peerRevision = Math.max(this._peerRevision, listing.revision)
      fronts.addPeers(listing.fronts, now())
      this._take(catalog.applyPeerListing(listing.catalog, askedAt, suspensionAwareNow()))
    } catch (error) {
      this._state.log.decision('peer-listing-failed', { address, detail: String(error) })
    }
  }

  /** The last parts of own keys that begin so. */
  private _named (keys: string): { name: string, revision: number }[] {
    const prefix = `${this._source.ownPrefix}${keys}`
    const found = this._ownValues.filter(({ key }) => key.startsWith(prefix))
    return found.map(({ key, revision }) => ({ name: key.slice(prefix.length), revision }))
  }

  private _frontRecords (own: readonly VersionedValue[]): FrontRecord[] {
    const prefix = `${this._source.ownPrefix}${FRONT_KEYS}`
    const records: FrontRecord[] = []
    for (const { key, value } of own) {
      if (!key.startsWith(prefix)) continue
      const record = parseRecord(value)
      if (record === undefined) this._state.log.decision('instance-record-unreadable', { key })
      else records.push(record)
    }
    return records
  }

  private _take (changes: readonly CatalogChange[]): void {
    for (const change of changes) this._onChange(change)
  }

  private _noteStore (isReachable: boolean, detail: string): void {
    if (isReachable === this._isStoreReachable) return
    this._isStoreReachable = isReachable
    const { log, suspensionAwareNow: suspensionAwareNow, catalog } = this._state
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
