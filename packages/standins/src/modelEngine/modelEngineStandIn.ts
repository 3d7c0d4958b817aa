/** Stand-in for a model engine: streams a deterministic answer and caches, exports and imports prefix blocks. */
import { createHash } from 'node:crypto'
import { PassThrough } from 'node:stream'
import type { Context } from 'koa'
import { z } from 'zod'
import { delay, StandInServer } from '../common/standInServer.js'
import { EngineCache } from './engineCache.js'

const BYTES_PER_TOKEN = 4
/** A prompt that contains this text crashes the engine. */
const CRASH_MARKER = 'CRASH-THE-ENGINE'

const completionSchema = z.object({
  request_id: z.string(),
  model: z.string(),
  weight_version: z.string(),
  prompt: z.string(),
  max_tokens: z.number().int().positive(),
  block_keys: z.array(z.string()),
  block_tokens: z.number().int().positive().default(2_000),
  resume_after_tokens: z.number().int().nonnegative().default(0)
})
type Completion = z.infer<typeof completionSchema>

const exportSchema = z.object({ block_key: z.string(), store: z.string() })
const importSchema = z.object({ block_key: z.string(), generation: z.number(), digest: z.string(), store: z.string() })
const orderSchema = z.object({
  fencing_number: z.number().int(),
  model: z.string(),
  weight_version: z.string(),
  adapters: z.array(z.string()),
  role: z.string()
})
type Order = z.infer<typeof orderSchema>

/** Settings of an engine stand-in. */
export interface ModelEngineSettings {
  /** Loaded until an order changes it. */
  model: string
  /** Loaded until an order changes it. */
  weightVersion: string
  /** Capacity of the prefix cache. */
  cacheBlocks: number
  /** Delay before each token of an answer. */
  tokenDelayMilliseconds: number
  /** Speed at which the tokens of a prompt that are not cached are processed. */
  prefillTokensPerSecond: number
  /** Time to load other weights after an order; completions are refused meanwhile. */
  loadMilliseconds: number
  /** Time from a crash until calls are answered again. */
  restartMilliseconds: number
  /** Whether an order with a lower fencing number than the last one is rejected. */
  checksFencing: boolean
}

/** A crash empties the cache, closes all connections without an answer, and makes the engine unavailable for its restart time. */
export class ModelEngineStandIn extends StandInServer {
  private readonly _cache: EngineCache
  private readonly _runningStreams = new Map<string, PassThrough>()
  private _incarnation = Date.now()
  private _loadReportSequence = 0
  private _isRestarting = false
  private _isLoading = false
  private _crashes = 0
  private _completions = 0
  private _order: Order

  constructor (private readonly _settings: ModelEngineSettings) {
    super()
    this._cache = new EngineCache(_settings.cacheBlocks)
    this._order = {
      fencing_number: 0,
      model: _settings.model,
      weight_version: _settings.weightVersion,
      adapters: [],
      role: 'serve'
    }
    this.router.use(async (context, next) => {
      if (this._isRestarting && !context.path.startsWith('/standin/')) return context.throw(503, 'restarting')
      await next()
    })
    this.router.post('/v1/completions', context => { this._complete(context) })
    this.router.post('/v1/cancel', context => { this._cancel(context) })
    this.router.get('/load', context => { context.body = this._createLoadReport() })
    this.router.get('/cache/events', context => { context.body = this._listCacheEvents(Number(context.query.after ?? 0)) })
    this.router.get('/cache/blocks', context => { context.body = this._createCacheSnapshot() })
    this.router.post('/cache/export', async context => { await this._export(context) })
    this.router.post('/cache/import', async context => { await this._import(context) })
    this.router.post('/order', context => { this._applyOrder(context) })
    this.router.get('/state', context => { context.body = this._describeState() })
    this.router.get('/standin/counts', context => { context.body = { crashes: this._crashes, completions: this._completions } })
  }

  private _complete (context: Context): void {
    const request = completionSchema.parse(context.request.body)
    if (request.model !== this._order.model || request.weight_version !== this._order.weight_version) {
      return context.throw(409, 'this model or weight version is not loaded')
    }
    if (this._isLoading) return context.throw(503, 'loading weights')
    this._completions += 1
    if (request.prompt.includes(CRASH_MARKER)) return this._crash()
    const stream = new PassThrough()
    context.type = 'text/event-stream'
    context.body = stream
    this._runningStreams.set(request.request_id, stream)
    stream.on('close', () => this._runningStreams.delete(request.request_id))
    this._stream(request, stream).catch(() => stream.destroy())
  }

  private async _stream (request: Completion, stream: PassThrough): Promise<void> {
    const promptTokens = Math.ceil(Buffer.byteLength(request.prompt) / BYTES_PER_TOKEN)
    const cachedBlocks = this._cache.countCachedPrefix(request.block_keys)
    const cachedTokens = Math.min(promptTokens, cachedBlocks * request.block_tokens)
    await delay((promptTokens - cachedTokens) / this._settings.prefillTokensPerSecond * 1_000)
    this._cache.hold(request.block_keys)
    const tokens = answerTokens(request.prompt, request.max_tokens)
    for (let sequence = request.resume_after_tokens; sequence < tokens.length; sequence++) {
      await delay(this._settings.tokenDelayMilliseconds)
      if (stream.destroyed) return
      const choices = [{ index: 0, text: tokens[sequence] }]
      sendEvent(stream, { id: request.request_id, sequence, weight_version: request.weight_version, choices })
    }
    const usage = { prompt_tokens: promptTokens, completion_tokens: tokens.length, cached_tokens: cachedTokens }
    sendEvent(stream, { id: request.request_id, weight_version: request.weight_version, usage })
    stream.end('data: [DONE]\n\n')
  }

  private _cancel (context: Context): void {
    const { request_id: requestId } = z.object({ request_id: z.string() }).parse(context.request.body)
    this._runningStreams.get(requestId)?.destroy()
    context.body = {}
  }

  private _createLoadReport (): object {
    this._loadReportSequence += 1
    return {
      incarnation: this._incarnation,
      sequence: this._loadReportSequence,
      running_requests: this._runningStreams.size,
      queued_requests: 0,
      queued_prompt_tokens: 0
    }
  }

  private _listCacheEvents (after: number): object {
    const events = this._cache.eventsAfter(after)
      .map(event => ({ sequence: event.sequence, change: event.change, block_key: event.blockKey }))
    return { incarnation: this._incarnation, last_sequence: this._cache.sequence, events }
  }

  private _createCacheSnapshot (): object {
    return { incarnation: this._incarnation, sequence: this._cache.sequence, block_keys: this._cache.blockKeys }
  }

  private async _export (context: Context): Promise<void> {
    const request = exportSchema.parse(context.request.body)
    if (!this._cache.has(request.block_key)) return context.throw(404, 'the block is not cached')
    const data = blockData(request.block_key)
    const digest = digestOf(data)
    const generationsUrl = `${request.store}/blocks/${request.block_key}/generations`
    const opened = await (await fetch(generationsUrl, { method: 'POST' })).json() as { generation: number }
    await fetch(`${generationsUrl}/${opened.generation}`, { method: 'PUT', body: data, headers: { 'content-type': 'text/plain' } })
    const committed = await fetch(`${generationsUrl}/${opened.generation}/commit`, {
      method: 'POST', body: JSON.stringify({ digest }), headers: { 'content-type': 'application/json' }
    })
    if (!committed.ok) return context.throw(502, 'the store did not commit the block')
    context.body = { generation: opened.generation, digest, size_bytes: data.length }
  }

  private async _import (context: Context): Promise<void> {
    const request = importSchema.parse(context.request.body)
    const answer = await fetch(`${request.store}/blocks/${request.block_key}/generations/${request.generation}`)
    if (!answer.ok) return context.throw(404, 'the store does not hold this generation of the block')
    const data = await answer.text()
    if (digestOf(data) !== request.digest || data !== blockData(request.block_key)) {
      return context.throw(422, 'the block does not match its digest')
    }
    this._cache.hold([request.block_key])
    context.body = {}
  }

  private _applyOrder (context: Context): void {
    const order = orderSchema.parse(context.request.body)
    if (this._settings.checksFencing && order.fencing_number < this._order.fencing_number) {
      return context.throw(409, 'the fencing number is lower than that of the last order')
    }
    const changesWeights = order.model !== this._order.model || order.weight_version !== this._order.weight_version
    this._order = order
    if (changesWeights) {
      this._isLoading = true
      setTimeout(() => { this._isLoading = false }, this._settings.loadMilliseconds)
    }
    context.body = this._describeState()
  }

  private _describeState (): object {
    return { incarnation: this._incarnation, loading: this._isLoading, ...this._order }
  }

  private _crash (): void {
    this._crashes += 1
    this._isRestarting = true
    this._cache.clear()
    this._runningStreams.clear()
    this.closeConnections()
    setTimeout(() => {
      this._incarnation = Math.max(Date.now(), this._incarnation + 1)
      this._loadReportSequence = 0
      this._isRestarting = false
    }, this._settings.restartMilliseconds)
  }
}

/** The tokens with which every replica answers a prompt, so that a test can verify that an answer is complete. */
export function answerTokens (prompt: string, maximumTokens: number): string[] {
  const digest = digestOf(prompt)
  return Array.from({ length: maximumTokens }, (_, index) => `${digest.slice(index % 56, index % 56 + 8)} `)
}

function sendEvent (stream: PassThrough, event: object): void {
  stream.write(`data: ${JSON.stringify(event)}\n\n`)
}

function blockData (blockKey: string): string {
  return `kv-cache of ${blockKey}\n`.repeat(64)
}

function digestOf (data: string): string {
  return createHash('sha256').update(data).digest('hex')
}
