/** HTTP/2 server for calls from other instances. */
import http2 from 'node:http2'
import type { AddressInfo } from 'node:net'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'

/** The service of one feature for peers. */
export abstract class PeerRoutes {
  /** Adds the service to the router. */
  abstract register (router: ConnectRouter): void
}

/** Serves the calls of peers. */
export class PeerServer {
  private readonly _server: http2.Http2Server
  private readonly _sessions = new Set<http2.ServerHttp2Session>()

  /** @param routes the services of the features */
  constructor (routes: readonly PeerRoutes[]) {
    const register = (router: ConnectRouter) => { for (const slice of routes) slice.register(router) }
    this._server = http2.createServer(connectNodeAdapter({ routes: register }))
    this._server.on('session', session => {
      this._sessions.add(session)
      session.on('close', () => this._sessions.delete(session))
      session.on('error', () => {})
    })
  }

  /** Starts listening; returns the port. Rejects if the address cannot be bound. */
  async start (bindAddress: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, bindAddress, resolve)
    })
    return (this._server.address() as AddressInfo).port
  }

  /** Stops listening and closes all connections at once. */
  async stop (): Promise<void> {
    for (const session of this._sessions) session.destroy()
    await new Promise<void>(resolve => { this._server.close(() => { resolve() }) })
  }
}
