/**
 * Stand-in for the platform's key-value service. Implements the parts of the published etcd v3 JSON protocol that the
 * adapter uses: ranges, transactions of one comparison and one operation, leases, and watches of one key.
 */
import { PassThrough } from 'node:stream'
import { z } from 'zod'
import { StandInServer } from '../common/standInServer.js'

const LEASE_SWEEP_MILLISECONDS = 100

const rangeSchema = z.object({ key: z.string(), range_end: z.string().optional() })
const compareSchema = z.object({ key: z.string(), mod_revision: z.coerce.number() })
const putSchema = z.object({ key: z.string(), value: z.string(), lease: z.coerce.number().default(0) })
const operationSchema = z.object({
  request_put: putSchema.optional(),
  request_delete_range: z.object({ key: z.string() }).optional()
})
const transactionSchema = z.object({ compare: z.array(compareSchema).length(1), success: z.array(operationSchema).length(1) })
const grantSchema = z.object({ TTL: z.coerce.number().positive() })
const keepAliveSchema = z.object({ ID: z.string() })
const watchSchema = z.object({ create_request: z.object({ key: z.string() }) })

interface Entry {
  /** In base64, as on the wire. */
  value: string
  revision: number
  /** Id of the lease that the entry expires with; 0 for none. */
  lease: number
}

interface Lease {
  timeToLiveSeconds: number
  /** Wall clock, in milliseconds. */
  expiresAt: number
}

/** Counts of calls since the start, as `/standin/counts` reports them to measurements. */
export interface KeyValueCounts {
  reads: number
  writes: number
  leaseCalls: number
  watches: number
}

/** Keeps entries in memory. Keys are stored decoded, so that ranges compare them; values stay in base64, as on the wire. */
export class KeyValueStandIn extends StandInServer {
  private _revision = 1
  private _nextLease = 1
  private readonly _entries = new Map<string, Entry>()
  private readonly _leases = new Map<number, Lease>()
  private readonly _watchers = new Map<string, Set<PassThrough>>()
  private readonly _counts: KeyValueCounts = { reads: 0, writes: 0, leaseCalls: 0, watches: 0 }
  private readonly _sweepTimer: NodeJS.Timeout

  constructor () {
    super()
    this._sweepTimer = setInterval(() => { this._expireLeases() }, LEASE_SWEEP_MILLISECONDS)
    this.router.post('/v3/kv/range', context => { context.body = this._range(rangeSchema.parse(context.request.body)) })
    this.router.post('/v3/kv/txn', context => {
      context.body = this._transact(transactionSchema.parse(context.request.body))
    })
    this.router.post('/v3/lease/grant', context => { context.body = this._grant(grantSchema.parse(context.request.body).TTL) })
    this.router.post('/v3/lease/keepalive', context => {
      context.body = this._keepAlive(keepAliveSchema.parse(context.request.body).ID)
    })
    this.router.post('/v3/watch', context => {
      context.type = 'application/json'
      context.body = this._watch(watchSchema.parse(context.request.body).create_request.key)
    })
    this.router.get('/standin/counts', context => { context.body = this._counts })
  }

  override async stop (): Promise<void> {
    clearInterval(this._sweepTimer)
    await super.stop()
  }

  private _range (request: z.infer<typeof rangeSchema>): object {
    this._counts.reads += 1
    const first = decode(request.key)
    const end = request.range_end === undefined ? undefined : decode(request.range_end)
    const names = [...this._entries.keys()].filter(name => end === undefined ? name === first : name >= first && name < end)
    const kvs = names.sort().map(name => this._wireEntry(name))
    return { header: this._header(), kvs, count: String(kvs.length) }
  }

  private _transact (transaction: z.infer<typeof transactionSchema>): object {
    this._counts.writes += 1
    const compare = transaction.compare[0] as z.infer<typeof compareSchema>
    const current = this._entries.get(decode(compare.key))?.revision ?? 0
    if (current !== compare.mod_revision) return { header: this._header(), succeeded: false }
    const operation = transaction.success[0] as z.infer<typeof operationSchema>
    if (operation.request_put !== undefined) this._put(operation.request_put)
    if (operation.request_delete_range !== undefined) this._entries.delete(decode(operation.request_delete_range.key))
    return { header: this._header(), succeeded: true }
  }

  private _put (put: z.infer<typeof putSchema>): void {
    const name = decode(put.key)
    this._revision += 1
    this._entries.set(name, { value: put.value, revision: this._revision, lease: put.lease })
    const line = JSON.stringify({ result: { header: this._header(), events: [{ kv: this._wireEntry(name) }] } })
    for (const stream of this._watchers.get(name) ?? []) stream.write(`${line}\n`)
  }

  private _grant (timeToLiveSeconds: number): object {
    this._counts.leaseCalls += 1
    const id = this._nextLease++
    this._leases.set(id, { timeToLiveSeconds, expiresAt: Date.now() + timeToLiveSeconds * 1_000 })
    return { header: this._header(), ID: String(id), TTL: String(timeToLiveSeconds) }
  }

  private _keepAlive (id: string): object {
    this._counts.leaseCalls += 1
    const lease = this._leases.get(Number(id))
    if (lease === undefined) return { result: { header: this._header(), ID: id, TTL: '0' } }
    lease.expiresAt = Date.now() + lease.timeToLiveSeconds * 1_000
    return { result: { header: this._header(), ID: id, TTL: String(lease.timeToLiveSeconds) } }
  }

  private _watch (key: string): PassThrough {
    this._counts.watches += 1
    const name = decode(key)
    const stream = new PassThrough()
    const watchers = this._watchers.get(name) ?? new Set()
    watchers.add(stream)
    this._watchers.set(name, watchers)
    stream.on('close', () => watchers.delete(stream))
    stream.write(`${JSON.stringify({ result: { header: this._header(), created: true } })}\n`)
    return stream
  }

  private _expireLeases (): void {
    const now = Date.now()
    for (const [id, lease] of this._leases) {
      if (lease.expiresAt > now) continue
      this._leases.delete(id)
      for (const [name, entry] of this._entries) {
        if (entry.lease === id) this._entries.delete(name)
      }
    }
  }

  private _wireEntry (name: string): object {
    const entry = this._entries.get(name) as Entry
    const lease = entry.lease === 0 ? {} : { lease: String(entry.lease) }
    return { key: encode(name), value: entry.value, mod_revision: String(entry.revision), ...lease }
  }

  private _header (): object {
    return { revision: String(this._revision) }
  }
}

function decode (base64: string): string {
  return Buffer.from(base64, 'base64').toString('utf8')
}

function encode (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}
