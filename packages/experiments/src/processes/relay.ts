/** A small TCP relay on loopback, so that a test can cut connections or let them go silent. */
import net, { type AddressInfo, type Socket } from 'node:net'

const LOOPBACK = '127.0.0.1'

interface RelayedPair {
  inner: Socket
  outer: Socket
}

/** Relays to one target. */
export class Relay {
  private readonly _pairs = new Set<RelayedPair>()
  private readonly _server = net.createServer(outer => { this._accept(outer) })
  private _target: URL | undefined
  private _isRefusing = false

  /** Starts listening; gives the address that stands for the target. */
  async start (): Promise<string> {
    await new Promise<void>(resolve => { this._server.listen(0, LOOPBACK, resolve) })
    return `http://${LOOPBACK}:${(this._server.address() as AddressInfo).port}`
  }

  /** Sets where connections go from now on. */
  pointTo (address: string): void {
    this._target = new URL(address)
  }

  /** Lets every open connection go silent for good: open, but nothing passes. New ones work. */
  silenceOpen (): number {
    for (const { inner, outer } of this._pairs) {
      for (const socket of [inner, outer]) {
        socket.unpipe()
        socket.pause()
      }
    }
    return this._pairs.size
  }

  /** Cuts every open connection, and refuses new ones until `restore`. */
  cut (): void {
    this._isRefusing = true
    for (const pair of this._pairs) endPair(pair)
  }

  /** Lets connections through again. */
  restore (): void {
    this._isRefusing = false
  }

  /** Stops for good. */
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
