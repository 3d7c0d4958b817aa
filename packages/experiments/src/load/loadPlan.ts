/** Plans the requests of a load run: Poisson arrivals with prompts that repeat. The same seed gives the same plan. */
import { SeededRandom, type Milliseconds } from '@wasabihead/coordination'
import { HARROWGATE_TOKEN, TRENT_TOKEN } from '../processes/index.js'

const PROMPT_CHARACTERS = 1_200
const KIND_SHARES = [
  { kind: 'policy-answer', share: 0.4 },
  { kind: 'checklist-lookup', share: 0.25 },
  { kind: 'uniform-order', share: 0.2 },
  { kind: 'policy-summary', share: 0.15 }
] as const

/** Kinds of request in the fleet's configuration document. */
export type LoadKind = typeof KIND_SHARES[number]['kind']

/** A request with its time of arrival. */
export interface PlannedRequest {
  index: number
  /** Time of arrival, counted from the start of the run. */
  at: Milliseconds
  kind: LoadKind
  token: string
  /** Set for durable and at-most-once kinds, which require it. */
  idempotencyKey?: string
  /** The prompt of a completion, or the subject of a call to the plain service. */
  text: string
}

/** Rate, duration and variety of the load. */
export interface LoadShape {
  seed: number
  requestsPerSecond: number
  duration: Milliseconds
  /** Number of distinct prompts; with fewer prompts, each repeats more often. */
  prompts: number
}

/** Plans the requests of a run, in order of arrival. */
export function planLoad (shape: LoadShape): PlannedRequest[] {
  const random = new SeededRandom(shape.seed)
  const planned: PlannedRequest[] = []
  let at = 0
  for (let index = 0; ; index++) {
    at += -Math.log(1 - random.next()) / shape.requestsPerSecond * 1_000
    if (at >= shape.duration) return planned
    planned.push(planRequest(index, at, shape, random))
  }
}

function planRequest (index: number, at: Milliseconds, shape: LoadShape, random: SeededRandom): PlannedRequest {
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
