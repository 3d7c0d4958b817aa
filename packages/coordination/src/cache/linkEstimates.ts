/** What an instance believes about the links to the cache stores: their speed, and what it has under way on them. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'

/** Share of a lower observation that enters the estimate at once. */
const LOSS_SHARE = 0.7
/** Share of a higher observation that enters the estimate. */
const GAIN_SHARE = 0.1
/** Time in which the estimate of a link that nobody uses doubles, so that the link is tried again. */
const REGAIN_TIME: Milliseconds = 60_000
const LEAST_SHARE = 0.001
/** Part of a transfer's time that its ends take, whatever the link's speed. */
const TRANSFER_OVERHEAD: Milliseconds = 10

/** A link as configured. */
export interface LinkSpeed {
  name: string
  bytesPerSecond: number
}

/** A transfer under way. */
export interface LinkTransfer {
  link: string
  bytes: number
  startedAt: Milliseconds
  /** Bytes that the link had carried when the transfer began. */
  carriedBefore: number
}

interface LinkBelief {
  configuredRate: number
  rate: number
  observedAt: Milliseconds
  carriedBytes: number
  underWay: Set<LinkTransfer>
  bytesUnderWay: number
}

/** Estimates of all links. A slow link loses its estimate at once and regains it slowly. Rates are bytes a second. */
export class LinkEstimates {
  private readonly _links = new Map<string, LinkBelief>()

  /** Keeps just the links listed. A link whose configured speed changed begins anew. */
  configure (links: readonly LinkSpeed[]): void {
    const names = new Set(links.map(link => link.name))
    for (const name of this._links.keys()) {
      if (!names.has(name)) this._links.delete(name)
    }
    for (const { name, bytesPerSecond } of links) {
      if (this._links.get(name)?.configuredRate !== bytesPerSecond) this._links.set(name, createBelief(bytesPerSecond))
    }
  }

  /** Speed that the link is believed to have; 0 for a link that is not known. */
  rateOf (link: string, now: Milliseconds): number {
    const belief = this._links.get(link)
    if (belief === undefined) return 0
    const regained = belief.rate * 2 ** (Math.max(0, now - belief.observedAt) / REGAIN_TIME)
    return Math.min(belief.configuredRate, regained, overdueRate(belief, now))
  }

  /** Time until this many more bytes are through, after what is under way. */
  predict (link: string, bytes: number, now: Milliseconds): Milliseconds {
    const rate = this.rateOf(link, now)
    if (rate === 0) return Infinity
    return (this.bytesUnderWay(link) + bytes) / rate * MILLISECONDS_PER_SECOND
  }

  /** Bytes that this instance has under way on the link. */
  bytesUnderWay (link: string): number {
    return this._links.get(link)?.bytesUnderWay ?? 0
  }

  /** Counts a transfer that begins; paired with one `onFinished`, `onFailed` or `onRefused`. */
  onStarted (link: string, bytes: number, now: Milliseconds): LinkTransfer {
    const belief = this._links.get(link)
    const transfer = { link, bytes, startedAt: now, carriedBefore: belief?.carriedBytes ?? 0 }
    belief?.underWay.add(transfer)
    if (belief !== undefined) belief.bytesUnderWay += bytes
    return transfer
  }

  /** Learns from a transfer that was carried whole. */
  onFinished (transfer: LinkTransfer, now: Milliseconds): void {
    const belief = this._remove(transfer)
    if (belief === undefined) return
    belief.carriedBytes += transfer.bytes
    const elapsed = Math.max(1, now - transfer.startedAt - TRANSFER_OVERHEAD)
    const observed = (belief.carriedBytes - transfer.carriedBefore) / elapsed * MILLISECONDS_PER_SECOND
    this._learn(belief, this.rateOf(transfer.link, now), observed, now)
  }

  /** Learns from a transfer that broke: the time it took is charged without its bytes. */
  onFailed (transfer: LinkTransfer, now: Milliseconds): void {
    const belief = this._remove(transfer)
    if (belief === undefined) return
    const rate = this.rateOf(transfer.link, now)
    this._learn(belief, rate, rate / 2, now)
  }

  /** Ends a transfer that one of its ends refused, which tells nothing about the link. */
  onRefused (transfer: LinkTransfer): void {
    this._remove(transfer)
  }

  private _remove (transfer: LinkTransfer): LinkBelief | undefined {
    const belief = this._links.get(transfer.link)
    if (belief === undefined || !belief.underWay.delete(transfer)) return undefined
    belief.bytesUnderWay -= transfer.bytes
    return belief
  }

  private _learn (belief: LinkBelief, rate: number, observed: number, now: Milliseconds): void {
    const share = observed < rate ? LOSS_SHARE : GAIN_SHARE
    const learned = rate + share * (observed - rate)
    belief.rate = Math.min(belief.configuredRate, Math.max(belief.configuredRate * LEAST_SHARE, learned))
    belief.observedAt = now
  }
}

function createBelief (configuredRate: number): LinkBelief {
  return { configuredRate, rate: configuredRate, observedAt: 0, carriedBytes: 0, underWay: new Set(), bytesUnderWay: 0 }
}

/** The most that the link can be carrying, judged by the oldest transfer that has not ended yet. */
function overdueRate (belief: LinkBelief, now: Milliseconds): number {
  const [oldest] = belief.underWay
  const elapsed = now - (oldest?.startedAt ?? now) - TRANSFER_OVERHEAD
  if (oldest === undefined || elapsed <= 0) return Infinity
  const carried = belief.carriedBytes - oldest.carriedBefore + oldest.bytes
  return carried / elapsed * MILLISECONDS_PER_SECOND
}
