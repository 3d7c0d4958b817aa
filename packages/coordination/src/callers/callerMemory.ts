/**
 * Bounds the memory that connections of callers take before their requests are complete, while they run, and until their answers
 * are read. Load pattern: crowds of callers that send almost all of a request, send many ahead, or read nothing.
 */
import type { Milliseconds } from '../common/index.js'

/** Limits in bytes. */
export interface CallerMemoryLimits {
  /** Of one connection. */
  connection: number
  /** Of all connections from one address. */
  address: number
  /** Of all connections. */
  total: number
}

/** What a connection holds, in bytes. */
export interface CallerHolding {
  /** For what only the caller can go on with: requests that are incomplete, requests ahead, and answers that it has not read. */
  waiting: number
  /** For a complete request that is being served. */
  serving: number
  /** Bytes that the caller has sent or taken since the connection was opened. */
  moved: number
}

/** Which limit a dropped connection, or the others beside it, exceeded. */
export type ExceededLimit = keyof CallerMemoryLimits

/** A connection that has to be closed. */
export interface DroppedCaller<Caller> {
  caller: Caller
  address: string
  limit: ExceededLimit
  /** Bytes that it held. */
  held: number
}

interface Account extends CallerHolding {
  address: string
  /** `moved` when the connection last held nothing more than at its opening. */
  movedBefore: number
  /** Sum of the waiting bytes, each times the milliseconds for which it has waited. */
  byteMilliseconds: number
  updatedAt: Milliseconds
  /** What it holds while it has no request. */
  idle: number
}

/** Keeps small connections that have just been opened from being dropped before those that hold much. */
const MINIMUM_MOVED = 16_384
/** Above this share of the total, holders that can do with less should. */
const CROWDED_SHARE = 0.5

/** Accounts of all connections of callers. */
export class CallerMemory<Caller> {
  private readonly _accounts = new Map<Caller, Account>()
  private readonly _addresses = new Map<string, { held: number, callers: Set<Caller> }>()
  private _held = 0
  private _smallest = 0

  constructor (private readonly _limits: CallerMemoryLimits) {}

  /** Bytes that all connections hold. */
  get held (): number {
    return this._held
  }

  /** Number of connections. */
  get connections (): number {
    return this._accounts.size
  }

  /** Whether so much is held that whoever can do with less should. */
  get isCrowded (): boolean {
    return this._held > this._limitOf('total') * CROWDED_SHARE
  }

  /** No limit applies below what one request within the configuration needs. */
  allowRequest (bytes: number): void {
    this._smallest = bytes
  }

  /** Opens the account of a connection. */
  open (caller: Caller, address: string, idle: number, now: Milliseconds): void {
    this._accounts.set(caller, {
      address, idle, waiting: 0, serving: 0, moved: 0, movedBefore: 0, byteMilliseconds: 0, updatedAt: now
    })
    const shared = this._addresses.get(address) ?? { held: 0, callers: new Set() }
    shared.callers.add(caller)
    this._addresses.set(address, shared)
  }

  /** Closes the account of a connection; further calls change nothing. */
  close (caller: Caller): void {
    const account = this._accounts.get(caller)
    if (account === undefined) return
    this._add(account, -account.waiting - account.serving)
    this._accounts.delete(caller)
    const shared = this._addresses.get(account.address)
    shared?.callers.delete(caller)
    if (shared?.callers.size === 0) this._addresses.delete(account.address)
  }

  /** Records what a connection holds now, and returns those that have to be closed for it. Their accounts are closed. */
  update (caller: Caller, holding: CallerHolding, now: Milliseconds): DroppedCaller<Caller>[] {
    const account = this._accounts.get(caller)
    if (account === undefined) return []
    const growth = holding.waiting + holding.serving - account.waiting - account.serving
    integrate(account, now)
    this._add(account, growth)
    Object.assign(account, holding)
    if (holding.waiting + holding.serving <= account.idle) {
      account.movedBefore = holding.moved
      account.byteMilliseconds = 0
    }
    return growth > 0 ? this._dropFor(caller, account, now) : []
  }

  private _dropFor (caller: Caller, account: Account, now: Milliseconds): DroppedCaller<Caller>[] {
    if (account.waiting + account.serving > this._limitOf('connection')) return [this._drop(caller, account, 'connection')]
    const dropped: DroppedCaller<Caller>[] = []
    while (this._accounts.has(caller)) {
      const shared = this._addresses.get(account.address)
      if (shared !== undefined && shared.held > this._limitOf('address')) {
        dropped.push(this._dropWorst(shared.callers, caller, 'address', now))
      } else if (this._held > this._limitOf('total')) {
        dropped.push(this._dropWorst(this._accounts.keys(), caller, 'total', now))
      } else break
    }
    return dropped
  }

  /** Drops the connection that made least progress for what it holds; where none waits for its caller, the one that grew. */
  private _dropWorst (callers: Iterable<Caller>, grown: Caller, limit: ExceededLimit, now: Milliseconds): DroppedCaller<Caller> {
    let worst = grown
    let highest = 0
    for (const caller of callers) {
      const account = this._accounts.get(caller) as Account
      integrate(account, now)
      const moved = account.moved - account.movedBefore + MINIMUM_MOVED
      const cost = account.waiting * (account.byteMilliseconds + account.waiting) / moved
      if (cost > highest) [worst, highest] = [caller, cost]
    }
    return this._drop(worst, this._accounts.get(worst) as Account, limit)
  }

  private _drop (caller: Caller, { address, waiting, serving }: Account, limit: ExceededLimit): DroppedCaller<Caller> {
    this.close(caller)
    return { caller, address, limit, held: waiting + serving }
  }

  private _add ({ address }: Account, bytes: number): void {
    this._held += bytes
    const shared = this._addresses.get(address)
    if (shared !== undefined) shared.held += bytes
  }

  private _limitOf (limit: ExceededLimit): number {
    return Math.max(this._limits[limit], this._smallest)
  }
}

function integrate (account: Account, now: Milliseconds): void {
  account.byteMilliseconds += account.waiting * Math.max(0, now - account.updatedAt)
  account.updatedAt = now
}
