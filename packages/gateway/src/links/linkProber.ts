/** Opens connections to replicas to find out whether this instance is cut off from them, and whether it still is. */
import type { Milliseconds } from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

const CHECK_INTERVAL: Milliseconds = 200

/** Opens the connections that `ServiceLinks` asks for. */
export class LinkProber {
  constructor (private readonly _state: GatewayState) {}

  /** Checks at an interval for as long as the process runs. */
  start (): void {
    setInterval(() => { this.probe() }, CHECK_INTERVAL)
  }

  /** Opens the connections that are needed now. */
  probe (): void {
    const { links, catalog, channels, random, now } = this._state
    for (const service of links.suspected) {
      const replicas = catalog.usableReplicas(service).map(({ id }) => id)
      for (const id of links.probes(service, replicas, random, now())) {
        const replica = catalog.replica(id)
        if (replica !== undefined) channels.probe(replica)
      }
    }
  }
}
