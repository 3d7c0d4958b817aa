/** Entries that still have to be spread, each a bounded number of times. */

const RETRANSMISSION_FACTOR = 3

/** Hosts whose entries changed lately. The least often sent go first, so that fresh news overtakes old. */
export class NewsQueue {
  private readonly _sendsByHost = new Map<string, number>()

  /** Count of hosts that are still being spread. */
  get size (): number {
    return this._sendsByHost.size
  }

  /** Starts to spread a host's entry anew. */
  add (host: string): void {
    this._sendsByHost.delete(host)
    this._sendsByHost.set(host, 0)
  }

  /** Up to `count` hosts for one message; each is dropped after enough sends for a fleet of `fleetSize`. */
  take (count: number, fleetSize: number): string[] {
    const limit = retransmissionLimit(fleetSize)
    const chosen = [...this._sendsByHost].sort(([, left], [, right]) => left - right).slice(0, count)
    for (const [host, sends] of chosen) {
      if (sends + 1 >= limit) this._sendsByHost.delete(host)
      else this._sendsByHost.set(host, sends + 1)
    }
    return chosen.map(([host]) => host)
  }
}

/** Sends of one entry by one instance: grows with the logarithm of the fleet. */
function retransmissionLimit (fleetSize: number): number {
  return Math.ceil(RETRANSMISSION_FACTOR * Math.log10(fleetSize + 1)) + 1
}
