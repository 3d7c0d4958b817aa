/** Keeps idle connections to replicas. */
import type { Milliseconds } from '@wasabihead/coordination'
import type { CallTarget } from './addressCalls.js'
import { ReplicaChannel } from './replicaChannel.js'

/** Settings of the pool. */
export interface ChannelPoolSettings {
  connectTimeout: Milliseconds
  /** A request that must not be repeated uses no connection that was idle for longer: it may be about to close. */
  longestIdleForUnrepeatable: Milliseconds
}

interface ReplicaChannels {
  address: string
  idle: ReplicaChannel[]
  open: number
}

/** Connections by the replica's run. */
export class ChannelPool {
  private readonly _replicas = new Map<string, ReplicaChannels>()
  /** Connections opened since the start. */
  opened = 0

  constructor (private readonly _settings: ChannelPoolSettings, private readonly _now: () => Milliseconds) {}

  /** An idle connection to the replica, the one used last, or a new one. */
  take (target: CallTarget, isRepeatable: boolean): ReplicaChannel {
    const channels = this._channelsOf(target)
    const now = this._now()
    for (let channel = channels.idle.pop(); channel !== undefined; channel = channels.idle.pop()) {
      const isFresh = isRepeatable || now - channel.usedAt <= this._settings.longestIdleForUnrepeatable
      if (!channel.isClosed && now < channel.usableUntil && isFresh) return channel
      channel.close()
    }
    channels.open += 1
    this.opened += 1
    return new ReplicaChannel(
      target.address, this._settings.connectTimeout, this._now,
      idle => { channels.idle.push(idle) },
      () => { channels.open -= 1 }
    )
  }

  /** Closes the idle connections to a replica. */
  forget (replicaId: string): void {
    const channels = this._replicas.get(replicaId)
    if (channels === undefined) return
    for (const channel of channels.idle.splice(0)) channel.close()
    if (channels.open === 0) this._replicas.delete(replicaId)
  }

  /** Closes all idle connections, as after a pause in which they may have died. */
  closeIdle (): void {
    for (const replicaId of this._replicas.keys()) this.forget(replicaId)
  }

  /** Closes idle connections that the replica is about to close. */
  sweep (): void {
    const now = this._now()
    for (const [replicaId, channels] of this._replicas) {
      const usable = channels.idle.filter(channel => !channel.isClosed && now < channel.usableUntil)
      for (const channel of channels.idle) if (!usable.includes(channel)) channel.close()
      channels.idle = usable
      if (channels.open === 0) this._replicas.delete(replicaId)
    }
  }

  private _channelsOf ({ id, address }: CallTarget): ReplicaChannels {
    const known = this._replicas.get(id)
    if (known !== undefined && known.address === address) return known
    if (known !== undefined) this.forget(id)
    const channels = { address, idle: [], open: 0 }
    this._replicas.set(id, channels)
    return channels
  }
}
