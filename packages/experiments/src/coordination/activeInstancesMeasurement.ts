/** What the instances of a fleet send each other, and how often they read the store, with and without active instances. */
import { registrationLease, type Milliseconds } from '@wasabihead/coordination'
import { ActiveFleetReplay } from './activeFleetReplay.js'
import { CoordinationMeasurement, type MeasurementRow } from './measurement.js'

const FLEETS = [
  { instances: 34, requestsPerSecond: 270 },
  { instances: 128, requestsPerSecond: 270 },
  { instances: 340, requestsPerSecond: 3_600 }
]
/** Settings in which an instance of this build has an active set, and one that sends as builds without it do. */
const BUILDS = ['all to all', 'active'] as const
const SETTLING_TIME: Milliseconds = 15_000
const USUAL_LEASE = { timeToLive: 4_500, renewEvery: 1_500 }
const OBSERVED_SECONDS = 10
const MILLISECONDS_PER_SECOND = 1_000
const BYTES_PER_KILOBYTE = 1_000

/** Measures heartbeats and reads at several fleet sizes. */
export class ActiveInstancesMeasurement extends CoordinationMeasurement {
  override readonly name = 'active-instances'
  override readonly description = 'heartbeats between instances, reads of the store, and age of the loads that decisions see'

  override run (seed: number): MeasurementRow[] {
    return FLEETS.flatMap(fleet => BUILDS.map(build => {
      const olderBuilds = build === 'active' ? 0 : fleet.instances
      return { instances: fleet.instances, build, ...measure({ ...fleet, seed, olderBuilds }) }
    }))
  }
}

function measure (options: ConstructorParameters<typeof ActiveFleetReplay>[0]): MeasurementRow {
  const fleet = new ActiveFleetReplay(options)
  fleet.run(SETTLING_TIME)
  fleet.reset()
  fleet.run(OBSERVED_SECONDS * MILLISECONDS_PER_SECOND)
  const { counts, instances, now } = fleet
  const { renewEvery } = registrationLease(USUAL_LEASE, instances[0]?.fronts.knownSize)
  const placing = instances.filter(({ ends }) => ends.length > 0).length
  return {
    placing,
    active: instances.filter(({ fronts }) => fronts.isActive(fronts.self.name, now)).length,
    messagesPerSecond: Math.round(counts.messages / OBSERVED_SECONDS),
    messagesBetweenPerSecond: Math.round(counts.messagesBetween / OBSERVED_SECONDS),
    kilobytesPerSecond: Math.round(counts.bytes / OBSERVED_SECONDS / BYTES_PER_KILOBYTE),
    kilobytesBetweenPerSecond: Math.round(counts.bytesBetween / OBSERVED_SECONDS / BYTES_PER_KILOBYTE),
    readsPerSecond: counts.reads / OBSERVED_SECONDS,
    renewalsPerSecond: Math.round(instances.length * MILLISECONDS_PER_SECOND / renewEvery),
    loadAge: Math.round(counts.loadAges / Math.max(1, counts.loadSamples))
  }
}
