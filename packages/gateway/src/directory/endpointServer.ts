/** HTTP server for requests without a body, with one handler for each method and path. */
import http from 'node:http'
import { CheckedConnections, MeasuredResponse, type CallerGuard } from '@wasabihead/http'

export interface EndpointResponse {
  status: number
  body?: string
  contentType?: string
}

/** Answers one request; `query` holds the parameters of its URL. */
export type EndpointHandler = (query: URLSearchParams) => EndpointResponse | Promise<EndpointResponse>

const FAILED: EndpointResponse = { status: 500 }
const NOT_FOUND: EndpointResponse = { status: 404 }
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
const IDLE_TIMEOUT_MILLISECONDS = 10_000
/** Requests have no body, so that all of one arrives soon. */
const REQUEST_TIMEOUT_MILLISECONDS = 10_000
const TIMEOUT_CHECK_MILLISECONDS = 1_000

/** Serves the handlers, given by "METHOD /path", on one address. Answers 404 to anything else. */
export class EndpointServer {
  private readonly _server: http.Server

  constructor (private readonly _handlers: ReadonlyMap<string, EndpointHandler>, guard?: CallerGuard) {
    this._server = http.createServer({
      ServerResponse: MeasuredResponse,
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      headersTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS
    }, (request, response) => {
      request.resume()
      if (request.socket.destroyed) return
      const answer = this._answer(request)
      if (!(answer instanceof Promise)) respond(response, answer)
      else answer.then(value => { respond(response, value) }, () => { respond(response, FAILED) })
    })
    const connections = new CheckedConnections(this._server, guard)
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => { connections.refuse(error, socket, BAD_REQUEST) })
  }

  /** Starts listening. */
  async listen (host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen({ host, port }, resolve)
    })
  }

  private _answer (request: http.IncomingMessage): EndpointResponse | Promise<EndpointResponse> {
    const url = request.url ?? '/'
    const mark = url.indexOf('?')
    const path = mark < 0 ? url : url.slice(0, mark)
    const handler = this._handlers.get(`${request.method ?? 'GET'} ${path}`)
    return handler === undefined ? NOT_FOUND : handler(new URLSearchParams(mark < 0 ? '' : url.slice(mark + 1)))
  }
}

function respond (response: http.ServerResponse, { status, body = '', contentType }: EndpointResponse): void {
  const headers: http.OutgoingHttpHeaders = { 'Content-Length': Buffer.byteLength(body) }
  if (contentType !== undefined) headers['Content-Type'] = contentType
  response.writeHead(status, headers)
  response.end(body)
}
