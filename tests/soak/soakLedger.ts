/** What callers sent, what replicas ran and what callers got, and whether that keeps the promises. */

/** How a request may be repeated. */
export type SoakKind = 'safe' | 'unsafe' | 'events' | 'once'

/** A caller's request. */
export interface SentRequest {
  id: string
  kind: SoakKind
  target: string
  body: string
  workspace: string
}

/** A request as a replica ran it. */
export interface RunRequest {
  id: string
  replica: string
  target: string
  body: string
  workspace: string | undefined
  /** Headers that only the gateway may set, as they came. */
  forged: string[]
}

/** An answer as the caller got it. */
export interface ReceivedAnswer {
  id: string
  status: number
  seal: string | undefined
  body: string
}

/** A promise that was broken. */
export interface Violation {
  promise: string
  detail: string
}

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503])
const SUCCESS_BEGIN = 200
const SUCCESS_END = 300
export const EVENTS_IN_STREAM = 6

/** The bytes that answer a request at a replica. */
export function answerBody (id: string): string {
  return `answer to ${id}`
}

/** The events of a request's stream, each with its id. */
export function streamEvents (id: string): string[] {
  return Array.from({ length: EVENTS_IN_STREAM }, (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`)
}

/** Collects and judges. */
export class SoakLedger {
  readonly sent = new Map<string, SentRequest>()
  readonly runs = new Map<string, RunRequest[]>()
  readonly answers: ReceivedAnswer[] = []
  /** Connections that ended without an answer, and requests that waited too long. */
  unanswered = 0

  onSent (request: SentRequest): void {
    this.sent.set(request.id, request)
  }

  onRun (run: RunRequest): void {
    const runs = this.runs.get(run.id) ?? []
    runs.push(run)
    this.runs.set(run.id, runs)
  }

  onAnswer (answer: ReceivedAnswer): void {
    this.answers.push(answer)
  }

  /** Every promise that was broken. To be asked when nothing runs any more. */
  violations (): Violation[] {
    const found: Violation[] = []
    for (const [id, runs] of this.runs) this._judgeRuns(id, runs, found)
    for (const answer of this.answers) this._judgeAnswer(answer, found)
    return found
  }

  private _judgeRuns (id: string, runs: readonly RunRequest[], found: Violation[]): void {
    const request = this.sent.get(id)
    if (request === undefined) {
      found.push({ promise: 'replicas run only what callers sent', detail: id })
      return
    }
    const mayRepeat = request.kind === 'safe' || request.kind === 'events'
    if (!mayRepeat && runs.length > 1) {
      found.push({ promise: 'a request that must not be repeated runs once', detail: `${request.kind} ${id}: ${runs.map(({ replica }) => replica).join(', ')}` })
    }
    for (const run of runs) {
      const isUnchanged = run.target === request.target && run.body === request.body
      if (!isUnchanged) found.push({ promise: 'requests are passed on unchanged', detail: `${id}: ${run.target}` })
      if (run.workspace !== request.workspace) found.push({ promise: 'workspaces stay apart', detail: `${id}: ${String(run.workspace)}` })
      if (run.forged.length > 0) found.push({ promise: 'callers cannot set what the gateway sets', detail: `${id}: ${run.forged.join(', ')}` })
    }
  }

  private _judgeAnswer (answer: ReceivedAnswer, found: Violation[]): void {
    const request = this.sent.get(answer.id)
    if (request === undefined) return
    const runs = this.runs.get(answer.id) ?? []
    if (answer.status >= SUCCESS_BEGIN && answer.status < SUCCESS_END) {
      const isStream = request.kind === 'events' || request.kind === 'once'
      const expected = isStream ? streamEvents(answer.id).join('') : answerBody(answer.id)
      if (answer.body !== expected) found.push({ promise: 'a success is whole', detail: `${request.kind} ${answer.id}: ${JSON.stringify(answer.body)}` })
      if (answer.seal === undefined) found.push({ promise: 'a success carries its replica\'s seal', detail: answer.id })
      if (runs.length === 0) found.push({ promise: 'a success has run', detail: answer.id })
    }
    if (NOT_RUN.has(answer.status) && runs.length > 0) {
      found.push({ promise: 'what is refused has not run', detail: `${request.kind} ${answer.id}: ${answer.status}` })
    }
  }
}
