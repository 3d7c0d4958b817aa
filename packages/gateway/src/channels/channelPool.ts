/** Pool of connections to replicas and stores. */
import type { Milliseconds } from '@wasabihead/coordination'
import type { CallTarget } from './addressCalls.js'
import { ReplicaChannel } from './replicaChannel.js'

/** Settings of a connection pool. */
export interface ChannelPoolSettings {
  connectTimeout: Milliseconds
  /** Requests that must not be repeated use no connection that has been idle for longer: the replica may be closing it. */
  longestIdleForUnrepeatable: Milliseconds
}

interface ReplicaChannels {
  address: string
  /** The last used one is at the end. */
  idle: ReplicaChannel[]
  /** Number of open connections, idle or in use. */
  open: number
}

/** Connections by the replica's run, or by the store's address. */
export class ChannelPool {
  private readonly _replicas = new Map<string, ReplicaChannels>()
  /** Number of connections opened since the process started. */
  opened = 0

  /**
   * @param _onLink called when a connection to a target was opened, or could not be
   * @param _onEndedByTarget called when a target has ended an open connection, idle or in use
   */
  constructor (
    private readonly _settings: ChannelPoolSettings,
    private readonly _now: () => Milliseconds,
    private readonly _onLink: (target: CallTarget, isConnected: boolean) => void,
    private readonly _onEndedByTarget: (target: CallTarget) => void = () => {}
  ) {}

  /** Removes the most recently used idle connection from the pool if it is still usable, or opens a new one. */
  acquire (target: CallTarget, isRepeatable: boolean): ReplicaChannel {
    const channels = this._channelsFor(target)
    const now = this._now()
    for (let channel = channels.idle.pop(); channel !== undefined; channel = channels.idle.pop()) {
      const isFresh = isRepeatable || now - channel.lastUsedAt <= this._settings.longestIdleForUnrepeatable
      if (!channel.isClosed && now < channel.usableUntil && isFresh) return channel
      channel.close()
    }
    return this._open(target, channels)
  }

  /** Opens a connection to find out whether that is possible, which `onLink` is told. It stays in the pool for requests. */
  probe (target: CallTarget): void {
    this._open(target, this._channelsFor(target)).keepOnceConnected()
  }

  /** Whether there is an idle connection that was opened, or carried a complete answer, at or after a time. */
  hasIdleSince (targetId: string, time: Milliseconds): boolean {
    const now = this._now()
    const idle = this._replicas.get(targetId)?.idle ?? []
    return idle.some(channel => !channel.isClosed && channel.lastUsedAt >= time && now < channel.usableUntil)
  }

  /** Closes the idle connections to a replica. */
  closeIdleConnections (replicaId: string): void {
    const channels = this._replicas.get(replicaId)
    if (channels === undefined) return
    for (const channel of channels.idle.splice(0)) channel.close()
    if (channels.open === 0) this._replicas.delete(replicaId)
  }

  /** Closes all idle connections, for example after a pause of the process, during which they may have been closed. */
  closeAllIdleConnections (): void {
    for (const replicaId of this._replicas.keys()) this.closeIdleConnections(replicaId)
  }

  /** Closes idle connections whose keep-alive timeout is about to pass, before the replica closes them. */
  closeExpiringConnections (): void {
    const now = this._now()
    for (const [replicaId, channels] of this._replicas) {
      const usable = channels.idle.filter(channel => !channel.isClosed && now < channel.usableUntil)
      for (const channel of channels.idle) if (!usable.includes(channel)) channel.close()
      channels.idle = usable
      if (channels.open === 0) this._replicas.delete(replicaId)
    }
  }

  private _open (target: CallTarget, channels: ReplicaChannels): ReplicaChannel {
    channels.open += 1
    this.opened += 1
    return new ReplicaChannel(
      target.address, this._settings.connectTimeout, this._now,
      isConnected => { this._onLink({ id: target.id, address: target.address }, isConnected) },
      idle => { channels.idle.push(idle) },
      ({ wasEndedByTarget }) => {
        channels.open -= 1
        if (wasEndedByTarget) this._onEndedByTarget({ id: target.id, address: target.address })
      }
    )
  }

  private _channelsFor ({ id, address }: CallTarget): ReplicaChannels {
    const known = this._replicas.get(id)
    if (known !== undefined && known.address === address) return known
    if (known !== undefined) this.closeIdleConnections(id)
    const channels = { address, idle: [], open: 0 }
    this._replicas.set(id, channels)
    return channels
  }
}
