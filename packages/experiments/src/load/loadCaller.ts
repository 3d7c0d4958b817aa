/** The callers of a load run: choose a host, send, retry after the given delay, and record every send. */
import { performance } from 'node:perf_hooks'
import { HTTPError, RequestError } from 'got'
import type { Milliseconds } from '@wasabihead/coordination'
import { answerTokens } from '@wasabihead/standins'
import { Caller, type CallAnswer } from '../processes/index.js'
import type { PlannedRequest } from './loadPlan.js'

const ANSWER_TOKENS = 10
const MAXIMUM_SENDS = 40
const MINIMUM_RETRY_DELAY: Milliseconds = 100
const RETRY_DELAY_WITHOUT_ANSWER: Milliseconds = 300
const REQUEST_TIMEOUT: Milliseconds = 15_000

/** Outcome of one send. `whole` and `wrong` are complete answers; `no-answer` includes streams that ended early. */
export type SendOutcome =
  | { kind: 'whole' }
  | { kind: 'wrong', seen: string }
  | { kind: 'refused', type: string, notRun: boolean | 'unknown', retryAfter: Milliseconds | undefined }
  | { kind: 'no-answer', problem: string }

/** One send of a request, with its times on the clock of `performance.now()`. */
export interface Send {
  host: string
  sentAt: Milliseconds
  answeredAt: Milliseconds
  outcome: SendOutcome
}

/** A request with all its sends, in order. */
export interface RequestRecord {
  request: PlannedRequest
  sends: Send[]
}

/** Chooses the host of each send from the instances' answer to `/v1/hosts`, which is kept until a send fails. */
export class HostChooser {
  private _hosts: string[] = []

  /** @param _entries gives the addresses to ask: those of all instances started so far */
  constructor (private readonly _entries: () => readonly string[]) {}

  /**
   * Chooses the host for a send of a request.
   * @param attemptIndex number of earlier sends of the request; each one moves to the next host of the list
   */
  async choose (caller: Caller, affinity: string, attemptIndex: number): Promise<string> {
    if (attemptIndex > 0 || this._hosts.length === 0) await this._refreshHosts(caller, affinity)
    const hosts = this._hosts.length > 0 ? this._hosts : this._entries()
    return hosts[attemptIndex % hosts.length] as string
  }

  private async _refreshHosts (caller: Caller, affinity: string): Promise<void> {
    for (const entry of this._entries()) {
      try {
        this._hosts = await caller.askHosts(entry, affinity)
        return
      } catch {
        // Instances may be down in a run with faults, so the next entry is asked.
      }
    }
  }
}

/** Sends a request until it has a complete answer, is refused without a retry delay, or has been sent `MAXIMUM_SENDS` times. */
export async function sendWithRetries (request: PlannedRequest, chooser: HostChooser): Promise<RequestRecord> {
  const caller = new Caller(request.token, REQUEST_TIMEOUT)
  const record: RequestRecord = { request, sends: [] }
  for (let attemptIndex = 0; attemptIndex < MAXIMUM_SENDS; attemptIndex++) {
    const host = await chooser.choose(caller, request.text.slice(0, 40), attemptIndex)
    const sentAt = performance.now()
    const outcome = await sendOnce(caller, host, request)
    record.sends.push({ host, sentAt, answeredAt: performance.now(), outcome })
    const wait = retryDelayAfter(outcome)
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
    return { kind: 'no-answer', problem: 'the stream ended without a finish reason' }
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

function retryDelayAfter (outcome: SendOutcome): Milliseconds | undefined {
  switch (outcome.kind) {
    case 'whole':
    case 'wrong': return undefined
    case 'no-answer': return RETRY_DELAY_WITHOUT_ANSWER
    case 'refused': return outcome.retryAfter === undefined ? undefined : Math.max(MINIMUM_RETRY_DELAY, outcome.retryAfter)
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
