/**
 * Detects that this instance can connect to no replica of a service, by the connections that it opens. Peers may still reach
 * these replicas, so this says nothing of the replicas themselves.
 */
import type { Milliseconds, SeededRandom } from '../common/index.js'

/** Different replicas to which no connection can be opened, without one that is opened, after which a service is cut off. */
const FAILURES_TO_CUT_OFF = 8
/** After failures at this many replicas the others are probed, after one if nothing shows that another one is reached. */
const FAILURES_TO_PROBE = 2
const FAILURE_LIFETIME: Milliseconds = 2_000
/** If no replica of a service shows a sign of life for this long, requests that wait may be on dead connections. */
const QUIET_TIMEOUT: Milliseconds = 500
/** Interval of the probes of a service that is cut off, and shortest time between two verifications of one that may be. */
const PROBE_INTERVAL: Milliseconds = 250
/** A link that fails again within this time after its return flaps: peers are preferred for a while after its next return. */
const FLAP_WINDOW: Milliseconds = 5_000
const FIRST_SETTLING_TIME: Milliseconds = 500
const MAXIMUM_SETTLING_TIME: Milliseconds = 2_000

/** What a connection that was opened, or could not be, changes. */
export type LinkChange = 'cut-off' | 'reachable'

interface ServiceLink {
  /** Time of the last failure for each replica to which no connection could be opened since one was opened to any. */
  failures: Map<string, Milliseconds>
  /** When a connection was last opened. */
  connectedAt: Milliseconds
  /** When a replica last sent bytes. */
  bytesAt: Milliseconds
  /** When the oldest request was sent since the service last showed a sign of life: bytes, or a new connection. */
  waitingSince: Milliseconds | undefined
  probedAt: Milliseconds
  cutOffAt: Milliseconds | undefined
  returnedAt: Milliseconds
  /** How long peers are preferred after the next return; 0 unless the link flaps. */
  settlingTime: Milliseconds
}

/** The links of this instance to the replicas of each service. */
export class ServiceLinks {
  private readonly _links = new Map<string, ServiceLink>()
  /** When a service was last cut off or reached again. */
  changedAt: Milliseconds = -Infinity

  /** Records that a request was sent to a replica of the service. */
  onSent (service: string, now: Milliseconds): void {
    this._link(service).waitingSince ??= now
  }

  /** Records that a replica of the service has sent bytes. */
  onBytes (service: string, now: Milliseconds): void {
    const link = this._link(service)
    link.waitingSince = undefined
    link.bytesAt = now
  }

  /** Records that a connection to a replica of the service was opened. */
  onConnected (service: string, now: Milliseconds): LinkChange | undefined {
    const link = this._link(service)
    link.connectedAt = now
    link.waitingSince = undefined
    link.failures.clear()
    if (link.cutOffAt === undefined) return undefined
    link.cutOffAt = undefined
    link.returnedAt = now
    this.changedAt = now
    return 'reachable'
  }

  /**
   * Records that no connection to a replica could be opened.
   * @param replicas ids of the replicas of the service that may be used; a failure at any other says nothing
   */
  onConnectFailed (service: string, replicaId: string, replicas: readonly string[], now: Milliseconds): LinkChange | undefined {
    if (!replicas.includes(replicaId)) return undefined
    const link = this._link(service)
    link.failures.set(replicaId, now)
    for (const [id, at] of link.failures) if (now - at > FAILURE_LIFETIME || !replicas.includes(id)) link.failures.delete(id)
    if (link.cutOffAt !== undefined || link.failures.size < Math.min(FAILURES_TO_CUT_OFF, replicas.length)) return undefined
    link.cutOffAt = Math.min(...link.failures.values())
    this.changedAt = now
    const isFlapping = now - link.returnedAt < FLAP_WINDOW
    link.settlingTime = isFlapping ? Math.min(MAXIMUM_SETTLING_TIME, Math.max(FIRST_SETTLING_TIME, link.settlingTime * 2)) : 0
    return 'cut-off'
  }

  /** When the connections to the service began to fail; undefined while it is not cut off. */
  cutOffAt (service: string): Milliseconds | undefined {
    return this._links.get(service)?.cutOffAt
  }

  /** Whether a peer that reaches the service serves better than a replica that this instance connects to. */
  prefersPeers (service: string, now: Milliseconds): boolean {
    const link = this._links.get(service)
    return link !== undefined && (link.cutOffAt !== undefined || now < link.returnedAt + link.settlingTime)
  }

  /** Has the service probed at once if it is cut off, since a peer reaches it again. */
  onReachedByPeer (service: string): void {
    const link = this._links.get(service)
    if (link?.cutOffAt !== undefined) link.probedAt = -Infinity
  }

  /** The services that are cut off. */
  get cutOff (): string[] {
    return [...this._links].flatMap(([service, { cutOffAt }]) => cutOffAt === undefined ? [] : service)
  }

  /** The services that may be cut off, or are, so that `probes` may return replicas. */
  get suspected (): string[] {
    return [...this._links].flatMap(([service, link]) => (
      link.cutOffAt !== undefined || link.failures.size > 0 || link.waitingSince !== undefined ? service : []))
  }

  /**
   * The replicas to open a connection to now: one at each interval while the service is cut off, and as many as a verdict needs
   * if it may be.
   * @param replicas ids of the replicas that may be used
   */
  probes (service: string, replicas: readonly string[], random: SeededRandom, now: Milliseconds): string[] {
    const link = this._link(service)
    if (replicas.length === 0 || now - link.probedAt < PROBE_INTERVAL) return []
    if (link.cutOffAt !== undefined) {
      link.probedAt = now
      return [random.pick(replicas)]
    }
    const isQuiet = link.waitingSince !== undefined && now - link.waitingSince >= QUIET_TIMEOUT
    const needed = Math.min(FAILURES_TO_CUT_OFF, replicas.length)
    const isSilent = now - Math.max(link.connectedAt, link.bytesAt) >= QUIET_TIMEOUT
    const isFailing = link.failures.size >= (isSilent ? 1 : Math.min(FAILURES_TO_PROBE, needed))
    if (now - link.connectedAt < PROBE_INTERVAL || (!isQuiet && !isFailing)) return []
    link.probedAt = now
    const others = replicas.filter(id => !link.failures.has(id))
    const probes: string[] = []
    const count = link.failures.size === 0 ? 1 : needed - link.failures.size
    while (probes.length < count && others.length > 0) {
      probes.push(...others.splice(random.integer(others.length), 1))
    }
    return probes
  }

  private _link (service: string): ServiceLink {
    const known = this._links.get(service)
    if (known !== undefined) return known
    const link: ServiceLink = {
      failures: new Map(),
      connectedAt: -Infinity,
      bytesAt: -Infinity,
      waitingSince: undefined,
      probedAt: -Infinity,
      cutOffAt: undefined,
      returnedAt: -Infinity,
      settlingTime: 0
    }
    this._links.set(service, link)
    return link
  }
}
