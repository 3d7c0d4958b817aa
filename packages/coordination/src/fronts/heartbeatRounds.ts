/** How often instances tell each other that they are alive: each round goes to every peer, so many peers have fewer rounds. */
import type { Milliseconds } from '../common/index.js'

/** Peers for which one heartbeat in each interval is affordable. */
const PEERS_FOR_EACH_INTERVAL = 20
/** Callers are to leave a dead instance within a few seconds however many there are. */
const LONGEST_ROUND_INTERVALS = 4
/** A peer is silent once two heartbeats in a row are missing, and some time for them to arrive. */
const SILENT_ROUNDS = 2.6

/** Intervals between the beginnings of two rounds. */
export function intervalsForRound (peers: number): number {
  return Math.min(LONGEST_ROUND_INTERVALS, Math.ceil((peers + 1) / PEERS_FOR_EACH_INTERVAL))
}

/**
 * Whether a round begins with this interval.
 * @param isUrgent whether this instance has news that are of use only at once: it leaves, or replicas are loading by its orders
 */
export function isRoundDue (interval: number, peers: number, isUrgent: boolean): boolean {
  return isUrgent || interval % intervalsForRound(peers) === 0
}

/** After which silence a peer is taken for dead. */
export function silenceFor (peers: number, interval: Milliseconds): Milliseconds {
  return SILENT_ROUNDS * interval * intervalsForRound(peers)
}
