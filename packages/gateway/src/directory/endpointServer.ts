/** A small HTTP server for questions without a body: one handler for each path. */
import http from 'node:http'

/** An answer to a question. */
export interface SmallAnswer {
  status: number
  body?: string
  contentType?: string
}

/** Answers one question. */
export type QuestionHandler = (query: URLSearchParams) => SmallAnswer

const NOT_FOUND: SmallAnswer = { status: 404 }
const IDLE_TIMEOUT_MILLISECONDS = 10_000

/** Serves questions by "METHOD /path" on one address. */
export class SmallServer {
  private readonly _server: http.Server

  constructor (private readonly _handlers: ReadonlyMap<string, QuestionHandler>) {
    this._server = http.createServer({ keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS }, (request, response) => {
      request.resume()
      const { status, body = '', contentType } = this._answer(request)
      const headers: http.OutgoingHttpHeaders = { 'Content-Length': Buffer.byteLength(body) }
      if (contentType !== undefined) headers['Content-Type'] = contentType
      response.writeHead(status, headers)
      response.end(body)
    })
  }

  /** Starts listening. */
  async listen (host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen({ host, port }, resolve)
    })
  }

  private _answer (request: http.IncomingMessage): SmallAnswer {
    const url = request.url ?? '/'
    const mark = url.indexOf('?')
    const path = mark < 0 ? url : url.slice(0, mark)
    const handler = this._handlers.get(`${request.method ?? 'GET'} ${path}`)
    return handler === undefined ? NOT_FOUND : handler(new URLSearchParams(mark < 0 ? '' : url.slice(mark + 1)))
  }
}
