/** Places prompts: finds their blocks, chooses a replica, imports blocks there first, and exports new ones after. */
import {
  blockKeysOf, estimateTokens, PredictedFirstTokenPolicy,
  type ModelConfiguration, type Placement, type StoredBlock
} from '@wasabihead/coordination'
import type { BackendFleet, EngineReplica, StoreReplica } from '../backends/index.js'
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
}

/** A replica chosen for one attempt, with the prompt's blocks ready or on their way there. */
export interface PreparedReplica {
  replica: EngineReplica
  blockKeys: readonly string[]
  importedBlocks: number
}

interface LocatedBlock {
  block: StoredBlock
  store: StoreReplica
}

/** Places prompts. Every `prepare` that gives a replica is paired with one `finish`, `release` or `fail`. */
export class PromptPlacer {
  private readonly _policy = new PredictedFirstTokenPolicy()

  constructor (
    private readonly _fleet: BackendFleet,
    private readonly _workspaceSecret: string,
    private readonly _metrics: Metrics
  ) {}

  /** Chooses a replica and imports blocks there; undefined where no replica accepts work. */
  async prepare (prompt: PlacedPrompt, excludedReplicas: ReadonlySet<string>): Promise<PreparedReplica | undefined> {
    const blockKeys = this._blockKeysOf(prompt)
    const located = await this._locateBlocks(blockKeys)
    const placement = this._place(prompt, blockKeys, located, excludedReplicas)
    const replica = placement === undefined ? undefined : this._fleet.findEngine(placement.replica)
    if (placement === undefined || replica === undefined) return undefined
    this._fleet.replicas.onDispatched(placement.replica, estimateTokens(prompt.prompt))
    const importedBlocks = await this._importBlocks(prompt, placement, replica, located)
    return { replica, blockKeys, importedBlocks }
  }

  /** Ends an attempt whose answer is whole, and exports the blocks that no store holds yet. */
  finish (prompt: PlacedPrompt, prepared: PreparedReplica): void {
    this._fleet.replicas.onFinished(prepared.replica.configuration.name)
    this._exportBlocks(prompt, prepared).catch(() => {})
  }

  /** Ends an attempt that came to nothing without a fault of the replica. */
  release (prepared: PreparedReplica): void {
    this._fleet.replicas.onFinished(prepared.replica.configuration.name)
  }

  /** Ends an attempt that broke. */
  fail (prepared: PreparedReplica): void {
    this._fleet.replicas.onFinished(prepared.replica.configuration.name)
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
    prompt: PlacedPrompt, blockKeys: readonly string[], located: ReadonlyMap<string, LocatedBlock>,
    excludedReplicas: ReadonlySet<string>
  ): Placement | undefined {
    const speeds = [...located.values()].map(({ store }) => store.configuration.linkBytesPerSecond)
    const beliefs = this._fleet.beliefsFor(prompt.model.name)
    const preferred = beliefs.filter(belief => !excludedReplicas.has(belief.name))
    return this._policy.place({
      promptTokens: estimateTokens(prompt.prompt),
      blockKeys,
      blockTokens: prompt.model.blockTokens,
      blockBytes: prompt.model.blockBytes,
      prefillTokensPerSecond: prompt.model.prefillTokensPerSecond,
      storedBlockKeys: new Set(located.keys()),
      linkBytesPerSecond: speeds.length === 0 ? 1 : Math.min(...speeds)
    }, preferred.length === 0 ? beliefs : preferred)
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
    prompt: PlacedPrompt, placement: Placement, replica: EngineReplica, located: ReadonlyMap<string, LocatedBlock>
  ): Promise<number> {
    let importedBlocks = 0
    for (const blockKey of placement.importBlockKeys) {
      const place = located.get(blockKey)
      if (place === undefined) return importedBlocks
      const imported = await replica.engine.importBlock(place.block, place.store.configuration.address)
      if (imported.isErr) return importedBlocks
      importedBlocks += 1
      this._metrics.count('imported-bytes', prompt.workspace, prompt.requestKind, place.block.sizeBytes)
    }
    return importedBlocks
  }

  private async _exportBlocks (prompt: PlacedPrompt, prepared: PreparedReplica): Promise<void> {
    const [store] = this._fleet.stores
    if (store === undefined) return
    const located = await this._locateBlocks(prepared.blockKeys)
    for (const blockKey of prepared.blockKeys.filter(key => !located.has(key))) {
      const exported = await prepared.replica.engine.exportBlock(blockKey, store.configuration.address)
      if (exported.isErr) return
      this._metrics.count('exported-bytes', prompt.workspace, prompt.requestKind, exported.value.sizeBytes)
    }
  }
}
