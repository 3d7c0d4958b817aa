/** The workloads that are replayed: sizes of the fleets, and how prompts come and return. */
import { MILLISECONDS_PER_HOUR, type Milliseconds } from '@wasabihead/coordination'

const MILLISECONDS_PER_MINUTE: Milliseconds = 60_000

/** Sizes and habits of one user's fleet. */
export interface Workload {
  name: string
  duration: Milliseconds
  /** Requests that arrive earlier fill the caches and are not counted. */
  warmUp: Milliseconds
  hosts: number
  dataCentres: number
  delayBetweenDataCentres: Milliseconds
  replicas: number
  prefillTokensPerSecond: number
  engineCacheBlocks: number
  stores: number
  storeMemoryBlocks: number
  storeDiskBlocks: number
  linkBytesPerSecond: number
  diskBytesPerSecond: number
  blockTokens: number
  blockBytes: number
  workspaces: number
  rulebooksPerWorkspace: number
  /** Whole blocks of a rulebook: least and most. */
  rulebookBlocks: readonly [number, number]
  /** Whole blocks of a prompt after its rulebook, when it first comes: least and most. */
  ownBlocks: readonly [number, number]
  newPromptsPerSecond: number
  /** Chance that a prompt returns once more. */
  returnChance: number
  shortestGap: Milliseconds
  longestGap: Milliseconds
  batchInterval: Milliseconds
  batchPrompts: number
  recomputeWeight: number
}

const common = {
  duration: 48 * MILLISECONDS_PER_HOUR,
  warmUp: 8 * MILLISECONDS_PER_HOUR,
  replicas: 13,
  prefillTokensPerSecond: 6_000,
  engineCacheBlocks: 300,
  stores: 2,
  storeMemoryBlocks: 1_000,
  storeDiskBlocks: 15_600,
  blockTokens: 2_000,
  blockBytes: 64_000_000,
  workspaces: 10,
  newPromptsPerSecond: 0.06,
  returnChance: 0.8,
  shortestGap: 2 * MILLISECONDS_PER_MINUTE,
  longestGap: 30 * MILLISECONDS_PER_HOUR,
  batchInterval: 6 * MILLISECONDS_PER_HOUR,
  batchPrompts: 60
}

/** The workloads by name. */
export const workloads: readonly Workload[] = [
  {
    ...common,
    name: 'harrowgate',
    hosts: 5,
    dataCentres: 3,
    delayBetweenDataCentres: 1.5,
    linkBytesPerSecond: 1_000_000_000,
    diskBytesPerSecond: 600_000_000,
    rulebooksPerWorkspace: 3,
    rulebookBlocks: [6, 18],
    ownBlocks: [3, 12],
    recomputeWeight: 0.1
  },
  {
    ...common,
    name: 'warmerhomes',
    hosts: 5,
    dataCentres: 4,
    delayBetweenDataCentres: 1,
    linkBytesPerSecond: 300_000_000,
    diskBytesPerSecond: 250_000_000,
    rulebooksPerWorkspace: 1,
    rulebookBlocks: [24, 36],
    ownBlocks: [2, 6],
    recomputeWeight: 0.8
  }
]
