/** The platform's key-value service over the published etcd v3 JSON protocol. For another service, replace only this file. */
import { createInterface } from 'node:readline'
import got from 'got'
import { Result } from 'true-myth'
import { z } from 'zod'
import {
  KeyValueService, PlatformRefusedError,
  type CompareAndSwap, type CompareAndSwapOutcome, type Milliseconds, type PlatformError, type VersionedValue, type Watch
} from '@wasabihead/coordination'
import { callHttp, statusError } from './httpCalls.js'

const CALL_TIMEOUT: Milliseconds = 2_000
const MILLISECONDS_PER_SECOND = 1_000

const entrySchema = z.object({ key: z.string(), value: z.string().default(''), mod_revision: z.coerce.number() })
const rangeAnswerSchema = z.object({ kvs: z.array(entrySchema).default([]) })
const transactionAnswerSchema = z.object({
  header: z.object({ revision: z.coerce.number() }),
  succeeded: z.boolean().default(false)
})
const grantAnswerSchema = z.object({ ID: z.string() })
const keepAliveAnswerSchema = z.object({ result: z.object({ TTL: z.coerce.number().default(0) }) })
const watchLineSchema = z.object({
  result: z.object({
    events: z.array(z.object({ type: z.string().default('PUT'), kv: entrySchema })).default([])
  })
})

/** Client of the etcd v3 JSON protocol. Calls are not retried. */
export class EtcdKeyValueService extends KeyValueService {
  /** @param _address base URL of the service */
  constructor (private readonly _address: string) {
    super()
  }

  override async read (key: string): Promise<Result<VersionedValue | undefined, PlatformError>> {
    const answer = await this._call('/v3/kv/range', { key: encode(key) }, rangeAnswerSchema)
    return answer.map(range => range.kvs.map(toVersionedValue)[0])
  }

  override async list (prefix: string): Promise<Result<VersionedValue[], PlatformError>> {
    const request = { key: encode(prefix), range_end: encode(prefixEnd(prefix)) }
    const answer = await this._call('/v3/kv/range', request, rangeAnswerSchema)
    return answer.map(range => range.kvs.map(toVersionedValue))
  }

  override async compareAndSwap (write: CompareAndSwap): Promise<Result<CompareAndSwapOutcome, PlatformError>> {
    const lease = write.leaseId === undefined ? {} : { lease: write.leaseId }
    return await this._transact(write.key, write.expectedRevision, {
      request_put: { key: encode(write.key), value: encode(write.value), ...lease }
    })
  }

  override async remove (key: string, expectedRevision: number): Promise<Result<CompareAndSwapOutcome, PlatformError>> {
    return await this._transact(key, expectedRevision, { request_delete_range: { key: encode(key) } })
  }

  override async grantLease (timeToLive: Milliseconds): Promise<Result<string, PlatformError>> {
    const seconds = Math.ceil(timeToLive / MILLISECONDS_PER_SECOND)
    const answer = await this._call('/v3/lease/grant', { TTL: String(seconds) }, grantAnswerSchema)
    return answer.map(grant => grant.ID)
  }

  override async keepLeaseAlive (leaseId: string): Promise<Result<void, PlatformError>> {
    const answer = await this._call('/v3/lease/keepalive', { ID: leaseId }, keepAliveAnswerSchema)
    return answer.andThen(({ result }) => result.TTL > 0
      ? Result.ok<void, PlatformError>(undefined)
      : Result.err<void, PlatformError>(
        new PlatformRefusedError('The lease has expired', 'Acquire a new lease and register again')))
  }

  override watch (key: string, changed: (value: VersionedValue) => void, ended: () => void): Watch {
    const stream = got.stream.post(`${this._address}/v3/watch`, {
      json: { create_request: { key: encode(key) } }, retry: { limit: 0 }
    })
    let isStopped = false
    const end = () => {
      if (isStopped) return
      isStopped = true
      ended()
    }
    const lines = createInterface({ input: stream })
    lines.on('line', line => { readWatchLine(line).forEach(changed) })
    lines.on('error', end)
    stream.on('error', end)
    stream.on('close', end)
    return {
      stop: () => {
        isStopped = true
        stream.destroy()
      }
    }
  }

  private async _transact (
    key: string, expectedRevision: number, operation: object
  ): Promise<Result<CompareAndSwapOutcome, PlatformError>> {
    const compare = { key: encode(key), target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision) }
    const answer = await this._call('/v3/kv/txn', { compare: [compare], success: [operation] }, transactionAnswerSchema)
    return answer.map(({ succeeded, header }): CompareAndSwapOutcome =>
      succeeded ? { kind: 'won', revision: header.revision } : { kind: 'lost' })
  }

  private async _call<Schema extends z.ZodType> (
    path: string, json: object, schema: Schema
  ): Promise<Result<z.infer<Schema>, PlatformError>> {
    const url = this._address + path
    const answer = await callHttp({ method: 'POST', url, json, timeout: CALL_TIMEOUT })
    return answer.andThen((http): Result<z.infer<Schema>, PlatformError> => {
      if (http.status !== 200) return Result.err(statusError(http, url))
      return Result.ok(schema.parse(JSON.parse(http.body)))
    })
  }
}

function readWatchLine (line: string): VersionedValue[] {
  const parsed = watchLineSchema.safeParse(JSON.parse(line))
  if (!parsed.success) return []
  return parsed.data.result.events.filter(event => event.type === 'PUT').map(event => toVersionedValue(event.kv))
}

function toVersionedValue (entry: z.infer<typeof entrySchema>): VersionedValue {
  return { key: decode(entry.key), value: decode(entry.value), revision: entry.mod_revision }
}

function encode (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

function decode (base64: string): string {
  return Buffer.from(base64, 'base64').toString('utf8')
}

function prefixEnd (prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1)
  return prefix.slice(0, -1) + String.fromCharCode(last + 1)
}
