/** One read-out of an instance for operators. */
import type Router from '@koa/router'
import type { ConfigurationVersion, MemberTable, ReplicaState } from '@wasabihead/coordination'
import type { Metrics } from '../telemetry/index.js'
import { OperatorRoutes } from './operatorRoutes.js'

/** What the read-out is made from. */
export interface StatusSources {
  environment: string
  members: MemberTable
  metrics: Metrics
  /** Revision and digest in force here. */
  configurationVersion: () => ConfigurationVersion
  /** Requests that run here, claimed ones included. */
  running: () => number
  backendServers: () => readonly ReplicaState[]
}

/** Shows one instance whole. */
export class StatusRoutes extends OperatorRoutes {
  constructor (private readonly _sources: StatusSources) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/status', context => { context.body = this._read() })
  }

  private _read (): object {
    const { environment, members, metrics } = this._sources
    const { host, dataCentre, incarnation, state, callerAddress } = members.self
    return {
      instance: { host, dataCentre, environment, incarnation, state, callerAddress },
      configuration: this._sources.configurationVersion(),
      running: this._sources.running(),
      members: members.members,
      // Up to which of its cache events each engine is known here.
      backendServers: this._sources.backendServers().map(({ name, acceptsWork, lastEventSequence }) => (
        { name, acceptsWork, lastEventSequence })),
      histograms: metrics.readHistograms(),
      counters: metrics.readCounters()
    }
  }
}
