/** Reports that the evacuation of a data centre has begun or ended. */
import type { CatalogChange } from '@wasabihead/coordination'
import { suspectCold } from './coldReplicaEvents.js'
import type { GatewayState } from './gatewayState.js'

/** Changes of the evacuated data centres. */
export type EvacuationChange = Extract<CatalogChange, { zone: string }>

/** Logs the change; the replicas of a data centre whose evacuation has ended count as cold until they say otherwise. */
export function onEvacuationChange (state: GatewayState, { kind, zone }: EvacuationChange): void {
  const { catalog, log, metrics } = state
  const replicas = catalog.replicas.filter(replica => replica.zone === zone)
  log.change(kind, { zone, replicas: replicas.length })
  metrics.gauge('evacuated_data_centres', catalog.evacuatedZones.length)
  if (kind === 'data-centre-evacuated') {
    if (replicas.length === 0) log.warn('data-centre-unknown', { zone })
    return
  }
  for (const { id } of replicas) suspectCold(state, id, 'evacuation-ended')
}
