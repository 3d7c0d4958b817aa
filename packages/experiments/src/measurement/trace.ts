/** Makes the seeded trace of a workload: prompts that share rulebooks, return after gaps and grow, and batches. */
import { MILLISECONDS_PER_SECOND, SeededRandom, type Milliseconds } from '@wasabihead/coordination'
import { BATCH_FACTOR, type ReplayFault } from './faults.js'
import type { Workload } from './workload.js'

const INTERACTIVE = 0
const BATCH = 2
const LONGEST_TAIL_TOKENS = 1_500

/** One request of the trace. */
export interface TraceRequest {
  at: Milliseconds
  workspace: string
  prompt: string
  blockKeys: readonly string[]
  promptTokens: number
  outputTokens: number
  /** 0 goes first. */
  priority: number
  /** Whether the prompt came before. */
  isReturn: boolean
}

interface Rulebook {
  workspace: string
  blockKeys: readonly string[]
}

/** The requests in the order of their arrival. The same workload and seed give the same trace. */
export function makeTrace (workload: Workload, seed: number, fault: ReplayFault): TraceRequest[] {
  const random = new SeededRandom(seed)
  const rulebooks = makeRulebooks(workload, random)
  const requests: TraceRequest[] = []
  let promptCount = 0
  const add = (at: Milliseconds, rulebook: Rulebook, priority: number): void => {
    requests.push(...makeVisits(workload, random, at, rulebook, `prompt-${promptCount++}`, priority))
  }
  for (let at = 0; at < workload.duration; at += exponential(random, MILLISECONDS_PER_SECOND / workload.newPromptsPerSecond)) {
    add(at, pickRulebook(rulebooks, random), INTERACTIVE)
  }
  for (let at = workload.batchInterval * random.next(); at < workload.duration; at += workload.batchInterval) {
    const rulebook = pickRulebook(rulebooks, random)
    const prompts = workload.batchPrompts * (fault === 'batch' ? BATCH_FACTOR : 1)
    for (let index = 0; index < prompts; index++) add(at, rulebook, BATCH)
  }
  return requests.sort((left, right) => left.at - right.at)
}

function makeRulebooks (workload: Workload, random: SeededRandom): Rulebook[] {
  return Array.from({ length: workload.workspaces * workload.rulebooksPerWorkspace }, (_, index) => ({
    workspace: `workspace-${index % workload.workspaces}`,
    blockKeys: Array.from({ length: between(random, workload.rulebookBlocks) }, (_, block) => `rulebook-${index}-${block}`)
  }))
}

/** A few workspaces are large: the square of an even draw favours the first ones. */
function pickRulebook (rulebooks: readonly Rulebook[], random: SeededRandom): Rulebook {
  return rulebooks[Math.floor(rulebooks.length * random.next() ** 2)] as Rulebook
}

function makeVisits (
  workload: Workload, random: SeededRandom, firstAt: Milliseconds, rulebook: Rulebook, prompt: string, priority: number
): TraceRequest[] {
  const visits: TraceRequest[] = []
  let ownBlocks = between(random, workload.ownBlocks)
  for (let at = firstAt; at < workload.duration; at += returnGap(workload, random)) {
    const own = Array.from({ length: ownBlocks }, (_, block) => `${prompt}-${block}`)
    const blockKeys = [...rulebook.blockKeys, ...own]
    visits.push({
      at,
      workspace: rulebook.workspace,
      prompt,
      blockKeys,
      promptTokens: blockKeys.length * workload.blockTokens + random.integer(LONGEST_TAIL_TOKENS),
      outputTokens: 50 + random.integer(350),
      priority,
      isReturn: at > firstAt
    })
    if (random.next() >= workload.returnChance) break
    ownBlocks += random.integer(2)
  }
  return visits
}

/** Even on the scale of logarithms: as many gaps of minutes as of hours and of days. */
function returnGap (workload: Workload, random: SeededRandom): Milliseconds {
  return workload.shortestGap * (workload.longestGap / workload.shortestGap) ** random.next()
}

function exponential (random: SeededRandom, mean: Milliseconds): Milliseconds {
  return -Math.log(1 - random.next()) * mean
}

function between (random: SeededRandom, [least, most]: readonly [number, number]): number {
  return least + random.integer(most - least + 1)
}
