/**
 * How one instance learns of accepted configurations. A few instances of each data centre watch the service; all others
 * see on their probes that a peer holds a higher revision, and fetch it from there.
 */
import { contentDigest, rankByRendezvous, type Milliseconds, type SeededRandom } from '../common/index.js'
import type { Member } from '../membership/index.js'
import { ConfigurationState, type ConfigurationRecord } from './configurationState.js'

/** Instances of each data centre that watch the service. */
export const WATCHERS_PER_DATA_CENTRE = 2
/**
 * An instance that has heard neither the service nor a peer for this long takes no new work, since a change may have been
 * accepted that it does not know.
 */
export const CONFIRMATION_LIMIT: Milliseconds = 15_000

/**
 * A watch may go silent without ending, so its holder also asks whether the next revision stands in the history. An absent
 * key is a short answer, while the configuration itself may have hundreds of kilobytes and is read seldom.
 */
const NEXT_REVISION_INTERVAL: Milliseconds = 5_000
const WHOLE_READ_INTERVAL: Milliseconds = 600_000
const SHORTEST_RETRY: Milliseconds = 250
const LONGEST_RETRY: Milliseconds = 1_000
const SOURCES_REMEMBERED = 4

/**
 * A message to the spread. `askedAt` is when this instance began the call that the message answers. An answer may wait in a
 * paused process, so it confirms only what held when it was asked for; a word without `askedAt` has no known age and
 * confirms nothing.
 */
export type SpreadMessage =
  /** Sent a few times a second, with the entries that this instance knows, itself included. */
  | { kind: 'tick', self: Member, members: readonly Member[] }
  /** A peer told its revision, asked or on a call of its own. */
  | { kind: 'revision-seen', host: string, revision: number, askedAt?: Milliseconds | undefined }
  | { kind: 'fetched', host: string, record: ConfigurationRecord | undefined, askedAt: Milliseconds }
  | { kind: 'fetch-failed', host: string }
  /** The watch told a record, or a read gave one; undefined where the key that was read does not exist. */
  | { kind: 'service-told', record: ConfigurationRecord | undefined, askedAt?: Milliseconds | undefined }
  | { kind: 'watch-ended' }

type MessageOf<Kind extends SpreadMessage['kind']> = Extract<SpreadMessage, { kind: Kind }>

/** What the daemon has to do. */
export type SpreadEffect =
  | { kind: 'start-watch' }
  | { kind: 'stop-watch' }
  | { kind: 'read-current' }
  | { kind: 'read-history', revision: number }
  | { kind: 'fetch', host: string, knownRevision: number }
  | { kind: 'in-force', record: ConfigurationRecord }

/** The configuration in force on one instance, and how it is kept up to date. */
export class ConfigurationSpread {
  readonly state = new ConfigurationState()
  /** Peers that told a higher revision, the latest last. */
  private _sources: string[] = []
  private _isFetching = false
  private _isWatching = false
  private _nextFetchAt: Milliseconds = 0
  private _nextReadAt: Milliseconds = 0
  private _nextWholeReadAt: Milliseconds = 0
  private _knowsOthers = false

  constructor (private readonly _random: SeededRandom) {}

  /** Whether new work may be taken: a configuration is in force, and something confirms that it is not out of date. */
  mayTakeWork (now: Milliseconds): boolean {
    if (this.state.current === undefined) return false
    // An instance without any peer has nobody whose silence could tell that it is cut off.
    if (!this._knowsOthers) return true
    return now - (this.state.lastConfirmedAt ?? -Infinity) <= CONFIRMATION_LIMIT
  }

  /** Takes one message; gives what has to be done. */
  handle (message: SpreadMessage, now: Milliseconds): SpreadEffect[] {
    switch (message.kind) {
      case 'tick': return this._tick(message.self, message.members, now)
      case 'revision-seen': return this._seeRevision(message, now)
      case 'fetched': return this._takeFetched(message, now)
      case 'fetch-failed': return this._failFetch(message.host, now)
      case 'service-told': return this._offer(message.record, message.askedAt)
      case 'watch-ended':
        this._isWatching = false
        this._nextReadAt = now + this._retryDelay()
        return []
    }
  }

  private _tick (self: Member, members: readonly Member[], now: Milliseconds): SpreadEffect[] {
    this._knowsOthers = members.length > 1
    return [...this._chooseWatch(self, members, now), ...this._fetchNext(members, now)]
  }

  private _chooseWatch (self: Member, members: readonly Member[], now: Milliseconds): SpreadEffect[] {
    const candidates = members.filter(member => member.dataCentre === self.dataCentre && member.state === 'alive')
    const ranked = rankByRendezvous('configuration-watch', candidates.map(member => member.host))
    if (!ranked.slice(0, WATCHERS_PER_DATA_CENTRE).includes(self.host)) {
      const wasWatching = this._isWatching
      this._isWatching = false
      return wasWatching ? [{ kind: 'stop-watch' }] : []
    }
    if (now < this._nextReadAt) return []
    this._nextReadAt = now + this._jittered(NEXT_REVISION_INTERVAL)
    const isDue = !this._isWatching || now >= this._nextWholeReadAt
    if (!isDue) return [{ kind: 'read-history', revision: this.state.version.revision + 1 }]
    this._nextWholeReadAt = now + this._jittered(WHOLE_READ_INTERVAL)
    if (this._isWatching) return [{ kind: 'read-current' }]
    this._isWatching = true
    return [{ kind: 'start-watch' }, { kind: 'read-current' }]
  }

  private _seeRevision ({ host, revision, askedAt }: MessageOf<'revision-seen'>, now: Milliseconds): SpreadEffect[] {
    if (revision <= this.state.version.revision) {
      if (askedAt !== undefined) this.state.confirm(askedAt)
      return []
    }
    this._sources = [...this._sources.filter(source => source !== host), host].slice(-SOURCES_REMEMBERED)
    return this._fetchNext([], now)
  }

  /** Fetches from one of several peers, so that not everyone asks the same one. */
  private _fetchNext (members: readonly Member[], now: Milliseconds): SpreadEffect[] {
    if (this._isFetching || now < this._nextFetchAt) return []
    const knownRevision = this.state.version.revision
    const ahead = members.filter(member => member.state !== 'dead' && member.configurationRevision > knownRevision)
    const sources = this._sources.length > 0 ? this._sources : ahead.map(member => member.host)
    if (sources.length === 0) return []
    this._isFetching = true
    return [{ kind: 'fetch', host: this._random.pick(sources), knownRevision }]
  }

  private _takeFetched ({ host, record, askedAt }: MessageOf<'fetched'>, now: Milliseconds): SpreadEffect[] {
    const isWhole = record !== undefined && contentDigest(record.source) === record.digest
    if (!isWhole) return this._failFetch(host, now)
    this._isFetching = false
    return this._offer(record, askedAt)
  }

  private _failFetch (host: string, now: Milliseconds): SpreadEffect[] {
    this._isFetching = false
    this._sources = this._sources.filter(source => source !== host)
    this._nextFetchAt = now + this._retryDelay()
    return []
  }

  /** Takes what a call or a watch gave; nothing found confirms as much as a record that is not older. */
  private _offer (record: ConfigurationRecord | undefined, askedAt: Milliseconds | undefined): SpreadEffect[] {
    const isCurrent = record === undefined || record.revision >= this.state.version.revision
    if (isCurrent && askedAt !== undefined) this.state.confirm(askedAt)
    if (record === undefined || !this.state.offer(record)) return []
    this._sources = []
    return [{ kind: 'in-force', record }]
  }

  private _jittered (interval: Milliseconds): Milliseconds {
    return interval * (0.75 + 0.5 * this._random.next())
  }

  private _retryDelay (): Milliseconds {
    return SHORTEST_RETRY + this._random.next() * (LONGEST_RETRY - SHORTEST_RETRY)
  }
}
