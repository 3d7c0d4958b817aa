/**
 * Tells the whole fleet which backend servers are leaving: a few instances of each data centre read the platform's list,
 * and each word is passed on a bounded number of times to random others. That alone would miss an instance now and then, so each
 * also asks the others in turn for the words that they hold.
 */
import { rankByRendezvous, type Milliseconds, type SeededRandom } from '../common/index.js'
import { NewsQueue, type Member } from '../membership/index.js'
import type { ListedHost } from '../platform/index.js'
import { LeavingServers, type LeavingWord } from './leavingServers.js'

/** How often the driver sends a tick. */
export const LEAVING_TICK_INTERVAL: Milliseconds = 500

const READERS_PER_DATA_CENTRE = 2
const READ_INTERVAL: Milliseconds = 1_000
const FAN_OUT = 2
const ASK_INTERVAL: Milliseconds = 1_000
const SERVERS_PER_MESSAGE = 100

/** What the spread is told. */
export type LeavingMessage =
  | { kind: 'tick', self: Member, live: readonly Member[] }
  | { kind: 'listed', hosts: readonly ListedHost[] }
  /** The names that another instance told. */
  | { kind: 'heard', servers: readonly string[] }
  /** Another instance answered a call begun at `askedAt` with the words that it holds. */
  | { kind: 'answered', words: readonly LeavingWord[], askedAt: Milliseconds }

/** What the driver has to do. */
export type LeavingEffect =
  | { kind: 'read-list' }
  | { kind: 'tell', target: Member, servers: readonly string[] }
  /** Ask for the words that the target holds; without an answer nothing is reported. */
  | { kind: 'ask', target: Member }

/** Decides for one instance. */
export class LeavingSpread {
  private readonly _servers = new LeavingServers()
  private readonly _news = new NewsQueue()
  private _nextRead: Milliseconds = -Infinity
  private _lastAnsweredAsk: Milliseconds = -Infinity
  private _lastAskedHost: string | undefined

  /** @param _random chooses whom to tell */
  constructor (private readonly _random: SeededRandom) {}

  /** Whether the server must not be given new work. */
  isLeaving (server: string, now: Milliseconds): boolean {
    return this._servers.isLeaving(server, now)
  }

  /** All servers held to be leaving. */
  leaving (now: Milliseconds): string[] {
    return this._servers.leaving(now)
  }

  /** What this instance answers to one who asks for its words. */
  words (now: Milliseconds): LeavingWord[] {
    return this._servers.words(now).slice(0, SERVERS_PER_MESSAGE)
  }

  /** Handles one message. */
  handle (message: LeavingMessage, now: Milliseconds): LeavingEffect[] {
    switch (message.kind) {
      case 'listed': return this._take(this._servers.onListed(message.hosts, now).servers)
      case 'heard': return this._take(this._servers.onHeard(message.servers, now).servers)
      case 'answered':
        this._lastAnsweredAsk = Math.max(this._lastAnsweredAsk, message.askedAt)
        return this._take(this._servers.onAnswered(message.words, message.askedAt, now).servers)
      case 'tick': return this._tick(message.self, message.live, now)
    }
  }

  private _tick (self: Member, live: readonly Member[], now: Milliseconds): LeavingEffect[] {
    return [...this._readIfDue(self, live, now), ...this._askIfDue(self, live, now), ...this._tell(self, live)]
  }

  private _take (news: readonly string[]): LeavingEffect[] {
    for (const server of news) this._news.add(server)
    return []
  }

  private _readIfDue (self: Member, live: readonly Member[], now: Milliseconds): LeavingEffect[] {
    if (now < this._nextRead || !isReader(self, live)) return []
    this._nextRead = now + READ_INTERVAL
    return [{ kind: 'read-list' }]
  }

  /** Asks the others in turn, beginning after its own place in the order; the next tick passes over one that did not answer. */
  private _askIfDue (self: Member, live: readonly Member[], now: Milliseconds): LeavingEffect[] {
    if (now - this._lastAnsweredAsk < ASK_INTERVAL) return []
    const target = nextInOrder(live.filter(member => member.host !== self.host), this._lastAskedHost ?? self.host)
    if (target === undefined) return []
    this._lastAskedHost = target.host
    return [{ kind: 'ask', target }]
  }

  private _tell (self: Member, live: readonly Member[]): LeavingEffect[] {
    if (this._news.size === 0) return []
    const others = live.filter(member => member.host !== self.host)
    const servers = this._news.take(SERVERS_PER_MESSAGE, live.length)
    return this._random.shuffle(others).slice(0, FAN_OUT).map(target => ({ kind: 'tell', target, servers }))
  }
}

function isReader (self: Member, live: readonly Member[]): boolean {
  const near = live.filter(member => member.dataCentre === self.dataCentre).map(member => member.host)
  const rank = rankByRendezvous('host-list', near).indexOf(self.host)
  return rank >= 0 && rank < READERS_PER_DATA_CENTRE
}

/** The first member after a host in the order of names, or the first of all where there is none after it. */
function nextInOrder (members: readonly Member[], host: string): Member | undefined {
  const ordered = [...members].sort((left, right) => left.host < right.host ? -1 : 1)
  return ordered.find(member => member.host > host) ?? ordered[0]
}
