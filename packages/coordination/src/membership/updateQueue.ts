/** Queue of updates to gossip, each of which is sent a bounded number of times. */

const RETRANSMISSION_FACTOR = 3

/** Keys of entries that changed recently. The least often sent keys go first, so that new updates overtake older ones. */
export class UpdateQueue {
  private readonly _sendsByKey = new Map<string, number>()

  /** Count of keys that still have to be sent. */
  get size (): number {
    return this._sendsByKey.size
  }

  /** Queues a key, with its count of sends reset to 0. */
  add (key: string): void {
    this._sendsByKey.delete(key)
    this._sendsByKey.set(key, 0)
  }

  /** Up to `count` keys for one message. Each is removed after a number of sends that suffices for a fleet of `fleetSize`. */
  nextBatch (count: number, fleetSize: number): string[] {
    const limit = retransmissionLimit(fleetSize)
    const chosen = [...this._sendsByKey].sort(([, left], [, right]) => left - right).slice(0, count)
    for (const [key, sends] of chosen) {
      if (sends + 1 >= limit) this._sendsByKey.delete(key)
      else this._sendsByKey.set(key, sends + 1)
    }
    return chosen.map(([key]) => key)
  }
}

/** Most sends of one entry by one instance; grows with the logarithm of the fleet. */
function retransmissionLimit (fleetSize: number): number {
  return Math.ceil(RETRANSMISSION_FACTOR * Math.log10(fleetSize + 1)) + 1
}
