/** Rows that show where the time and the recomputed tokens of a replay went, and the references beside them. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '@wasabihead/coordination'
import { recomputeCauses, type Explanation, type FirstTokenSplit, type RecomputeCause } from './explanation.js'
import { leastRecomputedTokens, pooledRecomputedTokens, type LeastRecompute } from './knowingBound.js'
import type { ReplayCounts } from './replay.js'
import { percentile, round } from './summary.js'
import type { TraceRequest } from './trace.js'
import type { Workload } from './workload.js'

const SLOWEST_SHARE = 0.05
const SHARE_DIGITS = 2

/** Causes of one policy on one seed. */
export type ExplanationRow = Record<RecomputeCause, number> & {
  policy: string
  utilisationPercent: number
  interactiveP95: Milliseconds
  batchP95: Milliseconds
  /** Share of the slowest twentieth that are first visits. */
  slowestFirstVisitPercent: number
  /** Mean times of the slowest twentieth. */
  slowestImporting: Milliseconds
  slowestQueued: Milliseconds
  slowestComputing: Milliseconds
}

/** Recomputed share, and times to first token without queue or import at these replicas' speed. */
export interface ReferenceRow {
  policy: string
  recomputedPercent: number
  p50: Milliseconds
  p95: Milliseconds
  p99: Milliseconds
  returningP50: Milliseconds
  returningP95: Milliseconds
}

/** Sums the causes up. */
export function summarizeExplanation (policy: string, explanation: Explanation, counts: ReplayCounts): ExplanationRow {
  const splits = [...explanation.splits].sort((left, right) => right.total - left.total)
  const slowest = splits.slice(0, Math.ceil(splits.length * SLOWEST_SHARE))
  const shares = recomputeCauses.map(cause =>
    [cause, percentOf(explanation.recomputedTokens.get(cause) ?? 0, counts.promptTokens)])
  return {
    policy,
    utilisationPercent: percentOf(counts.utilisation, 1),
    interactiveP95: p95Of(splits.filter(({ priority }) => priority === 0)),
    batchP95: p95Of(splits.filter(({ priority }) => priority > 0)),
    slowestFirstVisitPercent: percentOf(slowest.filter(({ isReturn }) => !isReturn).length, slowest.length),
    slowestImporting: meanOf(slowest, ({ importing }) => importing),
    slowestQueued: meanOf(slowest, ({ queued }) => queued),
    slowestComputing: meanOf(slowest, ({ computing }) => computing),
    ...Object.fromEntries(shares) as Record<RecomputeCause, number>
  }
}

/** The references of a trace: each prompt alone on an idle replica that holds all that the pool of all tiers holds. */
export function referenceRows (workload: Workload, trace: readonly TraceRequest[]): ReferenceRow[] {
  return [
    referenceRow('all-knowing', workload, leastRecomputedTokens(workload, trace)),
    referenceRow('pooled-least-recently-used', workload, pooledRecomputedTokens(workload, trace))
  ]
}

function referenceRow (policy: string, workload: Workload, recomputes: readonly LeastRecompute[]): ReferenceRow {
  const counted = recomputes.filter(({ request }) => request.at >= workload.warmUp)
  const timeOf = ({ recomputedTokens }: LeastRecompute): Milliseconds =>
    recomputedTokens / workload.prefillTokensPerSecond * MILLISECONDS_PER_SECOND
  const times = counted.map(timeOf)
  const returning = counted.filter(({ request }) => request.isReturn).map(timeOf)
  const promptTokens = counted.reduce((sum, { request }) => sum + request.promptTokens, 0)
  return {
    policy,
    recomputedPercent: percentOf(counted.reduce((sum, { recomputedTokens }) => sum + recomputedTokens, 0), promptTokens),
    p50: Math.round(percentile(times, 50)),
    p95: Math.round(percentile(times, 95)),
    p99: Math.round(percentile(times, 99)),
    returningP50: Math.round(percentile(returning, 50)),
    returningP95: Math.round(percentile(returning, 95))
  }
}

function p95Of (splits: readonly FirstTokenSplit[]): Milliseconds {
  return Math.round(percentile(splits.map(({ total }) => total), 95))
}

function meanOf (splits: readonly FirstTokenSplit[], valueOf: (split: FirstTokenSplit) => Milliseconds): Milliseconds {
  return Math.round(splits.reduce((sum, split) => sum + valueOf(split), 0) / Math.max(1, splits.length))
}

function percentOf (part: number, whole: number): number {
  return round(part / Math.max(1, whole) * 100, SHARE_DIGITS)
}
