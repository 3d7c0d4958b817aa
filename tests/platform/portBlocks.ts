/** Ports of test processes, disjoint between all processes that run tests on this machine. */
import dgram from 'node:dgram'
import { randomInt } from 'node:crypto'
import net from 'node:net'

const LOOPBACK = '127.0.0.1'
/** Below the system's range of ephemeral ports. */
const FIRST_PORT = 12_000
const PORTS_PER_BLOCK = 50
const BLOCKS = 360

/** Ports that belong to one owner until `release`. The first port of each block is listened at, which claims the block. */
export class PortBlocks {
  private readonly _claims: net.Server[] = []
  private _next = 0
  private _end = 0
  private _claiming: Promise<void> | undefined

  /** Takes a port at which nothing listens over TCP or UDP. No other owner takes it before `release`. */
  async take (): Promise<number> {
    for (;;) {
      while (this._next >= this._end) await (this._claiming ??= this._claimBlock())
      const port = this._next++
      if (await isFree(port)) return port
    }
  }

  /** Gives all ports back. Nothing may listen at them any more. */
  release (): void {
    for (const claim of this._claims.splice(0)) claim.close()
    this._next = this._end
  }

  private async _claimBlock (): Promise<void> {
    const start = randomInt(BLOCKS)
    for (let offset = 0; offset < BLOCKS; offset++) {
      const first = FIRST_PORT + PORTS_PER_BLOCK * ((start + offset) % BLOCKS)
      const claim = await listen(first)
      if (claim === undefined) continue
      claim.unref()
      this._claims.push(claim)
      this._next = first + 1
      this._end = first + PORTS_PER_BLOCK
      this._claiming = undefined
      return
    }
    throw new Error(`All ${BLOCKS} blocks of ports are claimed. End test processes that were left behind`)
  }
}

/** Resolves with undefined where the port is taken. */
async function listen (port: number): Promise<net.Server | undefined> {
  const server = net.createServer()
  return await new Promise((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(undefined)
      else reject(error)
    })
    server.listen({ port, host: LOOPBACK, exclusive: true }, () => { resolve(server) })
  })
}

async function isFree (port: number): Promise<boolean> {
  const server = await listen(port)
  if (server === undefined) return false
  await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  const socket = dgram.createSocket('udp4')
  return await new Promise(resolve => {
    socket.once('error', () => { resolve(false) })
    socket.bind({ port, address: LOOPBACK, exclusive: true }, () => { socket.close(() => { resolve(true) }) })
  })
}
