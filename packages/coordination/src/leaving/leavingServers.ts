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

/** A word no older than this is passed on by who learns it late; of an older one a new telling is due soon. */
const LONGEST_NEWS_AGE: Milliseconds = LEAVING_REFRESH / 2

/** A word of leaving as it is answered to one who asks. */
export interface LeavingWord {
  server: string
  /** Time since the word was last heard; not a time of day, since the clocks of two hosts are never compared. */
  age: Milliseconds
}

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
    const news = servers.filter(server => this._hear(server, now))
    this._forget(now)
    return { servers: news }
  }

  /** Takes the words that another instance answered to a call begun at `askedAt`; gives what was news. */
  onAnswered (words: readonly LeavingWord[], askedAt: Milliseconds, now: Milliseconds): LeavingNews {
    // Dated from the start of the call: a word that grew younger on its way would go round for ever.
    const news = words.filter(({ server, age }) => this._hear(server, askedAt - age) && now - askedAt + age < LONGEST_NEWS_AGE)
    this._forget(now)
    return { servers: news.map(({ server }) => server) }
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

  /** All words held, the youngest first. */
  words (now: Milliseconds): LeavingWord[] {
    return [...this._heardAt]
      .map(([server, heardAt]) => ({ server, age: now - heardAt }))
      .filter(({ age }) => age < LEAVING_HOLD)
      .sort((left, right) => left.age - right.age)
  }

  private _hear (server: string, heardAt: Milliseconds): boolean {
    const isNews = heardAt - (this._heardAt.get(server) ?? -Infinity) >= LEAVING_REFRESH
    if (isNews) this._heardAt.set(server, heardAt)
    return isNews
  }

  private _forget (now: Milliseconds): void {
    for (const server of this._heardAt.keys()) {
      if (!this.isLeaving(server, now)) this._heardAt.delete(server)
    }
  }
}
