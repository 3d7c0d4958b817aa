/** Runs a planned load with faults against a fleet, and checks the recorded history. */
import * as hdr from 'hdr-histogram-js'
import { performance } from 'node:perf_hooks'
import type { Milliseconds } from '@wasabihead/coordination'
import type { Fleet } from '../processes/index.js'
import { HostChooser, sendWithRetries, type RequestRecord } from './loadCaller.js'
import { injectFault, type PlannedFault } from './loadFaults.js'
import { judgeLoad, type LoadBreach } from './loadJudge.js'
import { planLoad, type LoadKind, type LoadShape } from './loadPlan.js'

/** Results for one kind of request; the percentiles are of the time from first send to whole answer. */
export interface LoadRow {
  kind: LoadKind
  requests: number
  whole: number
  sends: number
  refusals: number
  unanswered: number
  p50: Milliseconds
  p95: Milliseconds
  p99: Milliseconds
}

/** Results of a run. `refusals` counts the refusals by type and `notRun`. */
export interface LoadReport {
  rows: LoadRow[]
  refusals: Record<string, number>
  breaches: LoadBreach[]
  records: readonly RequestRecord[]
}

/** Sends the planned requests and injects the faults at their times. Resolves when all requests and faults have ended. */
export async function runLoad (fleet: Fleet, shape: LoadShape, faults: readonly PlannedFault[]): Promise<LoadReport> {
  const started = performance.now()
  const entries = new Set(fleet.instances.map(instance => instance.addresses.caller))
  const chooser = new HostChooser(() => [...entries, ...fleet.instances.map(instance => instance.addresses.caller)])
  const injected = faults.map(async fault => {
    await waitUntilTime(started + fault.at)
    await injectFault(fleet, fault)
  })
  const sent = planLoad(shape).map(async request => {
    await waitUntilTime(started + request.at)
    return await sendWithRetries(request, chooser)
  })
  const records = await Promise.all(sent)
  await Promise.all(injected)
  return toReport(records, judgeLoad(records, await fleet.recordedCalls()))
}

async function waitUntilTime (time: Milliseconds): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, Math.max(0, time - performance.now())) })
}

function toReport (records: readonly RequestRecord[], breaches: LoadBreach[]): LoadReport {
  const refusals: Record<string, number> = {}
  for (const { outcome } of records.flatMap(({ sends }) => sends)) {
    if (outcome.kind !== 'refused') continue
    const name = `${outcome.type}, notRun ${String(outcome.notRun)}`
    refusals[name] = (refusals[name] ?? 0) + 1
  }
  const kinds = [...new Set(records.map(({ request }) => request.kind))].sort()
  const rows = kinds.map(kind => toRow(kind, records.filter(({ request }) => request.kind === kind)))
  return { rows, refusals, breaches, records }
}

function toRow (kind: LoadKind, records: readonly RequestRecord[]): LoadRow {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 })
  const whole = records.filter(({ sends }) => sends.at(-1)?.outcome.kind === 'whole')
  for (const { sends } of whole) {
    histogram.recordValue(Math.round((sends.at(-1)?.answeredAt ?? 0) - (sends[0]?.sentAt ?? 0)))
  }
  const outcomes = records.flatMap(({ sends }) => sends.map(({ outcome }) => outcome.kind))
  return {
    kind,
    requests: records.length,
    whole: whole.length,
    sends: outcomes.length,
    refusals: outcomes.filter(outcome => outcome === 'refused').length,
    unanswered: outcomes.filter(outcome => outcome === 'no-answer').length,
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99)
  }
}
