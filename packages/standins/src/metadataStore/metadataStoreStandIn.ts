/**
 * Stand-in for the metadata store of the users' platform. Implements its published protocol: items, ranges, transactions on
 * several keys, leases, and the changes since a revision. A watch answers immediately, even if there is no change, because no
 * client in this repository relies on waiting for one. `restore` plays a drill: the store comes back from an older copy.
 */
import { z } from 'zod'
import { delay, StandInServer } from '../common/standInServer.js'

const LEASE_SWEEP_MILLISECONDS = 50
const PAGE_ITEMS = 500

const transactionSchema = z.object({
  expected: z.array(z.object({ key: z.string(), revision: z.number() })).default([]),
  puts: z.array(z.object({ key: z.string(), value: z.string(), lease: z.number().default(0) })).default([]),
  remove: z.array(z.string()).default([])
})
const leaseSchema = z.object({ ttl_ms: z.number().positive() })

interface Item {
  /** In base64, as on the wire. */
  value: string
  revision: number
  /** Revision at which the key was created. */
  created: number
  /** Id of the lease that the item expires with; 0 for none. */
  lease: number
}

interface Change {
  key: string
  revision: number
  value?: string
  deleted?: true
}

interface Lease {
  /** In milliseconds. */
  timeToLive: number
  /** On the clock of `performance.now()`. */
  endsAt: number
}

/** Everything that the store held at one time. */
export interface MetadataStoreCopy {
  revision: number
  nextLease: number
  items: ReadonlyMap<string, Item>
  history: readonly Change[]
  compactedRevision: number
  leases: ReadonlyMap<number, Lease>
}

/** Keeps items, leases and the history of changes in memory. */
export class MetadataStoreStandIn extends StandInServer {
  private _revision = 1
  private _nextLease = 1
  private _items = new Map<string, Item>()
  private _history: Change[] = []
  /** Changes up to this revision may be missing from the history; a watch from an older revision gets status 410. */
  private _compactedRevision = 1
  private _leases = new Map<number, Lease>()
  private _isAway = false
  private readonly _sweepTimer = setInterval(() => { this._expireLeases() }, LEASE_SWEEP_MILLISECONDS)

  /** Value of the header `Store-Era` in all answers; undefined for a store without it. A number rises with each `restore`. */
  era: number | string | undefined = 1

  constructor () {
    super()
    this.router.use(async (context, next) => {
      await next()
      if (this.era !== undefined) context.set('Store-Era', String(this.era))
    })
    this.router.get('/v1/kv-key', context => {
      const key = String(context.query.key)
      const item = this._items.get(key)
      context.status = item === undefined ? 404 : 200
      if (item !== undefined) context.body = { key, ...item, current_rev: this._revision }
    })
    this.router.get('/v1/kv-range', context => {
      const { path_prefix: prefix = '', after = '' } = context.query
      const keys = [...this._items.keys()].filter(key => key.startsWith(String(prefix)) && key > String(after)).sort()
      const items = keys.slice(0, PAGE_ITEMS).map(key => ({ key, ...this._items.get(key) }))
      context.body = { items, has_more: keys.length > PAGE_ITEMS, current_rev: this._revision }
    })
    this.router.get('/v1/kv-watch', context => {
      const { path_prefix: prefix = '', after = '0' } = context.query
      const isKnown = Number(after) >= this._compactedRevision && Number(after) <= this._revision
      context.status = isKnown ? 200 : 410
      if (context.status === 410) return
      const events = this._history.filter(({ key, revision }) => revision > Number(after) && key.startsWith(String(prefix)))
      context.body = { events, current_rev: this._revision }
    })
    this.router.post('/v1/kv-txn', context => {
      const transaction = transactionSchema.parse(context.request.body)
      const isAsExpected = transaction.expected.every(({ key, revision }) => (this._items.get(key)?.revision ?? 0) === revision)
      const hasLeases = transaction.puts.every(({ lease }) => lease === 0 || this._leases.has(lease))
      context.status = !isAsExpected ? 412 : hasLeases ? 200 : 404
      if (context.status !== 404) context.body = isAsExpected ? { revision: this._apply(transaction) } : { items: [] }
    })
    this.router.post('/v1/kv-lease', context => {
      const { ttl_ms: timeToLive } = leaseSchema.parse(context.request.body)
      const lease = this._nextLease++
      this._leases.set(lease, { timeToLive, endsAt: performance.now() + timeToLive })
      context.body = { lease, ttl_ms: timeToLive }
    })
    this.router.post('/v1/kv-keep/:id', context => {
      const lease = this._leases.get(Number(context.params.id))
      context.status = lease === undefined ? 404 : 200
      if (lease === undefined) return
      lease.endsAt = performance.now() + lease.timeToLive
      context.body = { ttl_ms: lease.timeToLive }
    })
  }

  /** Writes a value as JSON without a lease, in place of an operator or a replica. */
  put (key: string, value: object): void {
    this.putText(key, JSON.stringify(value))
  }

  /** Writes any text without a lease, in place of another writer. */
  putText (key: string, text: string): void {
    this._apply({ expected: [], puts: [{ key, value: Buffer.from(text).toString('base64'), lease: 0 }], remove: [] })
  }

  /** Removes a key. */
  remove (key: string): void {
    this._apply({ expected: [], puts: [], remove: [key] })
  }

  /** A copy to which `restore` can return. */
  copy (): MetadataStoreCopy {
    return {
      revision: this._revision,
      nextLease: this._nextLease,
      items: new Map(this._items),
      history: [...this._history],
      compactedRevision: this._compactedRevision,
      leases: new Map([...this._leases].map(([id, lease]) => [id, { ...lease }]))
    }
  }

  /**
   * Is away for a moment and comes back from a copy, in a new era: all that was written since is gone, leases too, and revisions
   * and leases are given out again. The leases of the copy begin anew.
   */
  async restore (copy: MetadataStoreCopy, away: number): Promise<void> {
    this._isAway = true
    this.setDown(true)
    this.closeConnections()
    await delay(away)
    const now = performance.now()
    this._revision = copy.revision
    this._nextLease = copy.nextLease
    this._items = new Map(copy.items)
    this._history = [...copy.history]
    this._compactedRevision = copy.compactedRevision
    this._leases = new Map([...copy.leases].map(([id, { timeToLive }]) => [id, { timeToLive, endsAt: now + timeToLive }]))
    if (typeof this.era === 'number') this.era += 1
    this._isAway = false
    this.setDown(false)
  }

  /** The value of a key, decoded from JSON; undefined where it does not exist. */
  get (key: string): unknown {
    const item = this._items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  /** Discards the history, so that clients which watch from an older revision get status 410 and have to list the items again. */
  compact (): void {
    this._history = []
    this._compactedRevision = this._revision
  }

  override async stop (): Promise<void> {
    clearInterval(this._sweepTimer)
    await super.stop()
  }

  private _apply ({ puts, remove }: z.infer<typeof transactionSchema>): number {
    this._revision += 1
    for (const key of remove) {
      if (this._items.delete(key)) this._history.push({ key, revision: this._revision, deleted: true })
    }
    for (const { key, value, lease } of puts) {
      const created = this._items.get(key)?.created ?? this._revision
      this._items.set(key, { value, lease, created, revision: this._revision })
      this._history.push({ key, value, revision: this._revision })
    }
    return this._revision
  }

  private _expireLeases (): void {
    if (this._isAway) return
    const now = performance.now()
    for (const [lease, { endsAt }] of this._leases) {
      if (now < endsAt) continue
      this._leases.delete(lease)
      const keys = [...this._items].filter(([, item]) => item.lease === lease).map(([key]) => key)
      if (keys.length > 0) this._apply({ expected: [], puts: [], remove: keys })
    }
  }
}
