/** Route for operators that shows the state of an instance. */
import type Router from '@koa/router'
import type { ConfigurationVersion, MemberTable, ReplicaState } from '@wasabihead/coordination'
import type { Metrics } from '../telemetry/index.js'
import { OperatorRoutes } from './operatorRoutes.js'

/** Sources of the state that is shown. */
export interface StatusSources {
  environment: string
  members: MemberTable
  metrics: Metrics
  /** Revision and digest of the configuration in force on this instance. */
  configurationVersion: () => ConfigurationVersion
  /** Number of requests that run on this instance, including claimed ones. */
  running: () => number
  backendServers: () => readonly ReplicaState[]
}

/** Shows members, configuration, backend servers and metrics of this instance in one answer. */
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
      // lastEventSequence: the last cache event of each engine that this instance has processed.
      backendServers: this._sources.backendServers().map(({ name, acceptsWork, lastEventSequence }) => (
        { name, acceptsWork, lastEventSequence })),
      histograms: metrics.readHistograms(),
      counters: metrics.readCounters()
    }
  }
}
