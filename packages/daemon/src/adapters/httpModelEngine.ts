/** A model engine over HTTP: completions as server-sent events, and calls for cache, load, orders and state. */
import got from 'got'
import { createParser } from 'eventsource-parser'
import { Result } from 'true-myth'
import { z } from 'zod'
import {
  ModelEngine, PlatformAmbiguousError, WeightVersionRefusedError,
  type CacheEventBatch, type CacheSnapshot, type EngineOrder, type EnginePart, type EngineRequest, type EngineState,
  type LoadReport, type Milliseconds, type PlatformError, type StoredBlock
} from '@wasabihead/coordination'
import { callHttp, classifyFailure, statusError, type HttpCall } from './httpCalls.js'
import { httpConnections } from './httpConnections.js'

const CONNECT_TIMEOUT: Milliseconds = 1_000
const CALL_TIMEOUT: Milliseconds = 2_000
const TRANSFER_TIMEOUT: Milliseconds = 30_000
const END_OF_STREAM = '[DONE]'
const WEIGHT_VERSION_CONFLICT = 409

const partSchema = z.object({
  id: z.string(),
  weight_version: z.string(),
  sequence: z.number().optional(),
  choices: z.array(z.object({ text: z.string() })).default([]),
  usage: z.object({ prompt_tokens: z.number(), completion_tokens: z.number(), cached_tokens: z.number() }).optional()
})
const loadSchema = z.object({
  incarnation: z.number(),
  sequence: z.number(),
  running_requests: z.number(),
  queued_requests: z.number(),
  queued_prompt_tokens: z.number()
}).transform((load): LoadReport => ({
  incarnation: load.incarnation,
  sequence: load.sequence,
  runningRequests: load.running_requests,
  queuedRequests: load.queued_requests,
  queuedPromptTokens: load.queued_prompt_tokens
}))
const eventsSchema = z.object({
  incarnation: z.number(),
  last_sequence: z.number(),
  events: z.array(z.object({ sequence: z.number(), change: z.enum(['stored', 'removed']), block_key: z.string() }))
}).transform((batch): CacheEventBatch => ({
  incarnation: batch.incarnation,
  lastSequence: batch.last_sequence,
  events: batch.events.map(event => ({ sequence: event.sequence, change: event.change, blockKey: event.block_key }))
}))
const snapshotSchema = z.object({ incarnation: z.number(), sequence: z.number(), block_keys: z.array(z.string()) })
  .transform((snapshot): CacheSnapshot => ({
    incarnation: snapshot.incarnation, sequence: snapshot.sequence, blockKeys: snapshot.block_keys
  }))
const exportedSchema = z.object({ generation: z.number(), digest: z.string(), size_bytes: z.number() })
const stateSchema = z.object({
  incarnation: z.number(),
  fencing_number: z.number(),
  model: z.string(),
  weight_version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
  loading: z.boolean()
}).transform((state): EngineState => ({
  incarnation: state.incarnation,
  fencingNumber: state.fencing_number,
  model: state.model,
  weightVersion: state.weight_version,
  adapters: state.adapters,
  role: state.role,
  loading: state.loading
}))

/** Client of one model engine. */
export class HttpModelEngine extends ModelEngine {
  /** @param _address base URL of the engine */
  constructor (private readonly _address: string) {
    super()
  }

  override async * run (request: EngineRequest, signal: AbortSignal): AsyncIterable<EnginePart> {
    const url = `${this._address}/v1/completions`
    const stream = got.stream.post(url, {
      json: toWireRequest(request),
      signal,
      agent: { http: httpConnections.agentFor(url) },
      retry: { limit: 0 },
      timeout: { connect: CONNECT_TIMEOUT }
    })
    const parts: EnginePart[] = []
    const parser = createParser({ onEvent: event => { if (event.data !== END_OF_STREAM) parts.push(readPart(event.data)) } })
    try {
      for await (const chunk of stream) {
        parser.feed(String(chunk))
        yield * parts.splice(0)
      }
    } catch (error) {
      throw classifyStreamFailure(error, url)
    }
  }

  override async cancel (nonce: string): Promise<Result<void, PlatformError>> {
    // The run's connection, and others of its pool, may be silent, so the call uses a new one.
    const json = { request_id: nonce }
    const call = { method: 'POST', url: `${this._address}/v1/cancel`, timeout: CALL_TIMEOUT, json, isOnNewConnection: true } as const
    return (await this._send(call, z.unknown())).map(() => undefined)
  }

  override async readLoad (): Promise<Result<LoadReport, PlatformError>> {
    return await this._call('GET', '/load', loadSchema)
  }

  override async readCacheEvents (afterSequence: number): Promise<Result<CacheEventBatch, PlatformError>> {
    return await this._call('GET', `/cache/events?after=${afterSequence}`, eventsSchema)
  }

  override async readCacheSnapshot (): Promise<Result<CacheSnapshot, PlatformError>> {
    return await this._call('GET', '/cache/blocks', snapshotSchema)
  }

  override async exportBlock (blockKey: string, storeAddress: string): Promise<Result<StoredBlock, PlatformError>> {
    const request = { block_key: blockKey, store: storeAddress }
    const answer = await this._call('POST', '/cache/export', exportedSchema, request, TRANSFER_TIMEOUT)
    return answer.map(block => ({
      blockKey, generation: block.generation, digest: block.digest, sizeBytes: block.size_bytes
    }))
  }

  override async importBlock (block: StoredBlock, storeAddress: string): Promise<Result<void, PlatformError>> {
    const request = {
      block_key: block.blockKey, generation: block.generation, digest: block.digest, store: storeAddress
    }
    return (await this._call('POST', '/cache/import', z.unknown(), request, TRANSFER_TIMEOUT)).map(() => undefined)
  }

  override async order (order: EngineOrder): Promise<Result<EngineState, PlatformError>> {
    return await this._call('POST', '/order', stateSchema, {
      fencing_number: order.fencingNumber,
      model: order.model,
      weight_version: order.weightVersion,
      adapters: order.adapters,
      role: order.role
    })
  }

  override async readState (): Promise<Result<EngineState, PlatformError>> {
    return await this._call('GET', '/state', stateSchema)
  }

  override async probe (timeout: Milliseconds): Promise<Result<EngineState, PlatformError>> {
    return await this._send({ method: 'GET', url: `${this._address}/state`, timeout, isOnNewConnection: true }, stateSchema)
  }

  override dropConnections (): void {
    httpConnections.drop(this._address)
  }

  private async _call<Schema extends z.ZodType> (
    method: 'GET' | 'POST', path: string, schema: Schema, json?: object, timeout: Milliseconds = CALL_TIMEOUT
  ): Promise<Result<z.infer<Schema>, PlatformError>> {
    const url = this._address + path
    return await this._send({ method, url, timeout, ...(json === undefined ? {} : { json }) }, schema)
  }

  private async _send<Schema extends z.ZodType> (
    call: HttpCall, schema: Schema
  ): Promise<Result<z.infer<Schema>, PlatformError>> {
    const { url } = call
    const answer = await callHttp(call)
    return answer.andThen((http): Result<z.infer<Schema>, PlatformError> => {
      if (http.status !== 200) return Result.err(statusError(http, url))
      return Result.ok(schema.parse(JSON.parse(http.body)))
    })
  }
}

function toWireRequest (request: EngineRequest): object {
  return {
    request_id: request.nonce,
    model: request.model,
    weight_version: request.weightVersion,
    ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
    prompt: request.prompt,
    block_keys: request.blockKeys,
    block_tokens: request.blockTokens,
    max_tokens: request.maximumTokens,
    priority: request.priority,
    resume_after_tokens: request.resumeAfterTokens,
    stream: true
  }
}

function readPart (data: string): EnginePart {
  const part = partSchema.parse(JSON.parse(data))
  const common = { nonce: part.id, weightVersion: part.weight_version }
  if (part.usage !== undefined) {
    return {
      kind: 'end',
      ...common,
      tokenCount: part.usage.completion_tokens,
      promptTokens: part.usage.prompt_tokens,
      cachedTokens: part.usage.cached_tokens
    }
  }
  return { kind: 'token', ...common, sequence: part.sequence ?? 0, text: part.choices[0]?.text ?? '' }
}

function classifyStreamFailure (error: unknown, url: string): PlatformError {
  const status = (error as { response?: { statusCode?: number } }).response?.statusCode
  if (status === WEIGHT_VERSION_CONFLICT) {
    return new WeightVersionRefusedError(`${new URL(url).host} serves another weight version`, 'Use another replica')
  }
  if (status !== undefined) return statusError({ status, body: '', headers: {} }, url)
  if (error instanceof z.ZodError || error instanceof SyntaxError) {
    return new PlatformAmbiguousError(`${new URL(url).host} sent an invalid part`, 'Check the engine version')
  }
  return classifyFailure(error, url)
}
