/**
 * Informs the whole fleet which backend servers are leaving. A few instances of each data centre read the platform's list,
 * and each report is forwarded a bounded number of times to random peers. Gossip alone occasionally misses an instance, so
 * each instance also asks its peers in turn for the reports that they retain.
 */
import { rankByRendezvous, type Milliseconds, type SeededRandom } from '../common/index.js'
import { UpdateQueue, type Member } from '../membership/index.js'
import type { ListedHost } from '../platform/index.js'
import { LeavingServers, type LeavingWord } from './leavingServers.js'

/** Interval at which the daemon sends `tick`. */
export const LEAVING_TICK_INTERVAL: Milliseconds = 500

const READERS_PER_DATA_CENTRE = 2
const READ_INTERVAL: Milliseconds = 1_000
const FAN_OUT = 2
const ASK_INTERVAL: Milliseconds = 1_000
const SERVERS_PER_MESSAGE = 100

/** A message to `LeavingPropagation`. */
export type LeavingMessage =
  | { kind: 'tick', self: Member, live: readonly Member[] }
  | { kind: 'listed', hosts: readonly ListedHost[] }
  /** Names of leaving servers that a peer sent. */
  | { kind: 'heard', servers: readonly string[] }
  /** A peer answered a call started at `askedAt` with the reports that it retains. */
  | { kind: 'answered', words: readonly LeavingWord[], askedAt: Milliseconds }

/** What the daemon has to do. */
export type LeavingEffect =
  | { kind: 'read-list' }
  | { kind: 'tell', target: Member, servers: readonly string[] }
  /** Ask the target for the reports that it retains. If it does not answer, no message is sent back. */
  | { kind: 'ask', target: Member }

/** Propagation of leaving servers by one instance. */
export class LeavingPropagation {
  private readonly _servers = new LeavingServers()
  private readonly _updateQueue = new UpdateQueue()
  private _nextReadAt: Milliseconds = -Infinity
  private _lastAnsweredAskAt: Milliseconds = -Infinity
  private _lastAskedHost: string | undefined

  /** @param _random selects the peers to send updates to */
  constructor (private readonly _random: SeededRandom) {}

  /** Whether the server must not be given new work. */
  isLeaving (server: string, now: Milliseconds): boolean {
    return this._servers.isLeaving(server, now)
  }

  /** Names of all servers that must not be given new work. */
  leaving (now: Milliseconds): string[] {
    return this._servers.leaving(now)
  }

  /** The answer to a peer that asks for this instance's reports: the most recent ones, as many as fit in one message. */
  words (now: Milliseconds): LeavingWord[] {
    return this._servers.words(now).slice(0, SERVERS_PER_MESSAGE)
  }

  /** Processes one message and returns the effects for the daemon to carry out. */
  handle (message: LeavingMessage, now: Milliseconds): LeavingEffect[] {
    switch (message.kind) {
      case 'listed': return this._enqueue(this._servers.onListed(message.hosts, now).servers)
      case 'heard': return this._enqueue(this._servers.onReceived(message.servers, now).servers)
      case 'answered':
        this._lastAnsweredAskAt = Math.max(this._lastAnsweredAskAt, message.askedAt)
        return this._enqueue(this._servers.onAnswered(message.words, message.askedAt, now).servers)
      case 'tick': return this._tick(message.self, message.live, now)
    }
  }

  private _tick (self: Member, live: readonly Member[], now: Milliseconds): LeavingEffect[] {
    return [...this._readIfDue(self, live, now), ...this._askIfDue(self, live, now), ...this._sendUpdates(self, live)]
  }

  private _enqueue (news: readonly string[]): LeavingEffect[] {
    for (const server of news) this._updateQueue.add(server)
    return []
  }

  private _readIfDue (self: Member, live: readonly Member[], now: Milliseconds): LeavingEffect[] {
    if (now < this._nextReadAt || !isReader(self, live)) return []
    this._nextReadAt = now + READ_INTERVAL
    return [{ kind: 'read-list' }]
  }

  /** Asks peers in the order of their hosts, starting after its own. If one does not answer, the next tick asks the next one. */
  private _askIfDue (self: Member, live: readonly Member[], now: Milliseconds): LeavingEffect[] {
    if (now - this._lastAnsweredAskAt < ASK_INTERVAL) return []
    const target = nextInOrder(live.filter(member => member.host !== self.host), this._lastAskedHost ?? self.host)
    if (target === undefined) return []
    this._lastAskedHost = target.host
    return [{ kind: 'ask', target }]
  }

  private _sendUpdates (self: Member, live: readonly Member[]): LeavingEffect[] {
    if (this._updateQueue.size === 0) return []
    const others = live.filter(member => member.host !== self.host)
    const servers = this._updateQueue.nextBatch(SERVERS_PER_MESSAGE, live.length)
    return this._random.shuffle(others).slice(0, FAN_OUT).map(target => ({ kind: 'tell', target, servers }))
  }
}

function isReader (self: Member, live: readonly Member[]): boolean {
  const near = live.filter(member => member.dataCentre === self.dataCentre).map(member => member.host)
  const rank = rankByRendezvous('host-list', near).indexOf(self.host)
  return rank >= 0 && rank < READERS_PER_DATA_CENTRE
}

/** The first member after `host` in the order of hosts, wrapping around at the end; undefined without any members. */
function nextInOrder (members: readonly Member[], host: string): Member | undefined {
  const ordered = [...members].sort((left, right) => left.host < right.host ? -1 : 1)
  return ordered.find(member => member.host > host) ?? ordered[0]
}
