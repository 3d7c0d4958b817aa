/** `--topic telemetry`: memory and recording time of histograms and counters, up to the target's number of workspaces. */
import { performance } from 'node:perf_hooks'
import { SeededRandom } from '@wasabihead/coordination'
import { Metrics } from '@wasabihead/daemon'
import { CoordinationMeasurement, type MeasurementRow } from '../coordination/measurement.js'
import { usedBytes } from '../process/index.js'

const KINDS = ['lookup', 'answer', 'order'] as const
const MEASURES = ['first-token', 'between-tokens', 'queue-wait', 'whole-answer'] as const
const RECORDS_PER_SERIES = 20
const MEDIAN_MILLISECONDS = 150
const LOGARITHM_SCALE = 1.2
const BYTES_PER_MEGABYTE = 1_000_000
const MICROSECONDS_PER_MILLISECOND = 1_000

/** Records durations and counts for several numbers of workspaces. */
export class TelemetryMeasurement extends CoordinationMeasurement {
  override readonly name = 'telemetry'
  override readonly description = 'memory and recording time of histograms and counters; 3 kinds, 4 timed measures and 1 count per workspace'

  override run (seed: number): MeasurementRow[] {
    return [250, 500, 1_000, 2_300].map(workspaces => {
      const random = new SeededRandom(seed)
      const before = usedBytes()
      const metrics = new Metrics()
      const beganAt = performance.now()
      const records = fill(metrics, workspaces, random)
      const took = performance.now() - beganAt
      const histograms = metrics.readHistograms()
      return {
        workspaces,
        histograms: histograms.length,
        recordsInOther: histograms.filter(({ workspace }) => workspace === 'other').reduce((sum, { count }) => sum + count, 0),
        reckonedMegabytes: round(metrics.bytes / BYTES_PER_MEGABYTE),
        measuredMegabytes: round((usedBytes() - before) / BYTES_PER_MEGABYTE),
        microsecondsPerRecord: round(took * MICROSECONDS_PER_MILLISECOND / records)
      }
    })
  }
}

function fill (metrics: Metrics, workspaces: number, random: SeededRandom): number {
  let records = 0
  for (let round = 0; round < RECORDS_PER_SERIES; round++) {
    for (let workspace = 0; workspace < workspaces; workspace++) {
      for (const kind of KINDS) {
        for (const measure of MEASURES) metrics.time(measure, `workspace-${workspace}`, kind, durationOf(random))
        metrics.count('requests', `workspace-${workspace}`, kind)
        records += MEASURES.length + 1
      }
    }
  }
  return records
}

/** Draws a duration in milliseconds from a long-tailed distribution: its logarithm varies symmetrically around the median's. */
function durationOf (random: SeededRandom): number {
  const spread = (random.next() + random.next() + random.next() - 1.5) * 2
  return MEDIAN_MILLISECONDS * Math.exp(LOGARITHM_SCALE * spread)
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
