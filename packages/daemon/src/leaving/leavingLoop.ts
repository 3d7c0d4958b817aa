/** Reads the host list and exchanges with peers which backend servers are leaving. */
import {
  LEAVING_TICK_INTERVAL, LeavingPropagation,
  type HostList, type LeavingEffect, type LeavingMessage, type LeavingWord, type MemberTable, type SeededRandom
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { LeavingPeerClient } from './leavingPeers.js'

/** Keeps the backend servers that are leaving. */
export class LeavingLoop {
  private readonly _propagation: LeavingPropagation
  private _timer: NodeJS.Timeout | undefined

  constructor (
    private readonly _hostList: HostList,
    private readonly _members: MemberTable,
    private readonly _peers: LeavingPeerClient,
    private readonly _clock: Clock,
    random: SeededRandom
  ) {
    this._propagation = new LeavingPropagation(random)
  }

  /** Starts to read the host list and to send and request updates. */
  start (): void {
    this._timer = setInterval(() => {
      this._handle({ kind: 'tick', self: this._members.self, live: this._members.live })
    }, LEAVING_TICK_INTERVAL)
  }

  /** Stops the timer; calls in flight are not cancelled. */
  stop (): void {
    clearInterval(this._timer)
  }

  /** Whether the server must not be sent new requests. */
  isLeaving (server: string): boolean {
    return this._propagation.isLeaving(server, this._clock.monotonic())
  }

  /** Names of all servers that are recorded as leaving. */
  get leaving (): string[] {
    return this._propagation.leaving(this._clock.monotonic())
  }

  /** Records the servers that another instance reported as leaving. */
  receive (servers: readonly string[]): void {
    this._handle({ kind: 'heard', servers })
  }

  /** The reports, with their ages, for a peer that requests them. */
  get reports (): LeavingWord[] {
    return this._propagation.words(this._clock.monotonic())
  }

  private _handle (message: LeavingMessage): void {
    for (const effect of this._propagation.handle(message, this._clock.monotonic())) this._perform(effect).catch(() => {})
  }

  private async _perform (effect: LeavingEffect): Promise<void> {
    switch (effect.kind) {
      case 'tell': return await this._peers.sendLeaving(effect.target.peerAddress, effect.servers)
      case 'ask': return await this._requestList(effect.target.peerAddress)
      case 'read-list': return await this._readHostList()
    }
  }

  private async _requestList (address: string): Promise<void> {
    const askedAt = this._clock.monotonic()
    const words = await this._peers.requestReports(address)
    if (words.isOk) this._handle({ kind: 'answered', words: words.value, askedAt })
  }

  private async _readHostList (): Promise<void> {
    const hosts = await this._hostList.read()
    if (hosts.isOk) this._handle({ kind: 'listed', hosts: hosts.value })
  }
}
