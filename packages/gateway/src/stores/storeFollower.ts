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

/** Asks the stores that this instance should ask, again and again. */
export class StoreFollower {
  private readonly _asked = new Set<string>()
  private _timer: NodeJS.Timeout | undefined

  constructor (private readonly _state: GatewayState, private readonly _settings: StoreFollowerSettings) {}

  /** Begins to follow the stores that are configured now. */
  follow (): void {
    clearTimeout(this._timer)
    const instances = this._instances()
    for (const address of this._state.storedParts.addresses) {
      if (!this._asked.has(address) && this._isAsking(address, instances)) this._state.log.detach('cache-store', this._askOn(address))
    }
    // One timer for all stores: a process at rest would wake for each of them.
    this._timer = setTimeout(() => { this.follow() }, this._settings.idleCheck)
  }

  private async _askOn (address: string): Promise<void> {
    this._asked.add(address)
    let isReachable = true
    do {
      const isAnswered = await this._ask(address)
      if (isAnswered !== isReachable) this._state.log.change(isAnswered ? 'cache-store-regained' : 'cache-store-lost', { address })
      isReachable = isAnswered
      await pause(isAnswered ? this._settings.interval : this._settings.retryDelay)
    } while (this._isAsking(address, this._instances()))
    this._asked.delete(address)
  }

  /** Names of the live instances, this one included. */
  private _instances (): string[] {
    const { fronts, now } = this._state
    return [fronts.self.name, ...fronts.livePeers(now()).map(({ name }) => name)]
  }

  private _isAsking (address: string, instances: readonly string[]): boolean {
    const { storedParts, fronts } = this._state
    return storedParts.addresses.includes(address) && storedParts.isFollower(address, fronts.self.name, instances)
  }

  private async _ask (address: string): Promise<boolean> {
    const { storedParts, replicaProtocol, channels, now, log } = this._state
    const { wait, callTimeout } = this._settings
    const { isListNeeded, next } = storedParts.nextRequest(address)
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
