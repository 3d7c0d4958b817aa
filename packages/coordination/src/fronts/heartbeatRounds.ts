/** How often instances send heartbeats. A round goes to every peer, so that rounds are less frequent with many peers. */
import type { Milliseconds } from '../common/index.js'

/** The number of peers for which a round in every interval is affordable. */
const PEERS_FOR_EACH_INTERVAL = 20
/** Bound on the intervals of a round, since callers must leave a dead instance within a few seconds in any fleet. */
const MAXIMUM_ROUND_INTERVALS = 4
/** A peer is dead once two consecutive heartbeats are missing, with 0.6 of a round for their delay. */
const SILENCE_TIMEOUT_ROUNDS = 2.6

/** Number of intervals from the beginning of one round to the next. */
export function intervalsForRound (peers: number): number {
  return Math.min(MAXIMUM_ROUND_INTERVALS, Math.ceil((peers + 1) / PEERS_FOR_EACH_INTERVAL))
}

/**
 * Whether a round begins with this interval.
 * @param isUrgent whether this instance has to notify its peers at once: it is leaving, or replicas are loading by its orders
 */
export function isRoundDue (interval: number, peers: number, isUrgent: boolean): boolean {
  return isUrgent || interval % intervalsForRound(peers) === 0
}

/** Time without a heartbeat after which a peer counts as dead. */
export function silenceTimeout (peers: number, interval: Milliseconds): Milliseconds {
  return SILENCE_TIMEOUT_ROUNDS * interval * intervalsForRound(peers)
}
