/** Records the requests sent, those that replicas ran and the answers received, and checks the promises against them. */

/** Kind of a request: `safe` and `events` may be repeated, `unsafe` and `once` may not; `events` and `once` are streams. */
export type SoakKind = 'safe' | 'unsafe' | 'events' | 'once'

/** A caller's request. */
export interface SentRequest {
  id: string
  kind: SoakKind
  target: string
  body: string
  workspace: string
}

/** A request that a replica ran. */
export interface RunRequest {
  id: string
  replica: string
  target: string
  body: string
  workspace: string | undefined
  /** Names of headers with a value forged by the caller, and of the caller's key, which must not reach replicas. */
  forged: string[]
}

/** A complete answer that a caller received. */
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

/** Statuses that promise that the request has not run and never will run. */
const NOT_RUN = new Set([408, 421, 429, 503])
const SUCCESS_BEGIN = 200
const SUCCESS_END = 300
export const EVENTS_IN_STREAM = 6

/** The body of a replica's plain answer. */
export function answerBody (id: string): string {
  return `answer to ${id}`
}

/** The events of a request's stream, each with its id. */
export function streamEvents (id: string): string[] {
  return Array.from({ length: EVENTS_IN_STREAM }, (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`)
}

/** Collects the events of a run; `violations` checks them at its end. */
export class SoakLedger {
  readonly sent = new Map<string, SentRequest>()
  readonly runs = new Map<string, RunRequest[]>()
  readonly answers: ReceivedAnswer[] = []
  /** Requests whose connection failed, or was closed by the caller, before an answer. */
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

  /** Every broken promise; valid only once no request is in flight. */
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
