/** A caller of the load run: keeps the hosts answer, sends, and comes back when it is told to. Everything is recorded. */
import { performance } from 'node:perf_hooks'
import { HTTPError, RequestError } from 'got'
import type { Milliseconds } from '@wasabihead/coordination'
import { answerTokens } from '@wasabihead/standins'
import { Caller, type CallAnswer } from '../processes/index.js'
import type { PlannedRequest } from './loadPlan.js'

const ANSWER_TOKENS = 10
const MAXIMUM_SENDS = 40
const SHORTEST_WAIT: Milliseconds = 100
const WAIT_WITHOUT_ANSWER: Milliseconds = 300
const PATIENCE: Milliseconds = 15_000

/** What one send came to. */
export type SendOutcome =
  | { kind: 'whole' }
  | { kind: 'wrong', seen: string }
  | { kind: 'refused', type: string, notRun: boolean | 'unknown', retryAfter: Milliseconds | undefined }
  | { kind: 'no-answer', problem: string }

/** One send of a request. */
export interface Send {
  host: string
  sentAt: Milliseconds
  answeredAt: Milliseconds
  outcome: SendOutcome
}

/** Everything that happened to one request. */
export interface RequestRecord {
  request: PlannedRequest
  sends: Send[]
}

/** Asks for the hosts, and gives them in order; an answer is kept until a host fails. */
export class HostChooser {
  private _hosts: string[] = []

  /** @param _entries addresses to ask, those of all instances ever started */
  constructor (private readonly _entries: () => readonly string[]) {}

  /** A host to use; `turn` moves down the list when earlier ones failed. */
  async choose (caller: Caller, affinity: string, turn: number): Promise<string> {
    if (turn > 0 || this._hosts.length === 0) await this._ask(caller, affinity)
    const hosts = this._hosts.length > 0 ? this._hosts : this._entries()
    return hosts[turn % hosts.length] as string
  }

  private async _ask (caller: Caller, affinity: string): Promise<void> {
    for (const entry of this._entries()) {
      try {
        this._hosts = await caller.askHosts(entry, affinity)
        return
      } catch {
        // The next entry is asked; a host that is gone is what this run is about.
      }
    }
  }
}

/** Sends one planned request until it has its answer, is told that it will not get one, or has been sent too often. */
export async function sendToEnd (request: PlannedRequest, chooser: HostChooser): Promise<RequestRecord> {
  const caller = new Caller(request.token, PATIENCE)
  const record: RequestRecord = { request, sends: [] }
  for (let turn = 0; turn < MAXIMUM_SENDS; turn++) {
    const host = await chooser.choose(caller, request.text.slice(0, 40), turn)
    const sentAt = performance.now()
    const outcome = await sendOnce(caller, host, request)
    record.sends.push({ host, sentAt, answeredAt: performance.now(), outcome })
    const wait = waitBeforeNext(outcome)
    if (wait === undefined) return record
    await new Promise(resolve => { setTimeout(resolve, wait) })
  }
  return record
}

async function sendOnce (caller: Caller, host: string, request: PlannedRequest): Promise<SendOutcome> {
  try {
    if (request.kind === 'policy-answer') return await sendStream(caller, host, request)
    if (request.kind === 'policy-summary') {
      const answer = await caller.complete(host, request.kind, request.text, ANSWER_TOKENS, request.idempotencyKey)
      return toOutcome(answer, () => JSON.stringify(answer.body).includes(wholeText(request)))
    }
    const answer = await caller.call(host, request.kind, { subject: request.text }, request.idempotencyKey)
    return toOutcome(answer, () => JSON.stringify(answer.body).includes(JSON.stringify({ subject: request.text })))
  } catch (error) {
    return { kind: 'no-answer', problem: error instanceof RequestError ? error.code : String(error) }
  }
}

async function sendStream (caller: Caller, host: string, request: PlannedRequest): Promise<SendOutcome> {
  try {
    const answer = await caller.stream(host, request.kind, request.text, ANSWER_TOKENS)
    if (answer.isWhole && answer.text === wholeText(request)) return { kind: 'whole' }
    if (answer.isWhole || !wholeText(request).startsWith(answer.text)) return { kind: 'wrong', seen: answer.text }
    return { kind: 'no-answer', problem: 'the stream ended early, and said so' }
  } catch (error) {
    if (!(error instanceof HTTPError)) throw error
    return toOutcome({ status: error.response.statusCode, body: parse(error.response.body) }, () => false)
  }
}

function toOutcome (answer: CallAnswer, isWhole: () => boolean): SendOutcome {
  if (answer.status === 200) return isWhole() ? { kind: 'whole' } : { kind: 'wrong', seen: JSON.stringify(answer.body) }
  const refusal = (answer.body as { error?: Refusal }).error
  return {
    kind: 'refused',
    type: refusal?.type ?? `status-${answer.status}`,
    notRun: refusal?.notRun ?? 'unknown',
    retryAfter: refusal?.retryAfterMilliseconds
  }
}

interface Refusal {
  type: string
  notRun: boolean | 'unknown'
  retryAfterMilliseconds?: Milliseconds
}

function waitBeforeNext (outcome: SendOutcome): Milliseconds | undefined {
  switch (outcome.kind) {
    case 'whole':
    case 'wrong': return undefined
    case 'no-answer': return WAIT_WITHOUT_ANSWER
    case 'refused': return outcome.retryAfter === undefined ? undefined : Math.max(SHORTEST_WAIT, outcome.retryAfter)
  }
}

function wholeText (request: PlannedRequest): string {
  return answerTokens(request.text, ANSWER_TOKENS).join('')
}

function parse (body: unknown): unknown {
  try {
    return JSON.parse(String(body))
  } catch {
    return {}
  }
}
