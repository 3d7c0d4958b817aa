/** Goodput under overload and fairness during a batch, compared with plain retries on the same replicas. */
import { CoordinationMeasurement, type MeasurementRow } from '../measurement.js'
import {
  MEAN_SERVICE_TIME, REPLICA_WIDTH, replayOverload,
  type OfferedLoad, type PolicyFactory, type ReplayedRequest
} from './overloadReplay.js'
import { AdmissionPolicy, PlainRetryPolicy } from './policies.js'

/** Requests a second that all replicas together serve at full width. */
const CAPACITY_PER_SECOND = REPLICA_WIDTH * 1_000 / MEAN_SERVICE_TIME
const USUAL_LOAD_SHARE = 0.9
const LENGTH_SECONDS = 60
const BATCH_REQUESTS = 4_000

const POLICIES: readonly PolicyFactory[] = [
  time => new PlainRetryPolicy(time),
  (time, random) => new AdmissionPolicy(time, random)
]

/** Measures goodput, latency and the share of answered requests for each load and policy. */
export class OverloadMeasurement extends CoordinationMeasurement {
  readonly name = 'overload'
  readonly description = `Offered load over ${USUAL_LOAD_SHARE} of capacity (${CAPACITY_PER_SECOND}/s), and a batch of ${BATCH_REQUESTS} at once`

  override run (seed: number): MeasurementRow[] {
    const loads = [1, 2, 4].map(factor => ({
      label: `${factor}x`, load: { requestsPerSecond: CAPACITY_PER_SECOND * USUAL_LOAD_SHARE * factor, batchRequests: 0 }
    }))
    const flood = { label: '0.5x + batch', load: { requestsPerSecond: CAPACITY_PER_SECOND * USUAL_LOAD_SHARE / 2, batchRequests: BATCH_REQUESTS } }
    return [...loads, flood].flatMap(({ label, load }) => POLICIES.map(policy => measure(label, load, policy, seed)))
  }
}

function measure (label: string, load: OfferedLoad, createPolicy: PolicyFactory, seed: number): MeasurementRow {
  let policyName = ''
  const requests = replayOverload(load, (time, random) => {
    const policy = createPolicy(time, random)
    policyName = policy.name
    return policy
  }, seed)
  const usual = requests.filter(request => request.workspace !== 'flood')
  const flood = requests.filter(request => request.workspace === 'flood')
  const shares = sharesByWorkspace(usual)
  return {
    load: label,
    policy: policyName,
    goodputPerSecond: round(usual.filter(isAnsweredUnderLoad).length / LENGTH_SECONDS),
    answeredPercent: answeredPercent(usual),
    interactivePercent: answeredPercent(usual.filter(request => request.requestClass === 'interactive')),
    interactiveP95Milliseconds: percentile(usual.filter(request => request.requestClass === 'interactive'), 0.95),
    triesPerRequest: round(usual.reduce((sum, request) => sum + request.attempts, 0) / usual.length),
    lowestWorkspacePercent: Math.min(...shares),
    highestWorkspacePercent: Math.max(...shares),
    batchAnsweredPercent: flood.length === 0 ? '' : answeredPercent(flood)
  }
}

function isAnswered (request: ReplayedRequest): boolean {
  return request.answeredAt !== undefined
}

/** Whether the request was answered before the load ended; later answers do not count as goodput under load. */
function isAnsweredUnderLoad (request: ReplayedRequest): boolean {
  return request.answeredAt !== undefined && request.answeredAt <= LENGTH_SECONDS * 1_000
}

function answeredPercent (requests: readonly ReplayedRequest[]): number {
  return round(100 * requests.filter(isAnswered).length / Math.max(1, requests.length))
}

function sharesByWorkspace (requests: readonly ReplayedRequest[]): number[] {
  const workspaces = [...new Set(requests.map(request => request.workspace))]
  return workspaces.map(workspace => answeredPercent(requests.filter(request => request.workspace === workspace)))
}

function percentile (requests: readonly ReplayedRequest[], share: number): number | string {
  const latencies = requests.flatMap(request => request.answeredAt === undefined ? [] : [request.answeredAt - request.sentAt])
  latencies.sort((left, right) => left - right)
  return Math.round(latencies[Math.floor(latencies.length * share)] ?? NaN)
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
