/** Cost of admission and retry budgets on one instance while many workspaces send at once. */
import { AdmissionQueue, RetryBudgets, SeededRandom, type AdmissionEntry } from '@wasabihead/coordination'
import { CapacityRole, type CapacitySample } from './capacityRole.js'
import { measureKeptBytes, measureProcessorTime } from '../process/index.js'

/** Peak rate of one node: 3,600 requests a second over 340 nodes, times four for uneven load. */
const REQUESTS_PER_SECOND = 42
const ROUNDS = 5
const REQUEST_KIND_COUNT = 3
const MAXIMUM_WAITING = 1_024
const QUEUE_SETTINGS = { initialLimit: 32, minimumLimit: 4, maximumLimit: 512, maximumWaiting: MAXIMUM_WAITING }
const BUDGET_SETTINGS = { retryShare: 0.2, maximumSavedRetries: 10, maximumBudgets: 4_096, idleTime: 600_000 }
const MILLISECONDS_PER_SECOND = 1_000

interface AdmissionState {
  queue: AdmissionQueue
  budgets: RetryBudgets
}

/** Measures a queue with one waiting request for each workspace, up to the maximum length of the queue. */
export class AdmissionRole extends CapacityRole {
  override readonly name = 'admission'
  override readonly mechanism = 'a bounded queue by class and workspace share; budgets bounded and forgotten when idle'
  override readonly unit = 'workspaces that send at once'
  override readonly sizes = [250, 500, 1_000] as const
  override readonly targetSize = 2_300

  override measure (size: number): CapacitySample {
    const { state, bytes } = measureKeptBytes(() => createFullState(size))
    const time = measureProcessorTime(() => { replaceRequests(state.queue, size) })
    const millisecondsPerRequest = time / (size * ROUNDS)
    return {
      size,
      coreShare: millisecondsPerRequest * REQUESTS_PER_SECOND / MILLISECONDS_PER_SECOND,
      stateBytes: bytes,
      networkBytesPerSecond: 0,
      keyValueCallsPerSecond: 0
    }
  }
}

function createFullState (size: number): AdmissionState {
  const queue = new AdmissionQueue({ ...QUEUE_SETTINGS, random: new SeededRandom(1) })
  const budgets = new RetryBudgets(BUDGET_SETTINGS)
  for (let index = 0; index < size; index++) {
    queue.handle({ kind: 'enter', entry: entryOf(index) }, 0)
    for (let kind = 0; kind < REQUEST_KIND_COUNT; kind++) budgets.onFirstAttempt(`workspace-${index}`, `kind-${kind}`, 0)
  }
  return { queue, budgets }
}

/** Adds and completes requests one by one, so that the queue keeps its length. */
function replaceRequests (queue: AdmissionQueue, size: number): void {
  for (let index = 0; index < size * ROUNDS; index++) {
    queue.handle({ kind: 'enter', entry: entryOf(size + index) }, index)
    queue.handle({ kind: 'leave', id: index, outcome: 'answered' }, index)
  }
}

function entryOf (index: number): AdmissionEntry {
  return {
    id: index,
    workspace: `workspace-${index}`,
    share: 1,
    maximumConcurrent: 64,
    requestClass: 'normal',
    requestKind: `kind-${index % REQUEST_KIND_COUNT}`,
    deadline: 10_000_000
  }
}
