/** Figures of one replay as a line of a table. */
import type { ReplayCounts } from './replay.js'

const MICROSECOND_DIGITS = 1
const BYTES_PER_GIGABYTE = 1_000_000_000

/** The figures of one policy on one seed. */
export interface PolicySummary {
  policy: string
  /** Times to first token in milliseconds. */
  p50: number
  p95: number
  p99: number
  /** The same for prompts that came before. */
  returningP50: number
  returningP95: number
  /** Recomputed share of prompt tokens, in percent. */
  recomputedPercent: number
  /** Processor time of a decision in microseconds. */
  decisionP50: number
  decisionP99: number
  importedGigabytes: string
  exportedGigabytes: string
  repeated: number
  unanswered: number
}

/** Sums a replay up. */
export function summarize (policy: string, counts: ReplayCounts): PolicySummary {
  return {
    policy,
    p50: Math.round(percentile(counts.firstTokenTimes, 50)),
    p95: Math.round(percentile(counts.firstTokenTimes, 95)),
    p99: Math.round(percentile(counts.firstTokenTimes, 99)),
    returningP50: Math.round(percentile(counts.returningFirstTokenTimes, 50)),
    returningP95: Math.round(percentile(counts.returningFirstTokenTimes, 95)),
    recomputedPercent: round(counts.recomputedTokens / Math.max(1, counts.promptTokens) * 100, 2),
    decisionP50: round(percentile(counts.decisionTimes, 50), MICROSECOND_DIGITS),
    decisionP99: round(percentile(counts.decisionTimes, 99), MICROSECOND_DIGITS),
    importedGigabytes: counts.linkBytes.map(({ importedBytes }) => gigabytes(importedBytes)).join(' + '),
    exportedGigabytes: counts.linkBytes.map(({ exportedBytes }) => gigabytes(exportedBytes)).join(' + '),
    repeated: counts.repeated,
    unanswered: counts.unanswered
  }
}

/** The value that this many of a hundred do not exceed; 0 where there are none. */
export function percentile (values: readonly number[], percent: number): number {
  const sorted = Float64Array.from(values).sort()
  return sorted[Math.max(0, Math.ceil(sorted.length * percent / 100) - 1)] ?? 0
}

/** Rounds to some decimal digits. */
export function round (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}

function gigabytes (bytes: number): string {
  return (bytes / BYTES_PER_GIGABYTE).toFixed(0)
}
