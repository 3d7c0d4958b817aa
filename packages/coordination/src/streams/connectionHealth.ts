/**
 * Checks an address whose connections made no progress: one probe on a new connection is shared by all concurrent waiters,
 * so that a host is marked failed only if new connections fail too.
 */

/** An action for the driver. */
export type ConnectionHealthEffect =
  | { kind: 'probe', address: string }
  /** Drop every pooled connection to the address, since the others are likely to be stalled like the silent one. */
  | { kind: 'drop-connections', address: string }
  /** The result of the probe, once for each waiter. */
  | { kind: 'verdict', waiter: number, isAnswered: boolean }

/** An observation of an address. */
export type ConnectionHealthMessage =
  | { kind: 'silent', address: string, waiter: number }
  | { kind: 'probe-ended', address: string, isAnswered: boolean }

/** Collects the waiters of each probe. Its state is bounded by the number of attempts in progress. */
export class ConnectionHealth {
  private readonly _waiters = new Map<string, number[]>()

  /** Handles a message and returns the effects to carry out, in order. */
  handle (message: ConnectionHealthMessage): ConnectionHealthEffect[] {
    return message.kind === 'silent'
      ? this._onSilent(message.address, message.waiter)
      : this._onProbeEnded(message.address, message.isAnswered)
  }

  private _onSilent (address: string, waiter: number): ConnectionHealthEffect[] {
    const waiters = this._waiters.get(address)
    if (waiters !== undefined) {
      waiters.push(waiter)
      return []
    }
    this._waiters.set(address, [waiter])
    return [{ kind: 'drop-connections', address }, { kind: 'probe', address }]
  }

  private _onProbeEnded (address: string, isAnswered: boolean): ConnectionHealthEffect[] {
    const waiters = this._waiters.get(address) ?? []
    this._waiters.delete(address)
    return waiters.map(waiter => ({ kind: 'verdict', waiter, isAnswered }))
  }
}
