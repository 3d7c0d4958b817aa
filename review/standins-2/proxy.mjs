/** A TCP proxy whose open connections can go silent for good, while new ones work. */
import net from 'node:net'

export class Proxy {
  constructor (target) {
    this.target = target
    this.pairs = new Set()
  }

  async listen (host) {
    this.server = net.createServer({ pauseOnConnect: false }, near => {
      const [targetHost, targetPort] = this.target.split(':')
      const far = net.connect({ host: targetHost, port: Number(targetPort), noDelay: true })
      near.setNoDelay(true)
      const pair = { near, far, isSilent: false, openedAt: performance.now() }
      this.pairs.add(pair)
      const forward = (from, to) => {
        from.on('data', bytes => { if (!pair.isSilent) to.write(bytes) })
        from.on('end', () => { if (!pair.isSilent) to.end() })
        from.on('error', () => { if (!pair.isSilent) to.destroy() })
        from.on('close', () => {
          this.pairs.delete(pair)
          if (!pair.isSilent || from === near) to.destroy()
        })
      }
      forward(near, far)
      forward(far, near)
    })
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
  }

  /** Drops whatever is sent from now on on the connections that are open. */
  silence () {
    const count = this.pairs.size
    for (const pair of this.pairs) pair.isSilent = true
    return count
  }

  close () {
    for (const { near, far } of this.pairs) { near.destroy(); far.destroy() }
    this.server?.close()
  }
}
