/** Runs a prompt to its whole answer: streams from one replica, and resumes on another when the stream breaks. */
import { Result } from 'true-myth'
import { v4 as createNonce } from 'uuid'
import {
  AnswerAssembler, backOffDelay, RefusalError, RetryBudget, SeededRandom,
  type AnswerEnd, type OrderedPart
} from '@wasabihead/coordination'
import type { ConfigurationKeeper } from '../configuration/index.js'
import type { Clock } from '../instance/clock.js'
import type { Logger, Metrics } from '../telemetry/index.js'
import type { AcceptedRequest, ModelInput } from './acceptedRequest.js'
import type { PlacedPrompt, PreparedReplica, PromptPlacer } from './promptPlacer.js'
import { waitFor } from './waiting.js'

const RETRY_BUDGET = { retryShare: 0.2, maximumSavedRetries: 10 }
const BACK_OFF = { firstDelay: 50, maximumDelay: 1_000 }
const NO_REPLICA_RETRY_AFTER = 2_000
const PRIORITIES = { interactive: 0, normal: 1, batch: 2 } as const

/** A whole answer with its counts. */
export interface ModelAnswer extends AnswerEnd {
  text: string
  weightVersion: string
  replica: string
  importedBlocks: number
}

interface Run {
  request: AcceptedRequest
  input: ModelInput
  prompt: PlacedPrompt
  assembler: AnswerAssembler
  text: string
  importedBlocks: number
  failedReplicas: Set<string>
  deliver: (part: OrderedPart) => void
}

/** Runs prompts. */
export class ModelRunner {
  private readonly _budgets = new Map<string, RetryBudget>()

  constructor (
    private readonly _placer: PromptPlacer,
    private readonly _configuration: ConfigurationKeeper,
    private readonly _clock: Clock,
    private readonly _random: SeededRandom,
    private readonly _metrics: Metrics,
    private readonly _logger: Logger
  ) {}

  /** Runs the request's prompt to its whole answer, delivering tokens in order as they come. */
  async run (
    request: AcceptedRequest, deliver: (part: OrderedPart) => void, signal: AbortSignal
  ): Promise<Result<ModelAnswer, RefusalError>> {
    const started = this._begin(request, deliver)
    if (started.isErr) return Result.err(started.error)
    const run = started.value
    const budget = this._budgetOf(request)
    budget.onFirstTry()
    for (let attempt = 1; ; attempt++) {
      const answer = await this._attempt(run, attempt, signal)
      if (answer !== undefined) return Result.ok(answer)
      const refusal = this._refusalAfter(request, budget, signal)
      if (refusal !== undefined) return Result.err(refusal)
      this._metrics.count('retries', request.workspace.name, request.kind.name)
      await waitFor(backOffDelay(BACK_OFF, attempt, this._random.next()))
    }
  }

  private _begin (request: AcceptedRequest, deliver: (part: OrderedPart) => void): Result<Run, RefusalError> {
    const target = request.kind.target
    const model = 'model' in target
      ? this._configuration.document?.models.find(candidate => candidate.name === target.model)
      : undefined
    if (model === undefined || request.modelInput === undefined || !('model' in target)) {
      return Result.err(new RefusalError('invalid-request', 400, true,
        `The kind "${request.kind.name}" is not served by a model`, 'Use POST /v1/calls for this kind'))
    }
    const weightVersion = model.activeWeightVersion
    return Result.ok({
      request,
      input: request.modelInput,
      prompt: {
        workspace: request.workspace.name,
        requestKind: request.kind.name,
        model,
        weightVersion,
        adapter: target.adapter,
        prompt: request.modelInput.prompt,
        recomputeWeight: request.workspace.recomputeWeight
      },
      assembler: new AnswerAssembler(weightVersion),
      text: '',
      importedBlocks: 0,
      failedReplicas: new Set(),
      deliver
    })
  }

  /** One attempt on one replica; gives the answer if it is now whole. */
  private async _attempt (run: Run, attempt: number, signal: AbortSignal): Promise<ModelAnswer | undefined> {
    const prepared = await this._placer.prepare(run.prompt, run.failedReplicas)
    if (prepared === undefined) return undefined
    run.importedBlocks += prepared.importedBlocks
    try {
      await this._stream(run, prepared, signal)
    } catch (error) {
      this._noteFailure(run, prepared, attempt, String(error))
    }
    if (!run.assembler.isWhole) {
      run.failedReplicas.add(prepared.replica.configuration.name)
      this._placer.fail(prepared)
      return undefined
    }
    this._placer.finish(run.prompt, prepared)
    return this._toAnswer(run, prepared)
  }

  private async _stream (run: Run, prepared: PreparedReplica, signal: AbortSignal): Promise<void> {
    const nonce = createNonce()
    run.assembler.beginAttempt(nonce)
    const parts = prepared.replica.engine.run({
      nonce,
      model: run.prompt.model.name,
      weightVersion: run.prompt.weightVersion,
      ...(run.prompt.adapter === undefined ? {} : { adapter: run.prompt.adapter }),
      prompt: run.prompt.prompt,
      blockKeys: prepared.blockKeys,
      blockTokens: run.prompt.model.blockTokens,
      maximumTokens: run.input.maximumTokens,
      priority: PRIORITIES[run.request.kind.priority],
      resumeAfterTokens: run.assembler.deliveredTokens
    }, signal)
    for await (const part of parts) {
      for (const ordered of run.assembler.accept(part)) this._deliver(run, ordered)
    }
  }

  private _deliver (run: Run, part: OrderedPart): void {
    const { request } = run
    if (part.sequence === 0) {
      const waited = this._clock.monotonic() - request.receivedAt
      this._metrics.time('first-token', request.workspace.name, request.kind.name, waited)
    }
    run.text += part.text
    run.deliver(part)
  }

  private _noteFailure (run: Run, prepared: PreparedReplica, attempt: number, problem: string): void {
    this._logger.warn('attempt failed', {
      requestId: run.request.requestId,
      workspace: run.request.workspace.name,
      requestKind: run.request.kind.name,
      attempt,
      replica: prepared.replica.configuration.name,
      problem
    })
  }

  private _refusalAfter (request: AcceptedRequest, budget: RetryBudget, signal: AbortSignal): RefusalError | undefined {
    if (signal.aborted) {
      return new RefusalError('deadline-exceeded', 499, 'unknown', 'The caller went away', 'Send the request again')
    }
    if (this._clock.monotonic() >= request.deadline) {
      return new RefusalError('deadline-exceeded', 504, 'unknown',
        'No replica gave a whole answer in time', 'Send the request again; it may be repeated', NO_REPLICA_RETRY_AFTER)
    }
    if (budget.trySpend()) return undefined
    return new RefusalError('no-replica', 503, 'unknown',
      'No replica gave a whole answer and the retries are used up', 'Come back after the time given', NO_REPLICA_RETRY_AFTER)
  }

  private _toAnswer (run: Run, prepared: PreparedReplica): ModelAnswer {
    const end = run.assembler.end as AnswerEnd
    const { workspace, kind } = run.request
    this._metrics.count('reused-tokens', workspace.name, kind.name, end.cachedTokens)
    this._metrics.count('recomputed-tokens', workspace.name, kind.name, end.promptTokens - end.cachedTokens)
    return {
      ...end,
      text: run.text,
      weightVersion: run.assembler.weightVersion,
      replica: prepared.replica.configuration.name,
      importedBlocks: run.importedBlocks
    }
  }

  private _budgetOf (request: AcceptedRequest): RetryBudget {
    const key = `${request.workspace.name}\n${request.kind.name}`
    const known = this._budgets.get(key)
    if (known !== undefined) return known
    const budget = new RetryBudget(RETRY_BUDGET)
    this._budgets.set(key, budget)
    return budget
  }
}
