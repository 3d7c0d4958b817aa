/**
 * Which backend servers are leaving. The platform's list lags, and two instances may read versions of different ages.
 * A report that a server is leaving is therefore retained for `LEAVING_RETENTION`, whatever later lists say: a server that
 * is listed as live again is given work only after no instance has reported it as leaving for that time.
 */
import type { Milliseconds } from '../common/index.js'
import type { ListedHost } from '../platform/index.js'

/** How long a report of leaving is retained after it was last received; longer than the lag of the platform's list. */
export const LEAVING_RETENTION: Milliseconds = 60_000

/** How often a report is resent while the list still shows the server as leaving. Each time, it reaches every instance once. */
export const LEAVING_REFRESH_INTERVAL: Milliseconds = 20_000

/** A report received in an answer is forwarded only if it is younger than this; an older one is due to be sent again soon. */
const FORWARD_AGE_LIMIT: Milliseconds = LEAVING_REFRESH_INTERVAL / 2

/** A report that a server is leaving, as an instance returns it to a peer that asks. */
export interface LeavingWord {
  server: string
  /** Time since the report was last received; not a time of day, since the clocks of two hosts are never compared. */
  age: Milliseconds
}

/** Names of servers newly found to be leaving, to be sent to peers now. */
export interface LeavingUpdate {
  servers: readonly string[]
}

/** The leaving servers known to one instance, by name. */
export class LeavingServers {
  private readonly _receivedAt = new Map<string, Milliseconds>()

  /** Records the servers that the platform's list shows as leaving; returns those to send to peers. */
  onListed (hosts: readonly ListedHost[], now: Milliseconds): LeavingUpdate {
    return this.onReceived(hosts.filter(host => host.state === 'leaving').map(host => host.name), now)
  }

  /** Records the names of leaving servers that a peer sent; returns those to forward. */
  onReceived (servers: readonly string[], now: Milliseconds): LeavingUpdate {
    const news = servers.filter(server => this._record(server, now))
    this._removeExpired(now)
    return { servers: news }
  }

  /** Records the reports that a peer returned to a call started at `askedAt`; returns the servers to forward. */
  onAnswered (words: readonly LeavingWord[], askedAt: Milliseconds, now: Milliseconds): LeavingUpdate {
    // The age counts from the start of the call. A report that became younger on its way would circulate forever.
    const news = words.filter(({ server, age }) => this._record(server, askedAt - age) && now - askedAt + age < FORWARD_AGE_LIMIT)
    this._removeExpired(now)
    return { servers: news.map(({ server }) => server) }
  }

  /** Whether the server must not be given new work. */
  isLeaving (server: string, now: Milliseconds): boolean {
    const receivedAt = this._receivedAt.get(server)
    return receivedAt !== undefined && now - receivedAt < LEAVING_RETENTION
  }

  /** Names of all servers that must not be given new work. */
  leaving (now: Milliseconds): string[] {
    return [...this._receivedAt.keys()].filter(server => this.isLeaving(server, now))
  }

  /** All reports retained, the most recent first. */
  words (now: Milliseconds): LeavingWord[] {
    return [...this._receivedAt]
      .map(([server, receivedAt]) => ({ server, age: now - receivedAt }))
      .filter(({ age }) => age < LEAVING_RETENTION)
      .sort((left, right) => left.age - right.age)
  }

  private _record (server: string, receivedAt: Milliseconds): boolean {
    const isUpdate = receivedAt - (this._receivedAt.get(server) ?? -Infinity) >= LEAVING_REFRESH_INTERVAL
    if (isUpdate) this._receivedAt.set(server, receivedAt)
    return isUpdate
  }

  private _removeExpired (now: Milliseconds): void {
    for (const server of this._receivedAt.keys()) {
      if (!this.isLeaving(server, now)) this._receivedAt.delete(server)
    }
  }
}
