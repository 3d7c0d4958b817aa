/** Requests to the control addresses of other instances. */
import type { Milliseconds } from '@wasabihead/coordination'
import { exchangeWhole, ReplicaChannel, type WholeExchangeLimits } from '../channels/index.js'

const OK = 200

/** A request to a peer that has no usable answer. */
export class PeerRequestError extends Error {
  /** @param isTimedOut whether the peer may be alive and only slow, paused or cut off */
  constructor (message: string, readonly isTimedOut: boolean) {
    super(message)
  }
}

/**
 * Requests a path at a control address, on a connection of its own. Rejects with `PeerRequestError` if the answer has another
 * status than 200, does not arrive whole within the limits, or is malformed.
 */
export async function requestFromPeer (controlAddress: string, path: string, limits: WholeExchangeLimits): Promise<string> {
  const now = (): Milliseconds => performance.now()
  // The exchange's timeout ends the wait for a connection, too.
  const channel = new ReplicaChannel(controlAddress, limits.timeout * 2, now, () => {}, idle => { idle.close() }, () => {})
  const outcome = await exchangeWhole(channel, {
    method: 'GET',
    target: path,
    headers: [['Host', controlAddress], ['Connection', 'close']],
    body: undefined
  }, limits)
  if (!outcome.isAnswered) throw new PeerRequestError(outcome.reason, outcome.isTimedOut)
  if (outcome.head.status !== OK) throw new PeerRequestError(`status ${outcome.head.status}`, false)
  return outcome.body
}
