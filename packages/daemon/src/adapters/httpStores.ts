/** Cache stores, the weight store and the host list over HTTP. */
import { Result } from 'true-myth'
import { z } from 'zod'
import {
  CacheStore, HostList, WeightStore,
  type ListedHost, type Milliseconds, type PlatformError, type StoredBlock
} from '@wasabihead/coordination'
import { callHttp, statusError, type HttpCall } from './httpCalls.js'

const CALL_TIMEOUT: Milliseconds = 1_000

const lookUpSchema = z.object({
  blocks: z.array(z.object({
    block_key: z.string(), generation: z.number(), digest: z.string(), size_bytes: z.number()
  }))
})
const hostsSchema = z.object({
  hosts: z.array(z.object({ name: z.string(), address: z.string(), state: z.enum(['live', 'leaving']) }))
})
const versionsSchema = z.object({ versions: z.array(z.string()) })

/** Client of one cache store. */
export class HttpCacheStore extends CacheStore {
  /** @param _address base URL of the store */
  constructor (private readonly _address: string) {
    super()
  }

  override async lookUp (blockKeys: readonly string[]): Promise<Result<StoredBlock[], PlatformError>> {
    const call = { method: 'POST' as const, url: `${this._address}/blocks/look-up`, json: { block_keys: blockKeys } }
    const answer = await callForSchema({ ...call, timeout: CALL_TIMEOUT }, lookUpSchema)
    return answer.map(({ blocks }) => blocks.map(block => ({
      blockKey: block.block_key, generation: block.generation, digest: block.digest, sizeBytes: block.size_bytes
    })))
  }

  override async free (blockKey: string, generation: number): Promise<Result<void, PlatformError>> {
    const url = `${this._address}/blocks/${blockKey}/generations/${generation}`
    return (await callForSchema({ method: 'DELETE', url, timeout: CALL_TIMEOUT }, z.unknown())).map(() => undefined)
  }
}

/** Client of the weight store. */
export class HttpWeightStore extends WeightStore {
  /** @param _address base URL of the weight store */
  constructor (private readonly _address: string) {
    super()
  }

  override async listVersions (model: string): Promise<Result<string[], PlatformError>> {
    const url = `${this._address}/models/${model}/versions`
    return (await callForSchema({ method: 'GET', url, timeout: CALL_TIMEOUT }, versionsSchema)).map(({ versions }) => versions)
  }
}

/** Client of the platform's host list. */
export class HttpHostList extends HostList {
  /** @param _address base URL of the host list */
  constructor (private readonly _address: string) {
    super()
  }

  override async read (): Promise<Result<ListedHost[], PlatformError>> {
    const url = `${this._address}/hosts`
    return (await callForSchema({ method: 'GET', url, timeout: CALL_TIMEOUT }, hostsSchema)).map(({ hosts }) => hosts)
  }
}

async function callForSchema<Schema extends z.ZodType> (
  call: HttpCall, schema: Schema
): Promise<Result<z.infer<Schema>, PlatformError>> {
  const answer = await callHttp(call)
  return answer.andThen((http): Result<z.infer<Schema>, PlatformError> => {
    if (http.status !== 200) return Result.err(statusError(http, call.url))
    return Result.ok(schema.parse(JSON.parse(http.body)))
  })
}
