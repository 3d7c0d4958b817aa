/**
 * How one instance receives accepted configurations. A few instances of each data centre watch the key-value service; all
 * others see in gossiped entries and probe answers that a peer has a higher revision, and fetch the record from that peer.
 */
import { contentDigest, rankByRendezvous, type Milliseconds, type SeededRandom } from '../common/index.js'
import type { Member } from '../membership/index.js'
import { ConfigurationState, type ConfigurationRecord } from './configurationState.js'

/** Instances of each data centre that watch the configuration key. */
export const WATCHERS_PER_DATA_CENTRE = 2
/**
 * An instance whose revision neither the service nor a peer has confirmed for this long takes no new work, since a change
 * that it has not received may have been accepted.
 */
export const CONFIRMATION_TIMEOUT: Milliseconds = 15_000

/**
 * A watch may stop delivering events without ending, so the watching instance also checks whether the history contains the
 * next revision. The answer for an absent key is short, while the configuration itself may have hundreds of kilobytes and
 * is read at `FULL_READ_INTERVAL` only.
 */
const NEXT_REVISION_INTERVAL: Milliseconds = 5_000
const FULL_READ_INTERVAL: Milliseconds = 600_000
const MINIMUM_RETRY_DELAY: Milliseconds = 250
const MAXIMUM_RETRY_DELAY: Milliseconds = 1_000
const MAXIMUM_SOURCES = 4

/**
 * A message to `ConfigurationPropagation`. `askedAt` is when this instance started the call that the message answers. A
 * paused process may handle an answer late, so the answer confirms only the state as of that time. A message without
 * `askedAt` has an unknown age and confirms nothing.
 */
export type PropagationMessage =
  /** Sent a few times a second, with the members that this instance knows, itself included. */
  | { kind: 'tick', self: Member, members: readonly Member[] }
  /** A peer reported its revision, in an answer or in a call of its own. */
  | { kind: 'revision-seen', host: string, revision: number, askedAt?: Milliseconds | undefined }
  | { kind: 'fetched', host: string, record: ConfigurationRecord | undefined, askedAt: Milliseconds }
  | { kind: 'fetch-failed', host: string }
  /** A record from the watch or from a read; undefined where the key that was read does not exist. */
  | { kind: 'service-told', record: ConfigurationRecord | undefined, askedAt?: Milliseconds | undefined }
  | { kind: 'watch-ended' }

type MessageOf<Kind extends PropagationMessage['kind']> = Extract<PropagationMessage, { kind: Kind }>

/** What the daemon has to do. */
export type PropagationEffect =
  | { kind: 'start-watch' }
  | { kind: 'stop-watch' }
  | { kind: 'read-current' }
  | { kind: 'read-history', revision: number }
  | { kind: 'fetch', host: string, knownRevision: number }
  | { kind: 'in-force', record: ConfigurationRecord }

/** Keeps the configuration in force on one instance up to date. */
export class ConfigurationPropagation {
  readonly state = new ConfigurationState()
  /** Hosts of peers that reported a higher revision, the most recent last. */
  private _sources: string[] = []
  private _isFetching = false
  private _isWatching = false
  private _nextFetchAt: Milliseconds = 0
  private _nextReadAt: Milliseconds = 0
  private _nextFullReadAt: Milliseconds = 0
  private _hasPeers = false

  constructor (private readonly _random: SeededRandom) {}

  /**
   * Whether new work may be taken: a configuration is in force, and it has been confirmed within `CONFIRMATION_TIMEOUT` or
   * no peer is known.
   */
  mayTakeWork (now: Milliseconds): boolean {
    if (this.state.current === undefined) return false
    // Without any known peer, missing confirmations do not show that this instance is partitioned from the others.
    if (!this._hasPeers) return true
    return now - (this.state.lastConfirmedAt ?? -Infinity) <= CONFIRMATION_TIMEOUT
  }

  /** Processes one message and returns the effects for the daemon to carry out. */
  handle (message: PropagationMessage, now: Milliseconds): PropagationEffect[] {
    switch (message.kind) {
      case 'tick': return this._tick(message.self, message.members, now)
      case 'revision-seen': return this._onRevisionSeen(message, now)
      case 'fetched': return this._onFetched(message, now)
      case 'fetch-failed': return this._failFetch(message.host, now)
      case 'service-told': return this._applyIfNewer(message.record, message.askedAt)
      case 'watch-ended':
        this._isWatching = false
        this._nextReadAt = now + this._retryDelay()
        return []
    }
  }

  private _tick (self: Member, members: readonly Member[], now: Milliseconds): PropagationEffect[] {
    this._hasPeers = members.length > 1
    return [...this._chooseWatch(self, members, now), ...this._fetchNext(members, now)]
  }

  private _chooseWatch (self: Member, members: readonly Member[], now: Milliseconds): PropagationEffect[] {
    const candidates = members.filter(member => member.dataCentre === self.dataCentre && member.state === 'alive')
    const ranked = rankByRendezvous('configuration-watch', candidates.map(member => member.host))
    if (!ranked.slice(0, WATCHERS_PER_DATA_CENTRE).includes(self.host)) {
      const wasWatching = this._isWatching
      this._isWatching = false
      return wasWatching ? [{ kind: 'stop-watch' }] : []
    }
    if (now < this._nextReadAt) return []
    this._nextReadAt = now + this._jittered(NEXT_REVISION_INTERVAL)
    const isDue = !this._isWatching || now >= this._nextFullReadAt
    if (!isDue) return [{ kind: 'read-history', revision: this.state.version.revision + 1 }]
    this._nextFullReadAt = now + this._jittered(FULL_READ_INTERVAL)
    if (this._isWatching) return [{ kind: 'read-current' }]
    this._isWatching = true
    return [{ kind: 'start-watch' }, { kind: 'read-current' }]
  }

  private _onRevisionSeen ({ host, revision, askedAt }: MessageOf<'revision-seen'>, now: Milliseconds): PropagationEffect[] {
    if (revision <= this.state.version.revision) {
      if (askedAt !== undefined) this.state.confirm(askedAt)
      return []
    }
    this._sources = [...this._sources.filter(source => source !== host), host].slice(-MAXIMUM_SOURCES)
    return this._fetchNext([], now)
  }

  /** Fetches from a random one of the peers with a higher revision, so that not all instances load the same peer. */
  private _fetchNext (members: readonly Member[], now: Milliseconds): PropagationEffect[] {
    if (this._isFetching || now < this._nextFetchAt) return []
    const knownRevision = this.state.version.revision
    const ahead = members.filter(member => member.state !== 'dead' && member.configurationRevision > knownRevision)
    const sources = this._sources.length > 0 ? this._sources : ahead.map(member => member.host)
    if (sources.length === 0) return []
    this._isFetching = true
    return [{ kind: 'fetch', host: this._random.pick(sources), knownRevision }]
  }

  private _onFetched ({ host, record, askedAt }: MessageOf<'fetched'>, now: Milliseconds): PropagationEffect[] {
    const isIntact = record !== undefined && contentDigest(record.source) === record.digest
    if (!isIntact) return this._failFetch(host, now)
    this._isFetching = false
    return this._applyIfNewer(record, askedAt)
  }

  private _failFetch (host: string, now: Milliseconds): PropagationEffect[] {
    this._isFetching = false
    this._sources = this._sources.filter(source => source !== host)
    this._nextFetchAt = now + this._retryDelay()
    return []
  }

  /** Handles the result of a call or a watch. An absent key confirms the current revision, as does a record that is not older. */
  private _applyIfNewer (record: ConfigurationRecord | undefined, askedAt: Milliseconds | undefined): PropagationEffect[] {
    const isCurrent = record === undefined || record.revision >= this.state.version.revision
    if (isCurrent && askedAt !== undefined) this.state.confirm(askedAt)
    if (record === undefined || !this.state.applyIfNewer(record)) return []
    this._sources = []
    return [{ kind: 'in-force', record }]
  }

  private _jittered (interval: Milliseconds): Milliseconds {
    return interval * (0.75 + 0.5 * this._random.next())
  }

  private _retryDelay (): Milliseconds {
    return MINIMUM_RETRY_DELAY + this._random.next() * (MAXIMUM_RETRY_DELAY - MINIMUM_RETRY_DELAY)
  }
}
