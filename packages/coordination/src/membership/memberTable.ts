/** One instance's view of the fleet. Entries are gossiped; those of one host are ordered by (incarnation, version, state). */
import * as z from 'zod'
import type { InstanceIdentity, Milliseconds } from '../common/index.js'

/** A member as gossiped. */
export const memberSchema = z.strictObject({
  host: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
  /** Raised by the member with each change of its own entry within an incarnation. */
  version: z.number().int().nonnegative(),
  dataCentre: z.string(),
  peerAddress: z.string(),
  callerAddress: z.string(),
  state: z.enum(['alive', 'suspect', 'leaving', 'dead']),
  configurationRevision: z.number().int().nonnegative()
})
/** A member as gossiped. */
export type Member = z.infer<typeof memberSchema>

const STATE_RANK = { alive: 0, suspect: 1, leaving: 2, dead: 3 } as const

/** The members known to one instance, itself included. */
export class MemberTable {
  private readonly _members = new Map<string, Member>()
  private readonly _changedAt = new Map<string, Milliseconds>()

  /** @param _self this instance's own entry */
  constructor (private _self: Member) {
    this._members.set(_self.host, _self)
  }

  /** This instance's own entry. */
  get self (): Member {
    return this._self
  }

  /** This instance's identity. */
  get identity (): InstanceIdentity {
    return { host: this._self.host, incarnation: this._self.incarnation }
  }

  /** All known members, itself and dead members included. */
  get members (): readonly Member[] {
    return [...this._members.values()]
  }

  /** Members that may be given work (alive or suspect), itself included. */
  get live (): readonly Member[] {
    return this.members.filter(member => member.state === 'alive' || member.state === 'suspect')
  }

  find (host: string): Member | undefined {
    return this._members.get(host)
  }

  /** Changes this instance's own entry and raises its version. */
  updateSelf (change: Partial<Pick<Member, 'state' | 'configurationRevision'>>, now: Milliseconds): void {
    this._self = { ...this._self, ...change, version: this._self.version + 1 }
    this._members.set(this._self.host, this._self)
    this._changedAt.set(this._self.host, now)
  }

  /** Sets this instance's own addresses, once they are known. */
  setAddresses (peerAddress: string, callerAddress: string, now: Milliseconds): void {
    this._self = { ...this._self, peerAddress, callerAddress }
    this.updateSelf({}, now)
  }

  /**
   * Merges an entry received from a peer. Returns whether the table changed. A received entry of this instance
   * itself is never stored. If it claims another state or a higher incarnation, `self` is replaced by an entry that is newer.
   */
  merge (received: Member, now: Milliseconds): boolean {
    if (received.host === this._self.host) return this._refute(received, now)
    const known = this._members.get(received.host)
    // A dead member that is not in the table was removed from it earlier, or was never known here.
    if (known === undefined ? received.state === 'dead' : !isNewer(received, known)) return false
    this._members.set(received.host, received)
    this._changedAt.set(received.host, now)
    return true
  }

  /** Whether one order of an entry is newer than another of the same host. */
  isNewer (left: MemberOrder, right: MemberOrder): boolean {
    return isNewer(left, right)
  }

  /** Whether `merge` would accept an entry of another host with this order. Always false for this instance's own host. */
  wouldAccept (order: MemberOrder & { host: string }): boolean {
    const known = this._members.get(order.host)
    if (order.host === this._self.host) return false
    return known === undefined ? order.state !== 'dead' : isNewer(order, known)
  }

  /** When the entry of a member last changed, or the time of the last `resetChangeTimes` if that is later. */
  changedAt (host: string): Milliseconds | undefined {
    return this._changedAt.get(host)
  }

  /** Sets the change time of every entry to `now`, as after a pause in which no update could arrive. */
  resetChangeTimes (now: Milliseconds): void {
    for (const host of this._members.keys()) this._changedAt.set(host, now)
  }

  /** Removes the entry of a host, which is not this instance's own. */
  remove (host: string): void {
    if (host === this._self.host) return
    this._members.delete(host)
    this._changedAt.delete(host)
  }

  /** An entry of this host with a higher incarnation shows that this instance's own is out of date, so it takes a higher one. */
  private _refute (received: Member, now: Milliseconds): boolean {
    const isOutdated = received.incarnation > this._self.incarnation
    const isContradicted = received.incarnation === this._self.incarnation && received.version >= this._self.version &&
      received.state !== this._self.state
    if (!isOutdated && !isContradicted) return false
    const incarnation = isOutdated ? received.incarnation + 1 : this._self.incarnation
    this._self = { ...this._self, incarnation, version: received.version }
    this.updateSelf({}, now)
    return true
  }
}

/** The fields that order the entries of one host, in order of precedence: incarnation, version, state. */
export type MemberOrder = Pick<Member, 'incarnation' | 'version' | 'state'>

function isNewer (received: MemberOrder, known: MemberOrder): boolean {
  if (received.incarnation !== known.incarnation) return received.incarnation > known.incarnation
  if (received.version !== known.version) return received.version > known.version
  return STATE_RANK[received.state] > STATE_RANK[known.state]
}
