/** The metrics in the text format of Prometheus. */
import type { Metrics } from './metrics.js'

const PREFIX = 'wasabihead'

/** Formats histograms as summaries in milliseconds, and counters as totals. */
export function formatMetrics (metrics: Metrics): string {
  const lines: string[] = []
  for (const { workspace, requestKind, measure, count, p50, p95, p99 } of metrics.readHistograms()) {
    const name = `${PREFIX}_${nameOf(measure)}_milliseconds`
    const labels = labelsOf(workspace, requestKind)
    for (const [quantile, value] of [['0.5', p50], ['0.95', p95], ['0.99', p99]]) {
      lines.push(`${name}{${labels},quantile="${quantile}"} ${value}`)
    }
    lines.push(`${name}_count{${labels}} ${count}`)
  }
  for (const { workspace, requestKind, measure, count } of metrics.readCounters()) {
    lines.push(`${PREFIX}_${nameOf(measure)}_total{${labelsOf(workspace, requestKind)}} ${count}`)
  }
  return lines.map(line => `${line}\n`).join('')
}

function nameOf (measure: string): string {
  return measure.replaceAll('-', '_')
}

/** Names of workspaces and kinds need no escaping: they consist of lower-case letters, digits and hyphens. */
function labelsOf (workspace: string, requestKind: string): string {
  return `workspace="${workspace}",kind="${requestKind}"`
}
