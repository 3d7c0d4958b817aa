/** Probes replicas whose streams went silent: one probe at a time for each replica, shared by all runs that wait for it. */
import { ConnectionHealth, type ConnectionHealthEffect, type Milliseconds } from '@wasabihead/coordination'
import type { EngineReplica } from '../backends/index.js'

/** Performs the effects of `ConnectionHealth` for model engines. */
export class ReplicaProber {
  private readonly _health = new ConnectionHealth()
  private readonly _waiters = new Map<number, (isAnswered: boolean) => void>()
  private _lastWaiter = 0

  /** Whether the replica answers on a new connection within the timeout. Drops its pooled connections first. */
  async probe (replica: EngineReplica, timeout: Milliseconds): Promise<boolean> {
    const waiter = ++this._lastWaiter
    const { name } = replica.configuration
    return await new Promise(resolve => {
      this._waiters.set(waiter, resolve)
      this._perform(this._health.handle({ kind: 'silent', address: name, waiter }), replica, timeout)
    })
  }

  private _perform (effects: readonly ConnectionHealthEffect[], replica: EngineReplica, timeout: Milliseconds): void {
    for (const effect of effects) {
      if (effect.kind === 'drop-connections') replica.engine.dropConnections()
      else if (effect.kind === 'probe') this._startProbe(replica, timeout)
      else this._answer(effect.waiter, effect.isAnswered)
    }
  }

  private _startProbe (replica: EngineReplica, timeout: Milliseconds): void {
    const end = (isAnswered: boolean) => {
      const address = replica.configuration.name
      this._perform(this._health.handle({ kind: 'probe-ended', address, isAnswered }), replica, timeout)
    }
    replica.engine.probe(timeout).then(state => { end(state.isOk) }, () => { end(false) })
  }

  private _answer (waiter: number, isAnswered: boolean): void {
    this._waiters.get(waiter)?.(isAnswered)
    this._waiters.delete(waiter)
  }
}
