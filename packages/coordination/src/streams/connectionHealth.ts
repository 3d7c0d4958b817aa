/**
 * Judges an address whose connections made no progress: one probe on a new connection for all who ask at once, and one
 * verdict for them, so that a host is blamed only when new connections fail too.
 */

/** What has to be done about an address. */
export type ConnectionHealthEffect =
  | { kind: 'probe', address: string }
  /** Every pooled connection to the address is given up, since the one that was silent tells of the others. */
  | { kind: 'drop-connections', address: string }
  | { kind: 'verdict', waiter: number, isAnswered: boolean }

/** What is heard about an address. */
export type ConnectionHealthMessage =
  | { kind: 'silent', address: string, waiter: number }
  | { kind: 'probe-ended', address: string, isAnswered: boolean }

/** Collects the waiters of each probe. Its state is bounded by the attempts under way. */
export class ConnectionHealth {
  private readonly _waiters = new Map<string, number[]>()

  /** Takes a message and returns what is to be done. */
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
