/** Keeps the catalog up to date with the store, and with peers while the store does not answer. */
import { frontRecordSchema, type CatalogChange, type FrontRecord, type Milliseconds, type VersionedValue } from '@wasabihead/coordination'
import type { CatalogSource } from '../protocol/index.js'
import { askPeerListing } from '../peers/index.js'
import type { GatewayState } from '../requests/index.js'

/** Settings of the loop. */
export interface CatalogLoopSettings {
  /** Between the beginnings of two listings. */
  interval: Milliseconds
  /** After a listing that failed. */
  retryDelay: Milliseconds
  peerTimeout: Milliseconds
}

/** Under the own prefix: one key for each instance. */
export const FRONT_KEYS = 'instances/'

/** Lists the store again and again. */
export class CatalogLoop {
  private _timer: NodeJS.Timeout | undefined
  private _isStopped = false
  private _isStoreReachable = true
  private _ownValues: readonly VersionedValue[] = []

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

  /** This project's own values at the last listing. */
  get ownValues (): readonly VersionedValue[] {
    return this._ownValues
  }

  /** Starts, and goes on until stopped. */
  start (): void {
    this._state.log.detach('catalog', this._round())
  }

  /** Stops after the listing that is under way. */
  stop (): void {
    this._isStopped = true
    clearTimeout(this._timer)
  }

  private async _round (): Promise<void> {
    const begin = this._state.now()
    const isListed = await this._list(begin)
    if (this._isStopped) return
    const elapsed = this._state.now() - begin
    const delay = isListed ? Math.max(0, this._settings.interval - elapsed) : this._settings.retryDelay
    this._timer = setTimeout(() => { this.start() }, delay)
  }

  private async _list (askedAt: Milliseconds): Promise<boolean> {
    const listing = await this._source.list()
    const now = this._state.now()
    if (listing.isErr) {
      this._noteStore(false, listing.error.message)
      await this._askPeer()
      return false
    }
    this._noteStore(true, '')
    this._ownValues = listing.value.own
    this._take(this._state.catalog.applyListing(listing.value.catalog, askedAt, now))
    this._state.fronts.applyRecords(this._frontRecords(listing.value.own), now)
    return true
  }

  private async _askPeer (): Promise<void> {
    const { fronts, now, random, catalog } = this._state
    const known = fronts.livePeers(now()).map(({ controlAddress }) => controlAddress)
    const addresses = (known.length > 0 ? known : this.seeds).filter(address => address !== fronts.self.controlAddress)
    if (addresses.length === 0) return
    const address = random.pick(addresses)
    try {
      const listing = await askPeerListing(address, this._settings.peerTimeout)
      fronts.learn(listing.fronts, now())
      this._take(catalog.applyPeerListing(listing.catalog, now()))
    } catch (error) {
      this._state.log.decision('peer-listing-failed', { address, detail: String(error) })
    }
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
    const { log, now, catalog } = this._state
    log.change(isReachable ? 'store-regained' : 'store-lost', { detail, catalogAge: Math.round(now() - catalog.listedAt) })
  }
}

function parseRecord (text: string): FrontRecord | undefined {
  try {
    return frontRecordSchema.parse(JSON.parse(text))
  } catch {
    return undefined
  }
}
