/** Runs a prompt on a model engine: chooses a replica, imports blocks, streams, and resumes on another replica. */
import { Result } from 'true-myth'
import { v4 as createNonce } from 'uuid'
import {
  AnswerAssembler, backOffDelay, blockKeysOf, estimateTokens, PredictedFirstTokenPolicy, RefusalError, RetryBudget,
  SeededRandom,
  type AnswerEnd, type ModelConfiguration, type OrderedPart, type Placement, type StoredBlock
} from '@wasabihead/coordination'
import type { BackendFleet, EngineReplica, StoreReplica } from '../backends/index.js'
import type { ConfigurationKeeper } from '../configuration/index.js'
import type { Clock } from '../instance/clock.js'
import type { Logger, Metrics } from '../telemetry/index.js'
import type { AcceptedRequest, ModelInput } from './acceptedRequest.js'
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
  model: ModelConfiguration
  adapter: string | undefined
  blockKeys: string[]
  assembler: AnswerAssembler
  text: string
  importedBlocks: number
  deliver: (part: OrderedPart) => void
}

interface LocatedBlock {
  block: StoredBlock
  store: StoreReplica
}

/** Runs prompts. */
export class ModelRunner {
  private readonly _policy = new PredictedFirstTokenPolicy()
  private readonly _budgets = new Map<string, RetryBudget>()

  constructor (
    private readonly _fleet: BackendFleet,
    private readonly _configuration: ConfigurationKeeper,
    private readonly _workspaceSecret: string,
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
      const replica = await this._attempt(run, attempt, signal)
      if (replica !== undefined && run.assembler.isWhole) return Result.ok(this._finish(run, replica))
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
    const blockKeys = blockKeysOf({
      workspaceSecret: this._workspaceSecret,
      workspace: request.workspace.name,
      model: model.name,
      weightVersion: model.activeWeightVersion,
      adapter: target.adapter ?? '',
      blockTokens: model.blockTokens
    }, request.modelInput.prompt)
    return Result.ok({
      request,
      input: request.modelInput,
      model,
      adapter: target.adapter,
      blockKeys,
      assembler: new AnswerAssembler(model.activeWeightVersion),
      text: '',
      importedBlocks: 0,
      deliver
    })
  }

  /** One attempt on one replica; gives the replica that was tried. */
  private async _attempt (run: Run, attempt: number, signal: AbortSignal): Promise<EngineReplica | undefined> {
    const located = await this._locateBlocks(run.blockKeys)
    const placement = this._place(run, located)
    const replica = placement === undefined ? undefined : this._fleet.findEngine(placement.replica)
    if (placement === undefined || replica === undefined) return undefined
    this._fleet.replicas.onDispatched(placement.replica, estimateTokens(run.input.prompt))
    try {
      await this._importBlocks(run, placement, replica, located)
      await this._stream(run, replica, signal)
    } catch (error) {
      this._fleet.replicas.onFailed(placement.replica)
      this._logger.warn('attempt failed', { ...logFields(run.request), attempt, replica: placement.replica, problem: String(error) })
    } finally {
      this._fleet.replicas.onFinished(placement.replica)
    }
    return replica
  }

  private _place (run: Run, located: ReadonlyMap<string, LocatedBlock>): Placement | undefined {
    const speeds = [...located.values()].map(({ store }) => store.configuration.linkBytesPerSecond)
    return this._policy.place({
      promptTokens: estimateTokens(run.input.prompt),
      blockKeys: run.blockKeys,
      blockTokens: run.model.blockTokens,
      blockBytes: run.model.blockBytes,
      prefillTokensPerSecond: run.model.prefillTokensPerSecond,
      storedBlockKeys: new Set(located.keys()),
      linkBytesPerSecond: speeds.length === 0 ? 1 : Math.min(...speeds)
    }, this._fleet.beliefsFor(run.model.name))
  }

  private async _locateBlocks (blockKeys: readonly string[]): Promise<Map<string, LocatedBlock>> {
    const located = new Map<string, LocatedBlock>()
    if (blockKeys.length === 0) return located
    await Promise.all(this._fleet.stores.map(async store => {
      const found = await store.store.lookUp(blockKeys)
      if (found.isErr) return
      for (const block of found.value) located.set(block.blockKey, { block, store })
    }))
    return located
  }

  /** Imports in order and stops at the first failure: a later block is of no use without the earlier one. */
  private async _importBlocks (
    run: Run, placement: Placement, replica: EngineReplica, located: ReadonlyMap<string, LocatedBlock>
  ): Promise<void> {
    for (const blockKey of placement.importBlockKeys) {
      const place = located.get(blockKey)
      if (place === undefined) return
      const imported = await replica.engine.importBlock(place.block, place.store.configuration.address)
      if (imported.isErr) return
      run.importedBlocks += 1
      this._metrics.count('imported-bytes', run.request.workspace.name, run.request.kind.name, place.block.sizeBytes)
    }
  }

  private async _stream (run: Run, replica: EngineReplica, signal: AbortSignal): Promise<void> {
    const nonce = createNonce()
    run.assembler.beginAttempt(nonce)
    const parts = replica.engine.run({
      nonce,
      model: run.model.name,
      weightVersion: run.assembler.weightVersion,
      ...(run.adapter === undefined ? {} : { adapter: run.adapter }),
      prompt: run.input.prompt,
      blockKeys: run.blockKeys,
      blockTokens: run.model.blockTokens,
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
      this._metrics.time('first-token', request.workspace.name, request.kind.name, this._clock.monotonic() - request.receivedAt)
    }
    run.text += part.text
    run.deliver(part)
  }

  private _refusalAfter (request: AcceptedRequest, budget: RetryBudget, signal: AbortSignal): RefusalError | undefined {
    if (signal.aborted) {
      return new RefusalError('deadline-exceeded', 499, 'unknown', 'The caller went away', 'Send the request again')
    }
    if (this._clock.monotonic() >= request.deadline) {
      return new RefusalError('deadline-exceeded', 504, 'unknown',
        'No replica gave a whole answer in time', 'Send the request again; it may be repeated', NO_REPLICA_RETRY_AFTER)
    }
    if (!budget.trySpend()) {
      return new RefusalError('no-replica', 503, 'unknown',
        'No replica gave a whole answer and the retries are used up', 'Come back after the time given', NO_REPLICA_RETRY_AFTER)
    }
    return undefined
  }

  private _finish (run: Run, replica: EngineReplica): ModelAnswer {
    const end = run.assembler.end as AnswerEnd
    const { workspace, kind } = run.request
    this._metrics.count('reused-tokens', workspace.name, kind.name, end.cachedTokens)
    this._metrics.count('recomputed-tokens', workspace.name, kind.name, end.promptTokens - end.cachedTokens)
    this._exportBlocks(run, replica).catch(() => {})
    return {
      ...end,
      text: run.text,
      weightVersion: run.assembler.weightVersion,
      replica: replica.configuration.name,
      importedBlocks: run.importedBlocks
    }
  }

  private async _exportBlocks (run: Run, replica: EngineReplica): Promise<void> {
    const [store] = this._fleet.stores
    if (store === undefined) return
    const located = await this._locateBlocks(run.blockKeys)
    for (const blockKey of run.blockKeys.filter(key => !located.has(key))) {
      const exported = await replica.engine.exportBlock(blockKey, store.configuration.address)
      if (exported.isErr) return
      this._metrics.count('exported-bytes', run.request.workspace.name, run.request.kind.name, exported.value.sizeBytes)
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

function logFields (request: AcceptedRequest): { requestId: string, workspace: string, requestKind: string } {
  return { requestId: request.requestId, workspace: request.workspace.name, requestKind: request.kind.name }
}
