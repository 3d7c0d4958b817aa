/** What a load run sends: arrivals at random times, some of them prompts that return. The same seed gives the same plan. */
import { SeededRandom, type Milliseconds } from '@wasabihead/coordination'
import { HARROWGATE_TOKEN, TRENT_TOKEN } from '../processes/index.js'

const PROMPT_CHARACTERS = 1_200
const KIND_SHARES = [
  { kind: 'policy-answer', share: 0.4 },
  { kind: 'checklist-lookup', share: 0.25 },
  { kind: 'uniform-order', share: 0.2 },
  { kind: 'policy-summary', share: 0.15 }
] as const

/** Kinds of request in the fleet's document. */
export type LoadKind = typeof KIND_SHARES[number]['kind']

/** One request to send. */
export interface PlannedRequest {
  index: number
  /** Time of arrival after the start. */
  at: Milliseconds
  kind: LoadKind
  token: string
  /** Set for the kinds that need one. */
  idempotencyKey?: string
  /** Prompt, or the subject of a call. */
  text: string
}

/** How much is sent. */
export interface LoadShape {
  seed: number
  requestsPerSecond: number
  duration: Milliseconds
  /** Distinct prompts; fewer make more of them return. */
  prompts: number
}

/** Plans the requests of a run. */
export function planLoad (shape: LoadShape): PlannedRequest[] {
  const random = new SeededRandom(shape.seed)
  const planned: PlannedRequest[] = []
  let at = 0
  for (let index = 0; ; index++) {
    at += -Math.log(1 - random.next()) / shape.requestsPerSecond * 1_000
    if (at >= shape.duration) return planned
    planned.push(planOne(index, at, shape, random))
  }
}

function planOne (index: number, at: Milliseconds, shape: LoadShape, random: SeededRandom): PlannedRequest {
  const kind = pickKind(random.next())
  const isPrompt = kind === 'policy-answer' || kind === 'policy-summary'
  const subject = isPrompt ? `rulebook ${random.integer(shape.prompts)}` : `subject ${index}`
  const needsKey = kind === 'uniform-order' || kind === 'policy-summary'
  return {
    index,
    at,
    kind,
    token: random.pick([HARROWGATE_TOKEN, TRENT_TOKEN]),
    text: isPrompt ? `${subject}. `.padEnd(PROMPT_CHARACTERS, `The rules of ${subject}. `) : subject,
    ...(needsKey ? { idempotencyKey: `${shape.seed}-${index}-${random.integer(1_000_000)}` } : {})
  }
}

function pickKind (sample: number): LoadKind {
  let sum = 0
  for (const { kind, share } of KIND_SHARES) {
    sum += share
    if (sample < sum) return kind
  }
  return 'policy-answer'
}
