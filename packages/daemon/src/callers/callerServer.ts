/** HTTP for callers: which hosts to use, completions and calls. */
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { PassThrough } from 'node:stream'
import { bodyParser } from '@koa/bodyparser'
import Router from '@koa/router'
import Koa, { type Context } from 'koa'
import {
  rankByRendezvous, RefusalError,
  type MemberTable, type OrderedPart
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type {
  AcceptedRequest, ClaimedRunner, ModelAnswer, ModelRunner, RequestAdmission, ServiceRunner
} from '../serving/index.js'
import type { Logger, Metrics } from '../telemetry/index.js'
import type { RequestReader } from './requestReader.js'

const BODY_LIMIT = '4mb'
const HOSTS_KEEP_SECONDS = 10
const SHUTDOWN_RETRY_AFTER = 100
const MILLISECONDS_PER_SECOND = 1_000

/** What the caller server works with. */
export interface CallerServerParts {
  reader: RequestReader
  models: ModelRunner
  services: ServiceRunner
  claimed: ClaimedRunner
  members: MemberTable
  admission: RequestAdmission
  clock: Clock
  metrics: Metrics
  logger: Logger
}

/** Listens for callers. */
export class CallerServer {
  private readonly _server: http.Server
  private _isLeaving = false

  /** @param _parts collaborators */
  constructor (private readonly _parts: CallerServerParts) {
    const application = new Koa()
    application.silent = true
    application.use(async (context, next) => { await this._answerRefusals(context, next) })
    application.use(bodyParser({ enableTypes: ['json'], jsonLimit: BODY_LIMIT }))
    application.use(this._routes())
    this._server = http.createServer(application.callback())
  }

  /** Starts listening; gives the port. */
  async start (bindAddress: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, bindAddress, resolve)
    })
    return (this._server.address() as AddressInfo).port
  }

  /** Refuses new work from now on. */
  leave (): void {
    this._isLeaving = true
  }

  /** Closes once what runs has ended. */
  async stop (): Promise<void> {
    await new Promise<void>(resolve => {
      this._server.close(() => { resolve() })
      this._server.closeIdleConnections()
    })
  }

  private _routes (): Koa.Middleware {
    const router = new Router()
    router.get('/v1/hosts', context => { this._answerHosts(context) })
    router.post('/v1/completions', async context => { await this._complete(context) })
    router.post('/v1/calls/:kind', async context => { await this._call(context) })
    return router.routes() as unknown as Koa.Middleware
  }

  private _answerHosts (context: Context): void {
    const self = this._parts.members.self
    const live = this._parts.members.members.filter(member => member.state === 'alive')
    const affinity = typeof context.query.affinity === 'string' ? context.query.affinity : ''
    const near = live.filter(member => member.dataCentre === self.dataCentre).map(member => member.callerAddress)
    const far = live.filter(member => member.dataCentre !== self.dataCentre).map(member => member.callerAddress)
    context.body = {
      hosts: [...rankByRendezvous(affinity, near), ...rankByRendezvous(affinity, far)],
      keepSeconds: HOSTS_KEEP_SECONDS
    }
  }

  private async _complete (context: Context): Promise<void> {
    const request = unwrap(this._parts.reader.readCompletion(context, this._parts.clock.monotonic()))
    await this._admitted(context, request.accepted, async () => {
      if (request.accepted.kind.treatment !== 'idempotent') await this._answerClaimed(context, request.accepted)
      else if (request.isStreamed) await this._answerStreamed(context, request.accepted)
      else await this._answerWhole(context, request.accepted)
    })
  }

  private async _call (context: Context): Promise<void> {
    const request = unwrap(this._parts.reader.readCall(context, String(context.params.kind), this._parts.clock.monotonic()))
    await this._admitted(context, request, async () => {
      if (request.kind.treatment !== 'idempotent') return await this._answerClaimed(context, request)
      const answer = unwrap(await this._parts.services.callWithRetries(request, new AbortController().signal))
      answerKept(context, answer)
    })
  }

  private async _admitted (context: Context, request: AcceptedRequest, perform: () => Promise<void>): Promise<void> {
    const { admission, metrics, clock } = this._parts
    const workspace = request.workspace.name
    metrics.count('requests', workspace, request.kind.name)
    if (this._isLeaving) throw this._leavingRefusal()
    const ticket = await admission.enter(request, abortWithCaller(context))
    if (ticket.isErr) metrics.count('refusals', workspace, request.kind.name)
    const { leave } = unwrap(ticket)
    metrics.time('queue-wait', workspace, request.kind.name, clock.monotonic() - request.receivedAt)
    try {
      await perform()
      metrics.time('whole-answer', workspace, request.kind.name, clock.monotonic() - request.receivedAt)
      leave()
    } catch (error) {
      leave(error)
      throw error
    }
  }

  private async _answerClaimed (context: Context, request: AcceptedRequest): Promise<void> {
    answerKept(context, unwrap(await this._parts.claimed.run(request)))
  }

  private async _answerWhole (context: Context, request: AcceptedRequest): Promise<void> {
    const answer = unwrap(await this._parts.models.run(request, () => {}, abortWithCaller(context)))
    context.body = completionBody(request, answer)
  }

  /** The stream starts with the first token; until then a refusal is still an ordinary answer. */
  private async _answerStreamed (context: Context, request: AcceptedRequest): Promise<void> {
    const stream = new PassThrough()
    let isStarted = false
    const deliver = (part: OrderedPart) => {
      if (!isStarted) startStream(context, stream)
      isStarted = true
      writeEvent(stream, { id: request.requestId, object: 'text_completion', choices: [{ index: 0, text: part.text }] })
    }
    const answer = await this._parts.models.run(request, deliver, abortWithCaller(context))
    if (answer.isErr && !isStarted) throw answer.error
    if (answer.isErr) writeEvent(stream, { error: refusalBody(answer.error) })
    else {
      if (!isStarted) startStream(context, stream)
      writeEvent(stream, { ...completionBody(request, answer.value), choices: [{ index: 0, text: '', finish_reason: 'stop' }] })
    }
    stream.end('data: [DONE]\n\n')
  }

  private async _answerRefusals (context: Context, next: Koa.Next): Promise<void> {
    try {
      await next()
    } catch (error) {
      const refusal = toRefusal(error)
      if (refusal.status >= 500) this._parts.logger.warn('refused', { refusal: refusal.kind, problem: refusal.problem })
      context.status = refusal.status
      if (refusal.retryAfter !== undefined) {
        context.set('Retry-After', String(Math.ceil(refusal.retryAfter / MILLISECONDS_PER_SECOND)))
      }
      context.body = { error: refusalBody(refusal) }
    }
  }

  private _leavingRefusal (): RefusalError {
    const others = this._parts.members.live
      .filter(member => member.host !== this._parts.members.self.host)
      .map(member => member.callerAddress)
    return new RefusalError('shutting-down', 503, true,
      'This host is leaving', `Use another host: ${others.join(', ')}`, SHUTDOWN_RETRY_AFTER)
  }
}

function unwrap<Value> (result: { isOk: true, value: Value } | { isOk: false, error: RefusalError }): Value {
  if (result.isOk) return result.value
  throw result.error
}

function toRefusal (error: unknown): RefusalError {
  if (error instanceof RefusalError) return error
  const status = (error as { status?: number }).status ?? 500
  if (status === 413) {
    return new RefusalError('body-too-large', 413, true, 'The body is too large', `Send at most ${BODY_LIMIT}`)
  }
  if (status >= 400 && status < 500) {
    return new RefusalError('invalid-request', status, true, 'The request is malformed', 'Send a JSON object with its content type')
  }
  return new RefusalError('service-unavailable', 500, 'unknown', 'The instance failed on this request', 'Tell your operator the time and the request')
}

function refusalBody (refusal: RefusalError): object {
  return {
    type: refusal.kind,
    message: refusal.problem,
    remedy: refusal.remedy,
    notRun: refusal.notRun,
    ...(refusal.retryAfter === undefined ? {} : { retryAfterMilliseconds: refusal.retryAfter })
  }
}

function completionBody (request: AcceptedRequest, answer: ModelAnswer): object {
  return {
    id: request.requestId,
    object: 'text_completion',
    choices: [{ index: 0, text: answer.text, finish_reason: 'stop' }],
    weight_version: answer.weightVersion,
    usage: {
      prompt_tokens: answer.promptTokens,
      completion_tokens: answer.tokenCount,
      cached_tokens: answer.cachedTokens,
      imported_blocks: answer.importedBlocks
    }
  }
}

function answerKept (context: Context, answer: { status: number, body: string }): void {
  context.status = answer.status
  context.type = 'application/json'
  context.body = answer.body
}

function startStream (context: Context, stream: PassThrough): void {
  context.respond = false
  context.res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
  stream.pipe(context.res)
}

function writeEvent (stream: PassThrough, event: object): void {
  stream.write(`data: ${JSON.stringify(event)}\n\n`)
}

function abortWithCaller (context: Context): AbortSignal {
  const controller = new AbortController()
  context.res.on('close', () => { if (!context.res.writableFinished) controller.abort() })
  return controller.signal
}
