/** Places prompts: finds their blocks, chooses a replica, imports blocks there first, and exports new ones after. */
import {
  blockKeysOf, estimateTokens, MILLISECONDS_PER_SECOND, TieredPlacementPolicy,
  type ModelConfiguration, type Placement
} from '@wasabihead/coordination'
import type { BackendFleet, BlockTransfers, EngineReplica, LocatedBlocks } from '../backends/index.js'
import type { Clock } from '../instance/clock.js'
import type { Metrics } from '../telemetry/index.js'

/** A prompt to place, with what separates its blocks from others'. */
export interface PlacedPrompt {
  workspace: string
  requestKind: string
  model: ModelConfiguration
  /** Chosen at admission; kept for the whole run, also across a swap. */
  weightVersion: string
  adapter: string | undefined
  prompt: string
  /** 0 weighs only time to first token, 1 weighs only the share of recomputed prompt work. */
  recomputeWeight: number
}

/** A replica chosen for one attempt, with the prompt's blocks ready or on their way there. */
export interface PreparedReplica {
  replica: EngineReplica
  blockKeys: readonly string[]
  importedBlocks: number
  /** Incarnation of the replica as it is believed; 0 where it is not known. */
  incarnation: number
}

/** Places prompts. Every `prepare` that gives a replica is paired with one `finish`, `release` or `fail`. */
export class PromptPlacer {
  private readonly _policy = new TieredPlacementPolicy()

  constructor (
    private readonly _fleet: BackendFleet,
    private readonly _transfers: BlockTransfers,
    private readonly _workspaceSecret: string,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {}

  /** Chooses a replica and imports blocks there; undefined where no replica accepts work. */
  async prepare (prompt: PlacedPrompt, excludedReplicas: ReadonlySet<string>): Promise<PreparedReplica | undefined> {
    const blockKeys = this._blockKeysOf(prompt)
    const located = await this._transfers.locate(blockKeys)
    const placement = this._place(prompt, blockKeys, located, excludedReplicas)
    const replica = placement === undefined ? undefined : this._fleet.findEngine(placement.replica)
    if (placement === undefined || replica === undefined) return undefined
    this._countDispatch(prompt, placement, blockKeys)
    const importedBlocks = await this._transfers.importBlocks(replica, placement.imports ?? [], located, bytes => {
      this._metrics.count('imported-bytes', prompt.workspace, prompt.requestKind, bytes)
    })
    const incarnation = this._fleet.replicas.find(placement.replica)?.incarnation ?? 0
    return { replica, blockKeys, importedBlocks, incarnation }
  }

  /** Ends an attempt whose answer is whole, and exports the blocks that no store holds yet. */
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

  /** Ends an attempt that came to nothing without a fault of the replica. */
  release (prepared: PreparedReplica): void {
    this._fleet.replicas.onFinished(prepared.replica.configuration.name, prepared.blockKeys, this._clock.monotonic())
  }

  /** Ends an attempt that broke. */
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

  private _place (
    prompt: PlacedPrompt, blockKeys: readonly string[], located: LocatedBlocks,
    excludedReplicas: ReadonlySet<string>
  ): Placement | undefined {
    const beliefs = this._fleet.beliefsFor(prompt.model.name)
    const preferred = beliefs.filter(belief => !excludedReplicas.has(belief.name))
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
    }, preferred.length === 0 ? beliefs : preferred, this._clock.monotonic())
  }

  private _countDispatch (prompt: PlacedPrompt, placement: Placement, blockKeys: readonly string[]): void {
    const promptTokens = estimateTokens(prompt.prompt)
    const readyBlocks = placement.reusedBlocks + placement.importBlockKeys.length
    const computedTokens = Math.max(0, promptTokens - readyBlocks * prompt.model.blockTokens)
    this._fleet.replicas.onDispatched(placement.replica, promptTokens, computedTokens, blockKeys, this._clock.monotonic())
  }
}
