/** Speed estimates of the links to the cache stores, and this instance's transfers in flight on them. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'

/** Weight of an observation that is lower than the estimate; high, so that a slow link is avoided at once. */
const DECREASE_WEIGHT = 0.7
/** Weight of an observation that is higher than the estimate. */
const INCREASE_WEIGHT = 0.1
/** Time in which the estimate of an unused link doubles, so that the link is tried again. */
const RECOVERY_DOUBLING_TIME: Milliseconds = 60_000
/** Lower bound of an estimate, as a share of the configured speed. */
const MINIMUM_RATE_SHARE = 0.001
/** Part of a transfer's time that does not depend on the speed of the link. */
const TRANSFER_OVERHEAD: Milliseconds = 10

/** A configured link. */
export interface LinkSpeed {
  name: string
  bytesPerSecond: number
}

/** A transfer in flight. */
export interface LinkTransfer {
  link: string
  bytes: number
  startedAt: Milliseconds
  /** Total bytes of the transfers over the link that had finished when this one started. */
  carriedBefore: number
}

interface LinkState {
  configuredRate: number
  /** The estimate at `observedAt`. */
  rate: number
  observedAt: Milliseconds
  /** Total bytes of all finished transfers. */
  carriedBytes: number
  /** In the order of their start. */
  inFlight: Set<LinkTransfer>
  bytesInFlight: number
}

/** Estimates of all links, in bytes per second. The estimate of a link falls quickly and recovers slowly. */
export class LinkEstimates {
  private readonly _links = new Map<string, LinkState>()

  /** Replaces the set of links; a link keeps its estimate unless its configured speed has changed. */
  configure (links: readonly LinkSpeed[]): void {
    const names = new Set(links.map(link => link.name))
    for (const name of this._links.keys()) {
      if (!names.has(name)) this._links.delete(name)
    }
    for (const { name, bytesPerSecond } of links) {
      if (this._links.get(name)?.configuredRate !== bytesPerSecond) this._links.set(name, createLinkState(bytesPerSecond))
    }
  }

  /** Estimated speed of a link; 0 for an unknown link. */
  rateOf (link: string, now: Milliseconds): number {
    const linkState = this._links.get(link)
    if (linkState === undefined) return 0
    const recoveredRate = linkState.rate * 2 ** (Math.max(0, now - linkState.observedAt) / RECOVERY_DOUBLING_TIME)
    return Math.min(linkState.configuredRate, recoveredRate, overdueRate(linkState, now))
  }

  /** Predicted time to transfer this many bytes after all transfers in flight; Infinity for an unknown link. */
  predict (link: string, bytes: number, now: Milliseconds): Milliseconds {
    const rate = this.rateOf(link, now)
    if (rate === 0) return Infinity
    return (this.bytesInFlight(link) + bytes) / rate * MILLISECONDS_PER_SECOND
  }

  /** Bytes of the transfers that this instance has in flight on the link. */
  bytesInFlight (link: string): number {
    return this._links.get(link)?.bytesInFlight ?? 0
  }

  /** Records the start of a transfer; exactly one `onFinished`, `onFailed` or `onRefused` must follow. */
  onStarted (link: string, bytes: number, now: Milliseconds): LinkTransfer {
    const linkState = this._links.get(link)
    const transfer = { link, bytes, startedAt: now, carriedBefore: linkState?.carriedBytes ?? 0 }
    linkState?.inFlight.add(transfer)
    if (linkState !== undefined) linkState.bytesInFlight += bytes
    return transfer
  }

  /** Ends a complete transfer and updates the estimate by its observed rate. */
  onFinished (transfer: LinkTransfer, now: Milliseconds): void {
    const linkState = this._remove(transfer)
    if (linkState === undefined) return
    linkState.carriedBytes += transfer.bytes
    const elapsed = Math.max(1, now - transfer.startedAt - TRANSFER_OVERHEAD)
    const observedRate = (linkState.carriedBytes - transfer.carriedBefore) / elapsed * MILLISECONDS_PER_SECOND
    this._updateRate(linkState, this.rateOf(transfer.link, now), observedRate, now)
  }

  /** Ends a transfer that broke off; it counts as an observation of half the estimated rate. */
  onFailed (transfer: LinkTransfer, now: Milliseconds): void {
    const linkState = this._remove(transfer)
    if (linkState === undefined) return
    const rate = this.rateOf(transfer.link, now)
    this._updateRate(linkState, rate, rate / 2, now)
  }

  /** Ends a transfer that its source or destination refused, which says nothing about the speed of the link. */
  onRefused (transfer: LinkTransfer): void {
    this._remove(transfer)
  }

  private _remove (transfer: LinkTransfer): LinkState | undefined {
    const linkState = this._links.get(transfer.link)
    if (linkState === undefined || !linkState.inFlight.delete(transfer)) return undefined
    linkState.bytesInFlight -= transfer.bytes
    return linkState
  }

  private _updateRate (linkState: LinkState, rate: number, observedRate: number, now: Milliseconds): void {
    const share = observedRate < rate ? DECREASE_WEIGHT : INCREASE_WEIGHT
    const updated = rate + share * (observedRate - rate)
    linkState.rate = Math.min(linkState.configuredRate, Math.max(linkState.configuredRate * MINIMUM_RATE_SHARE, updated))
    linkState.observedAt = now
  }
}

function createLinkState (configuredRate: number): LinkState {
  return { configuredRate, rate: configuredRate, observedAt: 0, carriedBytes: 0, inFlight: new Set(), bytesInFlight: 0 }
}

/** Upper bound of the current rate: had the link been faster, the oldest transfer in flight would have finished. */
function overdueRate (linkState: LinkState, now: Milliseconds): number {
  const [oldest] = linkState.inFlight
  const elapsed = now - (oldest?.startedAt ?? now) - TRANSFER_OVERHEAD
  if (oldest === undefined || elapsed <= 0) return Infinity
  const carried = linkState.carriedBytes - oldest.carriedBefore + oldest.bytes
  return carried / elapsed * MILLISECONDS_PER_SECOND
}
