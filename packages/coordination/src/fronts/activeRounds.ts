/**
 * Which heartbeats an instance of a large fleet sends to whom. Instances that place work report their loads to each other in
 * nearly every interval. Others get heartbeats from the instances of their own data centre, with the names of the live
 * instances elsewhere; from other data centres only what all instances need.
 */
import type { Milliseconds } from '../common/index.js'
import type { FrontDirectory } from './frontDirectory.js'
import { intervalsForRound } from './heartbeatRounds.js'
import type { FrontRecord, Heartbeat } from './messages.js'

/** Active instances send to all of their data centre in every second interval: the others learn of the store through them. */
const ACTIVE_ROUND_INTERVALS = 2
/** Bound on the prompts that are kept for instances that do not place work. */
const MAXIMUM_WITHHELD = 100

/** A heartbeat, and the peers that it goes to. */
export interface RoundMessage {
  peers: FrontRecord[]
  heartbeat: Heartbeat
}

/**
 * What is due in an interval: a round to all peers that this instance sends to, one to its own data centre and to the instances
 * that place work, or one to the latter alone. Only the first has what is reported once.
 */
export type RoundKind = 'full' | 'near' | 'placing'

/** State of the sender that decides on a round. */
export interface RoundSender {
  /** Whether requests that it has placed are running. */
  hasLoads: boolean
  /** Whether it has to notify its peers at once. */
  isUrgent: boolean
  /** Whether its peers may not know its record yet. */
  hasJustStarted: boolean
}

/** Whether a heartbeat has something that all instances need at once, and that no other instance passes on. */
export function concernsAll ({
  from, isReady, catalog, stores, loading, loaded, leaving, limits, cold = [], cutOff, crashes, answeredFeatures
}: Heartbeat): boolean {
  const lists = [catalog?.told?.changes ?? [], stores, loading, loaded, leaving, limits, cold, cutOff, crashes, answeredFeatures]
  return from.isLeaving || !isReady || lists.some(({ length }) => length > 0)
}

/** The rounds of one instance. */
export class ActiveRounds {
  /** Prompts that the instances which do not place work have not been told of yet. */
  private _withheld: Heartbeat['sent'] = []

  constructor (private readonly _fronts: FrontDirectory) {}

  /** What is due in this interval. */
  due (interval: number, { hasLoads, isUrgent }: RoundSender, now: Milliseconds): RoundKind | undefined {
    const { peers, self } = this._fronts
    const isActive = this._fronts.isActive(self.name, now)
    if (isUrgent || interval % intervalsForRound(peers.length) === 0) return 'full'
    if (isActive && interval % ACTIVE_ROUND_INTERVALS === 0) return 'near'
    if (!isActive && !hasLoads) return undefined
    return interval % intervalsForRound(this._fronts.placingSize(now) - 1) === 0 ? 'placing' : undefined
  }

  /** The messages of a round. `heartbeat` has everything that this instance reports in it. */
  messages (kind: RoundKind, heartbeat: Heartbeat, sender: RoundSender, now: Milliseconds): RoundMessage[] {
    const { self, peers } = this._fronts
    const isActive = this._fronts.isActive(self.name, now)
    const isPlacing = isActive || sender.hasLoads
    const groups: Record<'nearPlacing' | 'near' | 'farPlacing' | 'far', FrontRecord[]> = { nearPlacing: [], near: [], farPlacing: [], far: [] }
    for (const peer of peers) {
      const places = isPlacing && this._fronts.placesWork(peer, now)
      // An older build sends to all and expects to hear from all.
      const isNear = peer.zone === self.zone || peer.capacity === undefined
      groups[isNear ? places ? 'nearPlacing' : 'near' : places ? 'farPlacing' : 'far'].push(peer)
    }
    const withheld = [...this._withheld, ...heartbeat.sent].slice(-MAXIMUM_WITHHELD)
    this._withheld = kind === 'placing' ? withheld : []
    if (kind === 'placing') return nonEmpty([{ peers: [...groups.nearPlacing, ...groups.farPlacing], heartbeat }])
    const hasLists = isActive && kind === 'full'
    const heardFar = hasLists ? { heard: this._fronts.heardElsewhere(now) } : {}
    const heardNear = hasLists ? { heard: this._fronts.heardNear(now) } : {}
    const far = kind === 'full' ? this._farPeers(groups.far, heartbeat, sender, isActive, now) : []
    return nonEmpty([
      { peers: groups.nearPlacing, heartbeat: { ...heartbeat, ...heardFar } },
      { peers: groups.near, heartbeat: { ...heartbeat, ...heardFar, sent: withheld } },
      { peers: groups.farPlacing, heartbeat: { ...heartbeat, ...heardNear } },
      { peers: far, heartbeat: { ...heartbeat, loads: {}, sent: [] } }
    ])
  }

  /** Where nobody of a data centre is heard, this instance cannot know who is active there. */
  private _farPeers (
    peers: FrontRecord[], heartbeat: Heartbeat, { hasJustStarted }: RoundSender, isActive: boolean, now: Milliseconds
  ): FrontRecord[] {
    if (hasJustStarted || concernsAll(heartbeat)) return peers
    if (!isActive) return []
    const heardZones = new Set(this._fronts.livePeers(now).map(({ zone }) => zone))
    return peers.filter(({ zone }) => !heardZones.has(zone))
  }
}

function nonEmpty (messages: readonly RoundMessage[]): RoundMessage[] {
  return messages.filter(({ peers }) => peers.length > 0)
}
