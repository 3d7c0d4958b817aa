/** What one instance believes about the others. States spread by gossip; (incarnation, version) orders them. */
import * as z from 'zod'
import type { InstanceIdentity, Milliseconds } from '../common/index.js'

/** A member as gossiped. */
export const memberSchema = z.strictObject({
  host: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
  /** Rises with each change that the member tells of itself within an incarnation. */
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

/** Holds the members known to one instance, itself included. */
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

  /** All members known, itself included. */
  get members (): readonly Member[] {
    return [...this._members.values()]
  }

  /** Members that may be given work, itself included. */
  get live (): readonly Member[] {
    return this.members.filter(member => member.state === 'alive' || member.state === 'suspect')
  }

  /** The entry of a host. */
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

  /** Merges an entry heard from another; whether it was news. A false word about this instance is refuted. */
  merge (heard: Member, now: Milliseconds): boolean {
    if (heard.host === this._self.host) return this._refute(heard, now)
    const known = this._members.get(heard.host)
    // A death of a member that is not known here has been forgotten here, or never mattered.
    if (known === undefined ? heard.state === 'dead' : !isNewer(heard, known)) return false
    this._members.set(heard.host, heard)
    this._changedAt.set(heard.host, now)
    return true
  }

  /** Whether one order of an entry is newer than another of the same host. */
  isNewer (left: MemberOrder, right: MemberOrder): boolean {
    return isNewer(left, right)
  }

  /** Whether an entry of this order would be news here. */
  wants (order: MemberOrder & { host: string }): boolean {
    const known = this._members.get(order.host)
    if (order.host === this._self.host) return false
    return known === undefined ? order.state !== 'dead' : isNewer(order, known)
  }

  /** Since when the entry of a member has stood as it is, or since the last `restartTimes`. */
  changedAt (host: string): Milliseconds | undefined {
    return this._changedAt.get(host)
  }

  /** Counts the time of every entry anew, as after a pause in which nothing was heard. */
  restartTimes (now: Milliseconds): void {
    for (const host of this._members.keys()) this._changedAt.set(host, now)
  }

  /** Drops the entry of a member that has been dead for long. */
  forget (host: string): void {
    if (host === this._self.host) return
    this._members.delete(host)
    this._changedAt.delete(host)
  }

  /** A run that hears of a later one of its own host has an incarnation that is out of date, and takes a higher one. */
  private _refute (heard: Member, now: Milliseconds): boolean {
    const isOutdated = heard.incarnation > this._self.incarnation
    const isDoubted = heard.incarnation === this._self.incarnation && heard.version >= this._self.version &&
      heard.state !== this._self.state
    if (!isOutdated && !isDoubted) return false
    const incarnation = isOutdated ? heard.incarnation + 1 : this._self.incarnation
    this._self = { ...this._self, incarnation, version: heard.version }
    this.updateSelf({}, now)
    return true
  }
}

/** What orders the entries of one host. */
export type MemberOrder = Pick<Member, 'incarnation' | 'version' | 'state'>

function isNewer (heard: MemberOrder, known: MemberOrder): boolean {
  if (heard.incarnation !== known.incarnation) return heard.incarnation > known.incarnation
  if (heard.version !== known.version) return heard.version > known.version
  return STATE_RANK[heard.state] > STATE_RANK[known.state]
}
