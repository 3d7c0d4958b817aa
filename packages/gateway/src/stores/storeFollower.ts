/** Follows the events of the cache stores by long polling. */
import type { Milliseconds, StoreAnswer } from '@wasabihead/coordination'
import { callAddress } from '../channels/index.js'
import { connectedInstances, type GatewayState } from '../requests/index.js'

export interface StoreFollowerSettings {
  /** How long a store may delay its answer until it has events. */
  wait: Milliseconds
  /** Delay between an answer of a store and the next request to it, so that events are batched. */
  interval: Milliseconds
  /** Time for the answer in addition to `wait`. */
  callTimeout: Milliseconds
  /** Interval at which the stores that this instance does not poll are checked for whether it should. */
  idleCheckInterval: Milliseconds
  /** Delay before the next request to a store that did not answer. */
  retryDelay: Milliseconds
}

/** Polls each store for which this instance is one of the followers, and records their answers in `StoredParts`. */
export class StoreFollower {
  private readonly _polled = new Set<string>()
  private _timer: NodeJS.Timeout | undefined

  constructor (private readonly _state: GatewayState, private readonly _settings: StoreFollowerSettings) {}

  /** Starts to poll the configured stores that this instance follows, and checks again after `idleCheckInterval`. */
  follow (): void {
    clearTimeout(this._timer)
    const instances = connectedInstances(this._state)
    for (const address of this._state.storedParts.addresses) {
      if (
        !this._polled.has(address) && this._isFollower(address, instances)
      ) this._state.log.detach('cache-store', this._pollWhileFollower(address))
    }
    // One timer for all stores, so that an idle process does not wake up for each of them.
    this._timer = setTimeout(() => { this.follow() }, this._settings.idleCheckInterval)
  }

  private async _pollWhileFollower (address: string): Promise<void> {
    this._polled.add(address)
    let isReachable = true
    do {
      const isAnswered = await this._poll(address)
      if (isAnswered !== isReachable) this._state.log.change(isAnswered ? 'cache-store-regained' : 'cache-store-lost', { address })
      isReachable = isAnswered
      await pause(isAnswered ? this._settings.interval : this._settings.retryDelay)
    } while (this._isFollower(address, connectedInstances(this._state)))
    this._polled.delete(address)
  }

  private _isFollower (address: string, instances: readonly string[]): boolean {
    const { storedParts, fronts } = this._state
    return storedParts.addresses.includes(address) && storedParts.isFollower(address, fronts.self.name, instances)
  }

  private async _poll (address: string): Promise<boolean> {
    const { storedParts, replicaProtocol, now, log } = this._state
    const { wait, callTimeout } = this._settings
    const { isListNeeded, next } = storedParts.nextRequest(address)
    const requestedAt = now()
    const call = isListNeeded ? replicaProtocol.storeListCall() : replicaProtocol.storeEventsCall(next, wait)
    const outcome = await callAddress(this._state, { id: address, address }, call, wait + callTimeout)
    if (!outcome.isAnswered) {
      log.decision('store-events-missing', { address, reason: outcome.reason })
      return false
    }
    const answer = isListNeeded ? replicaProtocol.readStoreList(outcome.body) : replicaProtocol.readStoreEvents(outcome.body)
    if (answer === undefined) {
      log.decision('store-events-unreadable', { address, status: outcome.status })
      return false
    }
    this._apply(address, isListNeeded, answer, requestedAt)
    return true
  }

  private _apply (address: string, isList: boolean, answer: StoreAnswer, requestedAt: Milliseconds): void {
    const { storedParts, now } = this._state
    if (isList) storedParts.onList(address, answer, requestedAt, now())
    else storedParts.onEvents(address, answer, requestedAt, now())
  }
}

async function pause (duration: Milliseconds): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, duration) })
}
