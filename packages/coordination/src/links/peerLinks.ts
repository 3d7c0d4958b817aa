/** Selects the peer that serves a request whose service this instance cannot connect to, by what peers report of their links. */
import type { Milliseconds, SeededRandom } from '../common/index.js'

/** A peer's report holds for this long; heartbeats repeat it. */
const REPORT_LIFETIME: Milliseconds = 3_000
/** A peer that could not be reached, or did not answer, gets no requests for this long. */
const EXCLUSION: Milliseconds = 1_000

/** A peer that may serve a request. */
export interface RelayPeer {
  name: string
  region: string
}

interface PeerLink {
  /** The services to which the peer cannot connect either, with the time at which this is no longer assumed. */
  cutOffUntil: Map<string, Milliseconds>
  excludedUntil: Milliseconds
  /** Requests relayed to the peer that have not ended. */
  running: number
}

/** The links of the live peers to replicas, and of this instance to the peers. */
export class PeerLinks {
  private readonly _peers = new Map<string, PeerLink>()

  /**
   * Applies a peer's list of the services to which it cannot connect, which replaces its previous one.
   * @returns the services that the peer reaches again
   */
  receive (peer: string, cutOff: readonly string[], now: Milliseconds): string[] {
    if (cutOff.length === 0 && !this._peers.has(peer)) return []
    const link = this._peer(peer)
    const reached = [...link.cutOffUntil.keys()].filter(service => !cutOff.includes(service))
    link.cutOffUntil = new Map(cutOff.map(service => [service, now + REPORT_LIFETIME]))
    return reached
  }

  /** Records that a peer refused a request since it cannot connect to the service. */
  onCutOff (peer: string, service: string, now: Milliseconds): void {
    this._peer(peer).cutOffUntil.set(service, now + REPORT_LIFETIME)
  }

  /** Records that a request is relayed to a peer; `onEnded` must follow. */
  onSent (peer: string): void {
    this._peer(peer).running += 1
  }

  /**
   * Records the end of a relayed request.
   * @param isReachable whether the peer showed that it can be reached; undefined if that is not known
   */
  onEnded (peer: string, isReachable: boolean | undefined, now: Milliseconds): void {
    const link = this._peer(peer)
    link.running -= 1
    if (isReachable !== undefined) link.excludedUntil = isReachable ? -Infinity : now + EXCLUSION
  }

  /** Discards the state of peers that are gone. */
  retain (peers: ReadonlySet<string>): void {
    for (const [name, { running }] of this._peers) if (!peers.has(name) && running === 0) this._peers.delete(name)
  }

  /**
   * The peers to which a request for a service may be relayed.
   * @param peers the live peers
   * @param tried names of the peers that the request was relayed to already
   * @param region region of this instance; peers in other regions are a last resort
   */
  candidates<Peer extends RelayPeer> (
    service: string, peers: readonly Peer[], tried: ReadonlySet<string>, region: string, now: Milliseconds
  ): Peer[] {
    const usable = peers.filter(({ name }) => !tried.has(name) && this._mayServe(name, service, now))
    const near = usable.filter(peer => peer.region === region)
    return near.length > 0 ? near : usable
  }

  /**
   * Names of the live instances that can connect to the replicas of all these services; of all live ones if none is known to.
   * @param self name of this instance
   * @param selfCutOff the services of which this instance can connect to no replica
   */
  connectedInstances (
    services: readonly string[], self: string, selfCutOff: readonly string[], peers: readonly { name: string }[],
    now: Milliseconds
  ): string[] {
    const names = peers.map(({ name }) => name)
    const connected = names.filter(name => !services.some(service => this._isCutOff(name, service, now)))
    if (!services.some(service => selfCutOff.includes(service))) connected.push(self)
    return connected.length > 0 ? connected : [...names, self]
  }

  /** The less used of two candidates picked at random; undefined if there is none. */
  select<Peer extends RelayPeer> (candidates: readonly Peer[], random: SeededRandom): Peer | undefined {
    if (candidates.length === 0) return undefined
    const [first, second] = [random.pick(candidates), random.pick(candidates)]
    return this._runningAt(second) < this._runningAt(first) ? second : first
  }

  private _mayServe (name: string, service: string, now: Milliseconds): boolean {
    return (this._peers.get(name)?.excludedUntil ?? -Infinity) <= now && !this._isCutOff(name, service, now)
  }

  private _isCutOff (name: string, service: string, now: Milliseconds): boolean {
    return (this._peers.get(name)?.cutOffUntil.get(service) ?? -Infinity) > now
  }

  private _runningAt ({ name }: RelayPeer): number {
    return this._peers.get(name)?.running ?? 0
  }

  private _peer (name: string): PeerLink {
    const known = this._peers.get(name)
    if (known !== undefined) return known
    const link: PeerLink = { cutOffUntil: new Map(), excludedUntil: -Infinity, running: 0 }
    this._peers.set(name, link)
    return link
  }
}
