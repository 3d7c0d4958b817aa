/** Places prompts: locates their cached blocks, chooses a replica, imports blocks before a run and exports new ones after it. */
import {
  affinityOf, blockKeysOf, BYTES_PER_TOKEN, estimateTokens, isLikelyHeld, MILLISECONDS_PER_SECOND, TieredPlacementPolicy,
  withHint, type HomedPrompt, type ModelConfiguration, type Placement, type ReplicaState, type ReplicaHint
} from '@wasabihead/coordination'
import type { BackendFleet, BlockTransfers, EngineReplica, LocatedBlocks } from '../backends/index.js'
import type { PromptHomes } from '../homes/index.js'
import type { Clock } from '../instance/clock.js'
import type { Metrics } from '../telemetry/index.js'

/** A prompt to place, with all that its block keys depend on. */
export interface PlacedPrompt {
  workspace: string
  requestKind: string
  model: ModelConfiguration
  /** Chosen at admission and kept for the whole run, even if the active version changes. */
  weightVersion: string
  adapter: string | undefined
  prompt: string
  /** 0 minimizes only the time to first token, 1 only the recomputed share of the prompt. */
  recomputeWeight: number
}

/** The replica chosen for one attempt; the prompt's blocks are there, or their imports are under way. */
export interface PreparedReplica {
  replica: EngineReplica
  blockKeys: readonly string[]
  importedBlocks: number
  /** Last observed incarnation of the replica; 0 if it is unknown. */
  incarnation: number
}

/** Places prompts. Each `prepare` that resolves to a replica is followed by exactly one `finish`, `release` or `fail`. */
export class PromptPlacer {
  private readonly _policy = new TieredPlacementPolicy()

  constructor (
    private readonly _fleet: BackendFleet,
    private readonly _transfers: BlockTransfers,
    private readonly _homes: Pick<PromptHomes, 'findReplicas' | 'reportPlacement'>,
    private readonly _workspaceSecret: string,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {}

  /** Chooses a replica and imports blocks there; undefined if no replica accepts work. */
  async prepare (prompt: PlacedPrompt, excludedReplicas: ReadonlySet<string>): Promise<PreparedReplica | undefined> {
    const blockKeys = this._blockKeysOf(prompt)
    const promptAffinity = promptAffinityOf(prompt)
    const [located, hints] = await Promise.all([
      this._transfers.locate(blockKeys), this._hintsFor(prompt, promptAffinity, blockKeys)])
    const replicaStates = this._replicaStatesFor(prompt, blockKeys, hints)
    const placement = this._place(prompt, blockKeys, located, replicaStates, excludedReplicas)
    const replica = placement === undefined ? undefined : this._fleet.findEngine(placement.replica)
    if (placement === undefined || replica === undefined) return undefined
    this._countDispatch(prompt, placement, blockKeys)
    this._homes.reportPlacement(
      promptAffinity, placement.replica, this._fleet.replicas.find(placement.replica)?.incarnation ?? 0, blockKeys)
    const importedBlocks = await this._transfers.importBlocks(replica, placement.imports ?? [], located, bytes => {
      this._metrics.count('imported-bytes', prompt.workspace, prompt.requestKind, bytes)
    })
    const incarnation = this._fleet.replicas.find(placement.replica)?.incarnation ?? 0
    return { replica, blockKeys, importedBlocks, incarnation }
  }

  /** Ends an attempt with a whole answer, and exports the blocks that no store holds yet. */
  finish (prompt: PlacedPrompt, prepared: PreparedReplica): void {
    this._fleet.replicas.onFinished(prepared.replica.configuration.name, prepared.blockKeys, this._clock.monotonic())
    this._transfers.exportBlocks({
      workspace: prompt.workspace,
      blockKeys: prepared.blockKeys,
      replica: prepared.replica,
      blockBytes: prompt.model.blockBytes,
      recomputeMilliseconds: prompt.model.blockTokens / prompt.model.prefillTokensPerSecond * MILLISECONDS_PER_SECOND,
      onExported: bytes => { this._metrics.count('exported-bytes', prompt.workspace, prompt.requestKind, bytes) }
    }).catch(() => {})
  }

  /** Ends an attempt that has no answer, without counting a failure of the replica. */
  release (prepared: PreparedReplica): void {
    this._fleet.replicas.onFinished(prepared.replica.configuration.name, prepared.blockKeys, this._clock.monotonic())
  }

  /** Ends an attempt that failed, and counts a failure of the replica. */
  fail (prepared: PreparedReplica): void {
    this._fleet.replicas.onFinished(prepared.replica.configuration.name, prepared.blockKeys, this._clock.monotonic())
    this._fleet.replicas.onFailed(prepared.replica.configuration.name)
  }

  private _blockKeysOf (prompt: PlacedPrompt): string[] {
    return blockKeysOf({
      workspaceSecret: this._workspaceSecret,
      workspace: prompt.workspace,
      model: prompt.model.name,
      weightVersion: prompt.weightVersion,
      adapter: prompt.adapter ?? '',
      blockTokens: prompt.model.blockTokens
    }, prompt.prompt)
  }

  /** Hints from the prompt's home; not requested if a replica probably holds the whole prompt already. */
  private async _hintsFor (
    prompt: PlacedPrompt, promptAffinity: PromptAffinity, blockKeys: readonly string[]
  ): Promise<readonly ReplicaHint[]> {
    const lastKey = blockKeys.at(-1)
    const now = this._clock.monotonic()
    const replicaStates = this._fleet.replicaStatesFor(prompt.model.name)
    if (lastKey === undefined || replicaStates.some(state => isLikelyHeld(state, lastKey, now))) return []
    return await this._homes.findReplicas(promptAffinity, blockKeys)
  }

  private _replicaStatesFor (
    prompt: PlacedPrompt, blockKeys: readonly string[], hints: readonly ReplicaHint[]
  ): ReplicaState[] {
    const now = this._clock.monotonic()
    return this._fleet.replicaStatesFor(prompt.model.name).map(state => {
      const hint = hints.find(({ replica }) => replica === state.name)
      return hint === undefined ? state : withHint(state, hint, blockKeys, now)
    })
  }

  private _place (
    prompt: PlacedPrompt, blockKeys: readonly string[], located: LocatedBlocks,
    replicaStates: readonly ReplicaState[], excludedReplicas: ReadonlySet<string>
  ): Placement | undefined {
    const preferred = replicaStates.filter(state => !excludedReplicas.has(state.name))
    return this._policy.place({
      promptTokens: estimateTokens(prompt.prompt),
      blockKeys,
      blockTokens: prompt.model.blockTokens,
      blockBytes: prompt.model.blockBytes,
      prefillTokensPerSecond: prompt.model.prefillTokensPerSecond,
      storedBlockKeys: new Set(located.keys()),
      linkBytesPerSecond: 0,
      linksOfBlocks: new Map([...located].map(([blockKey, places]) =>
        [blockKey, places.map(({ store }) => store.configuration.name)])),
      links: this._transfers.links,
      imports: this._transfers.imports,
      recomputeWeight: prompt.recomputeWeight
    }, preferred.length === 0 ? replicaStates : preferred, this._clock.monotonic())
  }

  private _countDispatch (prompt: PlacedPrompt, placement: Placement, blockKeys: readonly string[]): void {
    const promptTokens = estimateTokens(prompt.prompt)
    const readyBlocks = placement.reusedBlocks + placement.importBlockKeys.length
    const computedTokens = Math.max(0, promptTokens - readyBlocks * prompt.model.blockTokens)
    this._fleet.replicas.onDispatched(placement.replica, promptTokens, computedTokens, blockKeys, this._clock.monotonic())
  }
}

type PromptAffinity = Omit<HomedPrompt, 'dataCentre'>

function promptAffinityOf ({ workspace, model, prompt }: PlacedPrompt): PromptAffinity {
  const firstBlock = prompt.slice(0, model.blockTokens * BYTES_PER_TOKEN)
  return { affinity: affinityOf(workspace, model.name, firstBlock), model: model.name }
}
