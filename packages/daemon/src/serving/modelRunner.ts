/** Runs prompts to their whole answers: streams from one replica, and resumes on another if the stream breaks. */
import { Result } from 'true-myth'
import {
  AnswerRun, fingerprintOf, RefusalError, RetryBudgets, SeededRandom,
  type AnswerEnd, type IdleTimeouts, type ModelConfiguration, type OrderedPart
} from '@wasabihead/coordination'
import type { ConfigurationController } from '../configuration/index.js'
import type { Clock } from '../instance/clock.js'
import { CrashGuard, type QuarantineController } from '../quarantine/index.js'
import type { Logger, Metrics } from '../telemetry/index.js'
import type { AcceptedRequest, ModelInput } from './acceptedRequest.js'
import { AnswerDriver, type DrivenAnswer } from './answerDriver.js'
import type { PlacedPrompt, PromptPlacer } from './promptPlacer.js'
import { ReplicaProber } from './replicaProber.js'
import { BACK_OFF } from './retrySettings.js'

const IDLE_TIMEOUTS: IdleTimeouts = { prepare: 30_000, firstPart: 20_000, betweenParts: 5_000, probe: 1_000 }
const PRIORITIES = { interactive: 0, normal: 1, batch: 2 } as const

/** A whole answer with its token counts and where it was computed. */
export interface ModelAnswer extends AnswerEnd {
  text: string
  weightVersion: string
  replica: string
  importedBlocks: number
}

interface PreparedPrompt {
  input: ModelInput
  prompt: PlacedPrompt
}

/** Runs the requests of kinds that a model serves. */
export class ModelRunner {
  private readonly _prober = new ReplicaProber()

  constructor (
    private readonly _placer: PromptPlacer,
    private readonly _configuration: ConfigurationController,
    private readonly _budgets: RetryBudgets,
    private readonly _clock: Clock,
    private readonly _random: SeededRandom,
    private readonly _metrics: Metrics,
    private readonly _logger: Logger,
    private readonly _quarantine: QuarantineController
  ) {}

  /**
   * Runs the request's prompt to its whole answer, delivering parts in order as they arrive. A durable request gets a
   * single attempt here, since `ClaimedRunner` retries it and two layers of retries would multiply.
   * @param signal aborted when the caller disconnects
   */
  async run (
    request: AcceptedRequest, deliver: (part: OrderedPart) => void, signal: AbortSignal
  ): Promise<Result<ModelAnswer, RefusalError>> {
    const prepared = this._prepare(request)
    if (prepared.isErr) return Result.err(prepared.error)
    const texts: string[] = []
    const driver = this._createDriver(request, prepared.value, part => {
      if (part.sequence === 0) this._recordFirstToken(request)
      texts.push(part.text)
      deliver(part)
    })
    const answer = await driver.drive(signal)
    return answer.map(driven => this._toAnswer(request, driven, texts.join('')))
  }

  private _prepare (request: AcceptedRequest): Result<PreparedPrompt, RefusalError> {
    const target = request.kind.target
    const model = 'model' in target ? this._findModel(target.model) : undefined
    if (model === undefined || request.modelInput === undefined || !('model' in target)) {
      return Result.err(new RefusalError('invalid-request', 400, true,
        `The kind "${request.kind.name}" is not served by a model`, 'Use POST /v1/calls for this kind'))
    }
    return Result.ok({
      input: request.modelInput,
      prompt: {
        workspace: request.workspace.name,
        requestKind: request.kind.name,
        model,
        weightVersion: model.activeWeightVersion,
        adapter: target.adapter,
        prompt: request.modelInput.prompt,
        recomputeWeight: request.workspace.recomputeWeight
      }
    })
  }

  private _createDriver (
    request: AcceptedRequest, { input, prompt }: PreparedPrompt, deliver: (part: OrderedPart) => void
  ): AnswerDriver {
    const requestTemplate = {
      model: prompt.model.name,
      ...(prompt.adapter === undefined ? {} : { adapter: prompt.adapter }),
      prompt: prompt.prompt,
      blockTokens: prompt.model.blockTokens,
      maximumTokens: input.maximumTokens,
      priority: PRIORITIES[request.kind.priority]
    }
    return new AnswerDriver(this._createRun(request, input, prompt), prompt, requestTemplate, {
      placer: this._placer,
      prober: this._prober,
      guard: this._createGuard(request, prompt.model.name),
      clock: this._clock,
      activeWeightVersion: () => this._findModel(prompt.model.name)?.activeWeightVersion ?? prompt.weightVersion,
      deliver,
      onAttemptFailed: (replica, attempt, problem) => { this._logFailure(request, replica, attempt, problem) }
    })
  }

  private _createGuard ({ workspace, kind, body }: AcceptedRequest, model: string): CrashGuard {
    const fingerprint = fingerprintOf(workspace.name, kind.name, body)
    return new CrashGuard(this._quarantine, { fingerprint, workspace: workspace.name, kind: kind.name, model }, this._clock)
  }

  private _createRun (request: AcceptedRequest, input: ModelInput, prompt: PlacedPrompt): AnswerRun {
    const { workspace, kind } = request
    const now = this._clock.monotonic()
    const budget = this._budgets.onFirstAttempt(workspace.name, kind.name, now)
    return new AnswerRun({
      weightVersion: prompt.weightVersion,
      maximumTokens: input.maximumTokens,
      // A durable request runs on past its caller's deadline, so each of its attempts gets a deadline of its own.
      deadline: kind.treatment === 'durable' ? now + kind.deadlineMilliseconds : request.deadline,
      idleTimeouts: IDLE_TIMEOUTS,
      backOff: BACK_OFF,
      random: this._random,
      trySpendRetry: () => {
        if (kind.treatment === 'durable' || !budget.trySpend()) return false
        this._metrics.count('retries', workspace.name, kind.name)
        return true
      }
    })
  }

  private _findModel (name: string): ModelConfiguration | undefined {
    return this._configuration.document?.models.find(candidate => candidate.name === name)
  }

  private _recordFirstToken ({ workspace, kind, receivedAt }: AcceptedRequest): void {
    this._metrics.time('first-token', workspace.name, kind.name, this._clock.monotonic() - receivedAt)
  }

  private _logFailure (request: AcceptedRequest, replica: string, attempt: number, problem: string): void {
    this._logger.warn('attempt failed', {
      requestId: request.requestId,
      workspace: request.workspace.name,
      requestKind: request.kind.name,
      attempt,
      replica,
      problem
    })
  }

  private _toAnswer ({ workspace, kind }: AcceptedRequest, driven: DrivenAnswer, text: string): ModelAnswer {
    const { end, ...rest } = driven
    this._metrics.count('reused-tokens', workspace.name, kind.name, end.cachedTokens)
    this._metrics.count('recomputed-tokens', workspace.name, kind.name, end.promptTokens - end.cachedTokens)
    return { ...end, ...rest, text }
  }
}
