/**
 * Which backend servers are leaving. The platform's list lags, and two instances may read it at different ages, so that
 * a word of leaving outlives any word of the opposite for a while: a server that is listed live again is given work only
 * after nobody has called it leaving for that time.
 */
import type { Milliseconds } from '../common/index.js'
import type { ListedHost } from '../platform/index.js'

/** How long a word of leaving holds after it was last heard; longer than the list's lag. */
export const LEAVING_HOLD: Milliseconds = 60_000

/** How often a word of leaving is told again while the list still says so; each telling reaches everyone once. */
export const LEAVING_REFRESH: Milliseconds = 20_000

/** Servers found to be leaving, to be told to others now. */
export interface LeavingNews {
  servers: readonly string[]
}

/** Holds the leaving servers known to one instance. */
export class LeavingServers {
  private readonly _heardAt = new Map<string, Milliseconds>()

  /** Takes the platform's list; gives what was news. */
  onListed (hosts: readonly ListedHost[], now: Milliseconds): LeavingNews {
    return this.onHeard(hosts.filter(host => host.state === 'leaving').map(host => host.name), now)
  }

  /** Takes the names that another instance told; gives what was news. */
  onHeard (servers: readonly string[], now: Milliseconds): LeavingNews {
    const news = servers.filter(server => now - (this._heardAt.get(server) ?? -Infinity) >= LEAVING_REFRESH)
    for (const server of news) this._heardAt.set(server, now)
    this._forget(now)
    return { servers: news }
  }

  /** Whether the server must not be given new work. */
  isLeaving (server: string, now: Milliseconds): boolean {
    const heardAt = this._heardAt.get(server)
    return heardAt !== undefined && now - heardAt < LEAVING_HOLD
  }

  /** All servers held to be leaving. */
  leaving (now: Milliseconds): string[] {
    return [...this._heardAt.keys()].filter(server => this.isLeaving(server, now))
  }

  private _forget (now: Milliseconds): void {
    for (const server of this._heardAt.keys()) {
      if (!this.isLeaving(server, now)) this._heardAt.delete(server)
    }
  }
}
