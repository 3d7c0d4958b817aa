/** Accepts requests over HTTP/1.1, reads them completely, and starts them; refuses those that have no route or exceed a limit. */
import http from 'node:http'
import { createHash } from 'node:crypto'
import {
  pathOf, readRequestTarget, type Milliseconds, type RequestTarget, type Route, type RouteMatch
} from '@wasabihead/coordination'
import { CheckedConnections, MeasuredResponse } from '@wasabihead/http'
import { BufferedBytes, type OwnedBytes } from '../channels/index.js'
import type { CallerHead } from '../protocol/index.js'
import type { CallerRequest } from './callerRequest.js'
import { withHost } from './forwardedHeaders.js'
import type { GatewayState } from './gatewayState.js'
import type { RefusalReason } from './refusals.js'
import { RequestRun } from './requestRun.js'

/** The HTTP parser's limit, which bounds that of the configuration; the latter is checked after parsing. */
const PARSER_MAXIMUM_HEADER_BYTES = 262_144
/** Used until a configuration with limits is loaded. */
const DEFAULT_IDLE_TIMEOUT: Milliseconds = 15_000
/** Limits on what identifies a request among those that crash replicas. */
const MAXIMUM_FEATURE_PARTS = 60
const MAXIMUM_FEATURE_LENGTH = 256

/** What the server adds to a request that it has accepted. */
export type RequestTerms = Pick<CallerRequest, 'head' | 'deadline' | 'relayed'>

/** A server for requests, with the connections that it keeps open. */
export abstract class RequestServer {
  protected readonly _server: http.Server
  private readonly _connections: CheckedConnections
  private readonly _runs = new Set<RequestRun>()
  /** Requests whose bodies are being read; each entry refuses one. */
  private readonly _reading = new Set<(reason: RefusalReason) => void>()
  private _isRefusing = false

  constructor (protected readonly _state: GatewayState) {
    this._server = http.createServer({
      ServerResponse: MeasuredResponse,
      maxHeaderSize: PARSER_MAXIMUM_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT,
      connectionsCheckingInterval: 1_000
    }, (request, response) => { this._accept(request, response) })
    const connections = this._connections = new CheckedConnections(this._server, _state.callerGuard)
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (error.code !== 'ECONNRESET') {
        _state.metrics.count('unreadable_requests_total', error.code)
        _state.log.decision('request-unreadable', { code: error.code, detail: error.message })
      }
      connections.refuse(error, socket, refusalOf(error))
    })
  }

  /** Number of requests that were read completely and are not yet answered. */
  get running (): number {
    return this._runs.size
  }

  /** Number of requests whose answer is not written out, those included that are still being read. */
  get unanswered (): number {
    return this._connections.unanswered
  }

  /** Starts listening. */
  async listen (host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen({ host, port, backlog: 1_024 }, resolve)
    })
  }

  /** Makes each answer from now on close its connection. */
  disableKeepAlive (): void {
    this._connections.closeAfterAnswers()
  }

  /** Stops accepting connections, and refuses requests that are new, still being read, or waiting to be sent. */
  refuseNewRequests (): void {
    if (this._isRefusing) return
    this._isRefusing = true
    this._connections.stopListening()
    for (const refuse of this._reading) refuse('leaving')
    for (const run of this._runs) run.endIfWaiting()
  }

  /** Closes connections on which no request is being served. */
  closeIdleConnections (): void {
    this._connections.closeIdle()
  }

  /** Ends the requests that cannot wait for their replicas any longer, since the process is about to exit. */
  endLateRequests (): void {
    for (const run of this._runs) run.endIfLate()
  }

  /** Why a request is refused before it is matched to a route; undefined if it is not. */
  protected abstract _refusalOf (request: http.IncomingMessage, head: CallerHead): RefusalReason | undefined

  /** What holds for a request on the route, which was received at a time. */
  protected abstract _termsOf (
    request: http.IncomingMessage, head: CallerHead, route: Route, receivedAt: Milliseconds
  ): RequestTerms

  /** Answers a request that was not started. */
  protected abstract _refuse (response: http.ServerResponse, reason: RefusalReason, head: CallerHead): void

  private _accept (request: http.IncomingMessage, response: http.ServerResponse): void {
    // Closed to bound the memory of all callers.
    if (request.socket.destroyed) return
    const state = this._state
    const receivedAt = state.now()
    const head = state.callerProtocol.readHead(request.headers)
    const match = this._match(request, head)
    if (typeof match === 'string') {
      state.log.decision('refused', { requestId: head.requestId, reason: match, configurationRevision: state.catalog.configurationRevision })
      state.metrics.count('requests_total', `refused-${match}`)
      this._refuse(response, match, head)
      request.resume()
      return
    }
    const terms = this._termsOf(request, head, match.route, receivedAt)
    const maximumBodyBytes = state.catalog.routes?.configuration.limits.maximumBodyBytes ?? 0
    const reading = { limit: maximumBodyBytes, timeout: terms.deadline - receivedAt }
    const refuseBody = readBody(request, reading, bytes => { this._connections.hold(request, bytes) }, body => {
      this._reading.delete(refuseBody)
      if (typeof body === 'string') this._refuse(response, body, head)
      else if (!response.destroyed) this._start(request, response, match, body, receivedAt, terms)
    })
    this._reading.add(refuseBody)
    request.once('close', () => { this._reading.delete(refuseBody) })
  }

  private _start (
    request: http.IncomingMessage, response: http.ServerResponse, { route, workspace }: RouteMatch, body: Buffer,
    receivedAt: Milliseconds, terms: RequestTerms
  ): void {
    const { host, pathAndQuery } = targetOf(request)
    const run = new RequestRun(this._state, {
      method: request.method ?? 'GET',
      target: pathAndQuery,
      rawHeaders: host === request.headers.host ? request.rawHeaders : withHost(request.rawHeaders, host),
      body,
      route,
      workspace,
      receivedAt,
      ...terms,
      ...identify(terms.head, `${host}${pathAndQuery}`, body),
      response
    }, () => { this._runs.delete(run) })
    this._runs.add(run)
    run.start()
  }

  private _match (request: http.IncomingMessage, head: CallerHead): RouteMatch | RefusalReason {
    if (this._isRefusing) return 'leaving'
    const { routes } = this._state.catalog
    if (routes === undefined) return 'no-configuration'
    if (head.requestId === undefined) return 'malformed'
    const refusal = this._refusalOf(request, head)
    if (refusal !== undefined) return refusal
    const { host, pathAndQuery } = targetOf(request)
    return routes.match(host, pathOf(pathAndQuery), head.apiKey)
  }
}

function targetOf ({ url = '/', headers: { host = '' } }: http.IncomingMessage): RequestTarget {
  return readRequestTarget(url, host)
}

/**
 * Returns a function that ends the reading with a refusal.
 * @param hold called with the number of bytes that are held from now on
 */
function readBody (
  request: http.IncomingMessage, { limit, timeout }: { limit: number, timeout: Milliseconds }, hold: (bytes: number) => void,
  done: (body: Buffer | RefusalReason) => void
): (reason: RefusalReason) => void {
  const bytes = new BufferedBytes()
  let isDone = false
  const finish = (reason?: RefusalReason): void => {
    if (isDone) return
    isDone = true
    clearTimeout(timer)
    const body = bytes.takeAll()
    if (reason !== undefined) {
      hold(0)
      request.resume()
    }
    done(reason ?? body)
  }
  const timer = setTimeout(() => { finish('body-not-read') }, timeout)
  request.on('data', (chunk: Buffer) => {
    if (isDone) return
    if (bytes.length + chunk.length > limit) {
      finish('body-too-large')
      return
    }
    // The parser of Node.js copies what it passes on.
    bytes.add(chunk as OwnedBytes)
    hold(bytes.length)
  })
  request.once('end', () => { finish() })
  // The caller disconnected before its request was complete, so that there is nothing to answer.
  request.once('error', () => { clearTimeout(timer) })
  request.once('close', () => { clearTimeout(timer) })
  return finish
}

function identify ({ apiKey, prompt }: CallerHead, target: string, body: Buffer): Pick<CallerRequest, 'fingerprint' | 'features'> {
  const content = createHash('sha1').update(`${target}\n`).update(body).digest('base64')
  const fingerprint = createHash('sha1').update(`${apiKey ?? ''}\n${content}`).digest('base64')
  const parts = prompt?.parts.map(({ id }) => `${prompt.model}/${id}`.slice(0, MAXIMUM_FEATURE_LENGTH)) ?? []
  return { fingerprint, features: [content, ...parts.slice(0, MAXIMUM_FEATURE_PARTS)] }
}

/** The answer to bytes that were not read as a request. */
function refusalOf ({ code }: NodeJS.ErrnoException): string {
  const isTooLarge = code === 'HPE_HEADER_OVERFLOW'
  const isTooSlow = code === 'ERR_HTTP_REQUEST_TIMEOUT'
  const status = isTooLarge ? '431 Request Header Fields Too Large' : isTooSlow ? '408 Request Timeout' : '400 Bad Request'
  return `HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`
}
