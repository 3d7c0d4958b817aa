/** Admission and retry budgets of one instance, with many workspaces that send at once. */
import { AdmissionQueue, RetryBudgets, SeededRandom, type AdmissionEntry } from '@wasabihead/coordination'
import { CapacityRole, type CapacitySample } from './capacityRole.js'
import { measureKeptBytes, measureProcessorTime } from '../process/index.js'

/** The peak of 3,600 requests a second over 340 nodes, four times as many where the load lies unevenly. */
const REQUESTS_PER_SECOND = 42
const ROUNDS = 5
const KINDS = 3
const MAXIMUM_WAITING = 1_024
const SETTINGS = { initialLimit: 32, minimumLimit: 4, maximumLimit: 512, maximumWaiting: MAXIMUM_WAITING }
const BUDGETS = { retryShare: 0.2, maximumSavedRetries: 10, maximumBudgets: 4_096, idleTime: 600_000 }
const MILLISECONDS_PER_SECOND = 1_000

interface AdmissionState {
  queue: AdmissionQueue
  budgets: RetryBudgets
}

/** Measures full queues, one request of each workspace waiting as far as the queue holds them. */
export class AdmissionRole extends CapacityRole {
  override readonly name = 'admission'
  override readonly mechanism = 'a bounded queue by class and workspace share; budgets bounded and forgotten when idle'
  override readonly unit = 'workspaces that send at once'
  override readonly sizes = [250, 500, 1_000] as const
  override readonly targetSize = 2_300

  override measure (size: number): CapacitySample {
    const { state, bytes } = measureKeptBytes(() => fill(size))
    const time = measureProcessorTime(() => { turnOver(state.queue, size) })
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

function fill (size: number): AdmissionState {
  const queue = new AdmissionQueue({ ...SETTINGS, random: new SeededRandom(1) })
  const budgets = new RetryBudgets(BUDGETS)
  for (let index = 0; index < size; index++) {
    queue.handle({ kind: 'enter', entry: entryOf(index) }, 0)
    for (let kind = 0; kind < KINDS; kind++) budgets.onFirstAttempt(`workspace-${index}`, `kind-${kind}`, 0)
  }
  return { queue, budgets }
}

/** Each request enters and leaves while the queue stays full. */
function turnOver (queue: AdmissionQueue, size: number): void {
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
    requestKind: `kind-${index % KINDS}`,
    deadline: 10_000_000
  }
}
