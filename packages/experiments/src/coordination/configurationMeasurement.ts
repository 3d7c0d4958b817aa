/** Time until an accepted configuration is in force on all instances, and cost of its propagation. */
import { gzipSync } from 'node:zlib'
import { contentDigest, type Milliseconds } from '@wasabihead/coordination'
import { FAULTLESS, ReplayedFleet } from '../simulation/index.js'
import { CoordinationMeasurement, type MeasurementRow } from './measurement.js'

const FLEET_SIZES = [5, 50, 340]
const CHANGES = 5
const CHANGE_INTERVAL: Milliseconds = 20_000
const SAMPLING_INTERVAL: Milliseconds = 50
const TARGET_WORKSPACES = 2_300
const CHANGES_PER_DAY = 630
const SECONDS_PER_DAY = 86_400
const MILLISECONDS_PER_SECOND = 1_000

const situations = [
  { situation: 'no faults', lossShare: 0, isDownAfterwards: false },
  { situation: '10% loss, service down once accepted', lossShare: 0.1, isDownAfterwards: true }
]

/** Measures the propagation of configurations at several fleet sizes. */
export class ConfigurationMeasurement extends CoordinationMeasurement {
  override readonly name = 'configuration'
  override readonly description = 'seconds until in force everywhere, bytes for each instance, calls on the key-value service'

  override run (seed: number): MeasurementRow[] {
    const configurationBytes = gzipSync(createLargeSource()).length
    return FLEET_SIZES.flatMap(size => situations.map(situation => measure(size, situation, configurationBytes, seed)))
  }
}

function measure (
  size: number, { situation, lossShare, isDownAfterwards }: typeof situations[number], configurationBytes: number, seed: number
): MeasurementRow {
  const fleet = new ReplayedFleet({ instances: size, seed, isSettled: true, configurationBytes })
  fleet.network.lossShare = lossShare
  fleet.time.runUntil(CHANGE_INTERVAL)
  const before = { ...fleet.keyValue.counts, bytes: bytesOf(fleet), at: fleet.time.now }
  const delays: Milliseconds[] = []
  for (let revision = 1; revision <= CHANGES; revision++) delays.push(measurePropagation(fleet, revision, isDownAfterwards))
  const seconds = (fleet.time.now - before.at) / MILLISECONDS_PER_SECOND
  const { reads, writes } = fleet.keyValue.counts
  const spread = bytesOf(fleet).map((bytes, index) => bytes - (before.bytes[index] ?? 0))
  const fetchBytesPerSecond = configurationBytes * CHANGES_PER_DAY / SECONDS_PER_DAY
  delays.sort((left, right) => left - right)
  return {
    instances: size,
    situation,
    medianSeconds: (delays[Math.floor(delays.length / 2)] ?? Infinity) / MILLISECONDS_PER_SECOND,
    worstSeconds: (delays.at(-1) ?? Infinity) / MILLISECONDS_PER_SECOND,
    fetchedBytes: configurationBytes,
    meanBytesPerChange: Math.round(spread.reduce((sum, bytes) => sum + bytes, 0) / spread.length / CHANGES),
    mostBytesPerChange: Math.round(Math.max(...spread) / CHANGES),
    fetchBytesPerSecondAtTarget: Math.round(fetchBytesPerSecond),
    serviceReadsPerSecond: Math.round((reads - before.reads) / seconds * 100) / 100,
    serviceWritesPerChange: (writes - before.writes) / CHANGES
  }
}

/** Applies a revision; returns the time from its acceptance until it is in force everywhere, Infinity if it is not in time. */
function measurePropagation (fleet: ReplayedFleet, revision: number, isDownAfterwards: boolean): Milliseconds {
  const end = fleet.time.now + CHANGE_INTERVAL
  let acceptedAt: Milliseconds | undefined
  const [instance] = fleet.running
  if (instance === undefined) return Infinity
  fleet.apply(instance, revision, `change-${revision}`, false, outcome => {
    if (outcome.kind !== 'accepted') return
    acceptedAt = fleet.time.now
    fleet.keyValue.faults = { ...FAULTLESS, isDown: isDownAfterwards }
  })
  let inForceAt = Infinity
  while (fleet.time.now < end) {
    fleet.time.runUntil(fleet.time.now + SAMPLING_INTERVAL)
    const isEverywhere = fleet.running.every(other => other.self.configurationRevision >= revision)
    if (isEverywhere) inForceAt = Math.min(inForceAt, fleet.time.now)
  }
  fleet.keyValue.faults = FAULTLESS
  fleet.time.runUntil(end + CHANGE_INTERVAL / 10)
  return inForceAt - (acceptedAt ?? -Infinity)
}

function bytesOf (fleet: ReplayedFleet): number[] {
  return fleet.running.map(instance => instance.process.bytes)
}

/** A configuration with as many workspaces as the target; the token digests are distinct, so that they do not compress. */
function createLargeSource (): string {
  const workspaces = Array.from({ length: TARGET_WORKSPACES }, (_, index) => ({
    name: `workspace-${index}`, tokenDigests: [contentDigest(`token-${index}`)], share: 1 + index % 7, maximumConcurrent: 64
  }))
  return JSON.stringify({ workspaces })
}
