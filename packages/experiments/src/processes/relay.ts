/** A TCP relay on loopback that can cut or stall connections. */
import net, { type AddressInfo, type Socket } from 'node:net'

const LOOPBACK = '127.0.0.1'

interface RelayedPair {
  inner: Socket
  outer: Socket
}

/** Relays connections to one target. It refuses connections until the target is set. */
export class Relay {
  private readonly _pairs = new Set<RelayedPair>()
  private readonly _server = net.createServer(outer => { this._accept(outer) })
  private _target: URL | undefined
  private _isRefusing = false

  /** Starts listening on a free port. Resolves with the relay's address. */
  async start (): Promise<string> {
    await new Promise<void>(resolve => { this._server.listen(0, LOOPBACK, resolve) })
    return `http://${LOOPBACK}:${(this._server.address() as AddressInfo).port}`
  }

  /** Sets the target of new connections. */
  setTarget (address: string): void {
    this._target = new URL(address)
  }

  /**
   * Stalls every open connection for good: it stays open, but no bytes pass. New connections are relayed.
   * Returns the number of stalled connections.
   */
  stallOpenConnections (): number {
    for (const { inner, outer } of this._pairs) {
      for (const socket of [inner, outer]) {
        socket.unpipe()
        socket.pause()
      }
    }
    return this._pairs.size
  }

  /** Closes every open connection and refuses new ones until `restore`. */
  cut (): void {
    this._isRefusing = true
    for (const pair of this._pairs) endPair(pair)
  }

  /** Accepts new connections again. */
  restore (): void {
    this._isRefusing = false
  }

  /** Closes all connections and stops listening. */
  async stop (): Promise<void> {
    for (const pair of this._pairs) endPair(pair)
    await new Promise<void>(resolve => { this._server.close(() => { resolve() }) })
  }

  private _accept (outer: Socket): void {
    if (this._isRefusing || this._target === undefined) {
      outer.destroy()
      return
    }
    const inner = net.connect(Number(this._target.port), this._target.hostname)
    const pair = { inner, outer }
    this._pairs.add(pair)
    for (const socket of [inner, outer]) {
      socket.on('error', () => { endPair(pair) })
      socket.on('close', () => {
        endPair(pair)
        this._pairs.delete(pair)
      })
    }
    inner.pipe(outer)
    outer.pipe(inner)
  }
}

function endPair (pair: RelayedPair): void {
  pair.inner.destroy()
  pair.outer.destroy()
}
