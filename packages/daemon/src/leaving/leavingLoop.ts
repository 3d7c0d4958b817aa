/** Performs the effects of the leaving decisions. */
import {
  LEAVING_TICK_INTERVAL, LeavingPropagation,
  type HostList, type LeavingEffect, type LeavingMessage, type LeavingWord, type MemberTable, type SeededRandom
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { LeavingPeerClient } from './leavingPeers.js'

/** Knows the leaving backend servers. */
export class LeavingLoop {
  private readonly _spread: LeavingPropagation
  private _timer: NodeJS.Timeout | undefined

  constructor (
    private readonly _hostList: HostList,
    private readonly _members: MemberTable,
    private readonly _peers: LeavingPeerClient,
    private readonly _clock: Clock,
    random: SeededRandom
  ) {
    this._spread = new LeavingPropagation(random)
  }

  /** Begins to read and tell. */
  start (): void {
    this._timer = setInterval(() => {
      this._handle({ kind: 'tick', self: this._members.self, live: this._members.live })
    }, LEAVING_TICK_INTERVAL)
  }

  /** Ends it. */
  stop (): void {
    clearInterval(this._timer)
  }

  /** Whether the server must not be given new work. */
  isLeaving (server: string): boolean {
    return this._spread.isLeaving(server, this._clock.monotonic())
  }

  /** All servers held to be leaving. */
  get leaving (): string[] {
    return this._spread.leaving(this._clock.monotonic())
  }

  /** Takes the names that another instance told. */
  hear (servers: readonly string[]): void {
    this._handle({ kind: 'heard', servers })
  }

  /** What this instance answers to one who asks. */
  get words (): LeavingWord[] {
    return this._spread.words(this._clock.monotonic())
  }

  private _handle (message: LeavingMessage): void {
    for (const effect of this._spread.handle(message, this._clock.monotonic())) this._perform(effect).catch(() => {})
  }

  private async _perform (effect: LeavingEffect): Promise<void> {
    switch (effect.kind) {
      case 'tell': return await this._peers.tell(effect.target.peerAddress, effect.servers)
      case 'ask': return await this._ask(effect.target.peerAddress)
      case 'read-list': return await this._readList()
    }
  }

  private async _ask (address: string): Promise<void> {
    const askedAt = this._clock.monotonic()
    const words = await this._peers.list(address)
    if (words.isOk) this._handle({ kind: 'answered', words: words.value, askedAt })
  }

  private async _readList (): Promise<void> {
    const hosts = await this._hostList.read()
    if (hosts.isOk) this._handle({ kind: 'listed', hosts: hosts.value })
  }
}
