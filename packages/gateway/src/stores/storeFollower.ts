/** Follows the events of the cache stores. */
import type { Milliseconds, StoreAnswer } from '@wasabihead/coordination'
import { callAddress } from '../channels/index.js'
import type { GatewayState } from '../requests/index.js'

/** Settings of the follower. */
export interface StoreFollowerSettings {
  /** How long a store may hold a question until it has events. */
  wait: Milliseconds
  /** Between two questions to one store, so that events are gathered. */
  interval: Milliseconds
  /** Beyond the wait, for the answer. */
  callTimeout: Milliseconds
  /** Between two looks at whether this instance should ask a store that others ask. */
  idleCheck: Milliseconds
  /** After a question without an answer. */
  retryDelay: Milliseconds
}

/** Asks each store again and again. */
export class StoreFollower {
  private readonly _followed = new Set<string>()

  constructor (private readonly _state: GatewayState, private readonly _settings: StoreFollowerSettings) {}

  /** Begins to follow the stores that are configured now. */
  follow (): void {
    for (const address of this._state.storedParts.addresses) {
      if (this._followed.has(address)) continue
      this._followed.add(address)
      this._state.log.detach('cache-store', this._followStore(address))
    }
  }

  private async _followStore (address: string): Promise<void> {
    let isReachable = true
    while (this._state.storedParts.addresses.includes(address)) {
      if (!this._isAsking(address)) {
        await pause(this._settings.idleCheck)
        continue
      }
      const isAnswered = await this._ask(address)
      if (isAnswered !== isReachable) this._state.log.change(isAnswered ? 'cache-store-regained' : 'cache-store-lost', { address })
      isReachable = isAnswered
      await pause(isAnswered ? this._settings.interval : this._settings.retryDelay)
    }
    this._followed.delete(address)
  }

  private _isAsking (address: string): boolean {
    const { storedParts, fronts, now } = this._state
    const { name } = fronts.self
    return storedParts.asks(address, name, [name, ...fronts.livePeers(now()).map(peer => peer.name)])
  }

  private async _ask (address: string): Promise<boolean> {
    const { storedParts, replicaProtocol, channels, now, log } = this._state
    const { wait, callTimeout } = this._settings
    const { isListNeeded, next } = storedParts.question(address)
    const askedAt = now()
    const call = isListNeeded ? replicaProtocol.storeListCall() : replicaProtocol.storeEventsCall(next, wait)
    const outcome = await callAddress(channels, { id: address, address }, call, wait + callTimeout)
    if (!outcome.isAnswered) {
      log.decision('store-events-missing', { address, reason: outcome.reason })
      return false
    }
    const answer = isListNeeded ? replicaProtocol.readStoreList(outcome.body) : replicaProtocol.readStoreEvents(outcome.body)
    if (answer === undefined) {
      log.decision('store-events-unreadable', { address, status: outcome.status })
      return false
    }
    this._take(address, isListNeeded, answer, askedAt)
    return true
  }

  private _take (address: string, isList: boolean, answer: StoreAnswer, askedAt: Milliseconds): void {
    const { storedParts, now } = this._state
    if (isList) storedParts.onList(address, answer, askedAt, now())
    else storedParts.onEvents(address, answer, askedAt, now())
  }
}

async function pause (duration: Milliseconds): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, duration) })
}
