/** HTTP server for callers: lists of hosts, completions, service calls, and look-ups of claimed requests. */
import Router from '@koa/router'
import Koa, { type Context } from 'koa'
import { rankHosts, type MemberTable, type RefusalError } from '@wasabihead/coordination'
import { GuardedServer, jsonBody, type ServerTimeouts } from '../http/index.js'
import type { Clock } from '../instance/clock.js'
import type { CallerGuard } from '@wasabihead/http'
import {
  completionShapeOf,
  type AcceptedRequest, type ClaimedRunner, type ModelAnswer, type ModelRunner, type RequestAdmission, type ServiceRunner
} from '../serving/index.js'
import type { LogFields, Logger, Metrics } from '../telemetry/index.js'
import { readChatBody, readTextBody, type CompletionBody } from './completionBody.js'
import { abortOnDisconnect, EventStream } from './eventStream.js'
import {
  answerRefusal, leavingRefusal, notFoundRefusal, refusalBody, toRefusal, transportRefusalBody, unwrap
} from './refusals.js'
import type { RequestLookup } from './requestLookup.js'
import type { AuthenticatedCaller, RequestReader } from './requestReader.js'
import { TokenTimes } from './tokenTimes.js'

const BODY_LIMIT = '4mb'

/** Dependencies of the caller server. */
export interface CallerServerDependencies {
  reader: RequestReader
  models: Pick<ModelRunner, 'run'>
  services: Pick<ServiceRunner, 'callWithRetries'>
  claimed: Pick<ClaimedRunner, 'run'>
  lookup: RequestLookup
  members: MemberTable
  admission: RequestAdmission
  clock: Clock
  metrics: Metrics
  logger: Logger
  /** Bounds what connections hold; none if absent. */
  guard?: CallerGuard
}

interface CallerState {
  caller: AuthenticatedCaller
}

/** Serves callers who have a token of a workspace; `/v1/hosts` needs none. */
export class CallerServer {
  private readonly _server: GuardedServer
  private _isLeaving = false

  constructor (private readonly _dependencies: CallerServerDependencies, timeouts?: Partial<ServerTimeouts>) {
    const application = new Koa()
    application.silent = true
    application.use(async (context, next) => { await this._answerRefusals(context, next) })
    application.use(this._routes())
    application.use(() => { throw notFoundRefusal() })
    this._server = new GuardedServer(application.callback(), transportRefusalBody, timeouts, _dependencies.guard)
  }

  /** Starts listening; returns the port. Rejects if the address cannot be bound. */
  async start (bindAddress: string, port: number): Promise<number> {
    return await this._server.start(bindAddress, port)
  }

  /** Refuses new requests from now on, and closes each connection with its next answer. */
  leave (): void {
    this._isLeaving = true
    this._server.leave()
  }

  /** Resolves after the last answer, and after the grace period in which requests on open connections are refused as leaving. */
  async stop (): Promise<void> {
    await this._server.finish()
  }

  private _routes (): Koa.Middleware {
    const router = new Router()
    // A body is read only after its caller is authenticated.
    const authenticate = async (context: Context, next: Koa.Next): Promise<void> => {
      if (this._isLeaving) throw leavingRefusal(this._otherAddresses())
      context.state = { caller: unwrap(this._dependencies.reader.authenticate(context)) } satisfies CallerState
      await next()
    }
    const readBody = jsonBody(BODY_LIMIT)
    router.get('/v1/hosts', context => { this._answerHosts(context) })
    router.post('/v1/completions', authenticate, readBody, async context => {
      await this._complete(context, unwrap(readTextBody(context.request.body)))
    })
    router.post('/v1/chat/completions', authenticate, readBody, async context => {
      await this._complete(context, unwrap(readChatBody(context.request.body)))
    })
    router.post('/v1/calls/:kind', authenticate, readBody, async context => {
      await this._call(context, String(context.params.kind))
    })
    router.get('/v1/requests/:key', authenticate, async context => {
      context.body = await this._dependencies.lookup.read(
        (context.state as CallerState).caller.workspace, String(context.params.key))
    })
    return router.routes() as unknown as Koa.Middleware
  }

  private _answerHosts (context: Context): void {
    const { members } = this._dependencies
    context.body = rankHosts(members.members, {
      affinity: textOf(context.query.affinity) ?? '',
      model: textOf(context.query.model) ?? '',
      dataCentre: textOf(context.query.dataCentre) ?? members.self.dataCentre
    })
  }

  private async _complete (context: Context, body: CompletionBody): Promise<void> {
    const { reader, clock } = this._dependencies
    const { caller } = context.state as CallerState
    const request = unwrap(reader.readCompletion(context, caller, body, clock.monotonic()))
    await this._runAdmitted(context, request, async () => {
      if (request.kind.treatment !== 'idempotent') await this._answerClaimed(context, request)
      else if (body.isStreamed) await this._answerStreamed(context, request)
      else context.body = completionShapeOf(request).whole(request, await this._runWhole(context, request))
    })
  }

  private async _call (context: Context, kindName: string): Promise<void> {
    const { reader, clock, services } = this._dependencies
    const { caller } = context.state as CallerState
    const request = unwrap(reader.readCall(context, caller, kindName, clock.monotonic()))
    await this._runAdmitted(context, request, async () => {
      if (request.kind.treatment !== 'idempotent') await this._answerClaimed(context, request)
      else sendRawAnswer(context, unwrap(await services.callWithRetries(request, abortOnDisconnect(context))))
    })
  }

  private async _runAdmitted (context: Context, request: AcceptedRequest, perform: () => Promise<void>): Promise<void> {
    const { admission, metrics, clock } = this._dependencies
    const workspace = request.workspace.name
    metrics.count('requests', workspace, request.kind.name)
    const ticket = await admission.enter(request, abortOnDisconnect(context))
    if (ticket.isErr) this._recordRefusal(request, ticket.error)
    const { leave } = unwrap(ticket)
    metrics.time('queue-wait', workspace, request.kind.name, clock.monotonic() - request.receivedAt)
    try {
      await perform()
      const duration = clock.monotonic() - request.receivedAt
      metrics.time('whole-answer', workspace, request.kind.name, duration)
      this._dependencies.logger.debug('answered', { ...logFieldsOf(request), durationMilliseconds: Math.round(duration) })
      leave()
    } catch (error) {
      this._recordRefusal(request, toRefusal(error))
      leave(error)
      throw error
    }
  }

  private _recordRefusal (request: AcceptedRequest, refusal: RefusalError): void {
    this._dependencies.metrics.countRefusal(refusal.kind, request.workspace.name, request.kind.name)
    this._dependencies.logger.info('refused', { ...logFieldsOf(request), refusal: refusal.kind, status: refusal.status })
  }

  /** Claimed requests continue when their caller disconnects: the caller can fetch the answer with its idempotency key. */
  private async _answerClaimed (context: Context, request: AcceptedRequest): Promise<void> {
    sendRawAnswer(context, unwrap(await this._dependencies.claimed.run(request)))
  }

  private async _runWhole (context: Context, request: AcceptedRequest): Promise<ModelAnswer> {
    const times = new TokenTimes(this._dependencies.clock, this._dependencies.metrics, request)
    return unwrap(await this._dependencies.models.run(request, () => { times.onToken() }, abortOnDisconnect(context)))
  }

  private async _answerStreamed (context: Context, request: AcceptedRequest): Promise<void> {
    const shape = completionShapeOf(request)
    const stream = new EventStream(context)
    const times = new TokenTimes(this._dependencies.clock, this._dependencies.metrics, request)
    const deliver = (part: { text: string }): void => {
      times.onToken()
      stream.send(shape.part(request, part.text))
    }
    const answer = await this._dependencies.models.run(request, deliver, abortOnDisconnect(context))
    if (answer.isErr && !stream.hasBegun) throw answer.error
    if (answer.isErr) {
      this._recordRefusal(request, answer.error)
      stream.send({ error: refusalBody(answer.error) })
    } else stream.send(shape.end(request, answer.value))
    stream.end()
  }

  private async _answerRefusals (context: Context, next: Koa.Next): Promise<void> {
    try {
      await next()
    } catch (error) {
      const refusal = toRefusal(error)
      // The message of an unexpected error may contain text of the caller, so only its name is logged.
      if (refusal.status >= 500 && refusal !== error) {
        this._dependencies.logger.error('a request failed unexpectedly', {
          problem: error instanceof Error ? error.name : typeof error
        })
      }
      answerRefusal(context, refusal)
    }
  }

  private _otherAddresses (): string[] {
    const { members } = this._dependencies
    return members.live.filter(member => member.host !== members.self.host).map(member => member.callerAddress)
  }
}

function logFieldsOf (request: AcceptedRequest): LogFields {
  return { requestId: request.requestId, workspace: request.workspace.name, requestKind: request.kind.name }
}

function sendRawAnswer (context: Context, answer: { status: number, body: string }): void {
  context.status = answer.status
  context.type = 'application/json'
  context.body = answer.body
}

function textOf (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
