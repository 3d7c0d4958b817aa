/** Moves cache blocks between engines and stores: performs the look-ups, imports and exports that the cache classes decide on. */
import {
  BlockValues, ExportQueue, ImportTable, LinkEstimates, PlatformRefusedError, storeForBlock, storesForPrompt,
  type BlockExport, type BlockImport, type LinkTransfer, type PlatformError, type StoredBlock
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { BackendFleet, EngineReplica, StoreReplica } from './backendFleet.js'

const MAXIMUM_QUEUED_EXPORTS = 1_000
const MAXIMUM_VALUED_BLOCKS = 50_000
const MAXIMUM_VALUED_WORKSPACES = 500

/** A committed block and the store that holds it. */
export interface LocatedBlock {
  block: StoredBlock
  store: StoreReplica
}

/** The committed blocks of a prompt, with their locations by block key. */
export type LocatedBlocks = ReadonlyMap<string, readonly LocatedBlock[]>

/** The blocks of one prompt, which may be exported after its answer. */
export interface ExportCandidates {
  workspace: string
  blockKeys: readonly string[]
  replica: EngineReplica
  blockBytes: number
  /** Time to compute one block. */
  recomputeMilliseconds: number
  onExported: (bytes: number) => void
}

/** Performs transfers. A store that is full, slow or unavailable counts as a miss, never as an error. */
export class BlockTransfers {
  readonly links = new LinkEstimates()
  readonly imports = new ImportTable()
  private readonly _blockValues = new BlockValues(MAXIMUM_VALUED_BLOCKS, MAXIMUM_VALUED_WORKSPACES)
  private readonly _exportQueue = new ExportQueue(MAXIMUM_QUEUED_EXPORTS)
  private readonly _runningImports = new Map<string, Promise<boolean>>()

  /** @param _dataCentre the data centre of this instance */
  constructor (
    private readonly _fleet: BackendFleet,
    private readonly _dataCentre: string,
    private readonly _clock: Clock
  ) {}

  /** Looks the blocks up in the prompt's stores; finds only committed blocks. */
  async locate (blockKeys: readonly string[]): Promise<LocatedBlocks> {
    this._configureLinks()
    const located = new Map<string, LocatedBlock[]>()
    await Promise.all(this._storesFor(blockKeys).map(async store => {
      const found = await store.store.lookUp(blockKeys)
      for (const block of found.unwrapOr([])) {
        located.set(block.blockKey, [...located.get(block.blockKey) ?? [], { block, store }])
      }
    }))
    return located
  }

  /**
   * Imports the blocks concurrently, and waits for imports of the same blocks that are in flight already. Returns the number of
   * imported blocks; one that was freed or does not match its digest is a miss.
   * @param onImported gets the size in bytes of each block that this call imported
   */
  async importBlocks (
    replica: EngineReplica, imports: readonly BlockImport[], located: LocatedBlocks, onImported: (bytes: number) => void
  ): Promise<number> {
    const outcomes = await Promise.all(imports.map(async ({ blockKey, link }) => {
      const running = this._runningImports.get(transferKey(replica, blockKey))
      if (running !== undefined) return await running
      const place = located.get(blockKey)?.find(({ store }) => store.configuration.name === link)
      return place !== undefined && await this._startImport(replica, place, onImported)
    }))
    return outcomes.filter(isImported => isImported).length
  }

  /** Queues the blocks that no store holds, and exports queued blocks over each link that this instance does not use already. */
  async exportBlocks (candidates: ExportCandidates): Promise<void> {
    const { workspace, blockKeys, replica } = candidates
    this._blockValues.onUsed(workspace, blockKeys)
    const stores = this._storesFor(blockKeys).map(({ configuration }) => configuration.name)
    const located = await this.locate(blockKeys)
    const missing = blockKeys.filter(blockKey => !located.has(blockKey))
    this._exportQueue.add(missing.flatMap(blockKey => {
      const link = storeForBlock(blockKey, stores)
      if (link === undefined) return []
      const value = this._blockValues.valueOf(workspace, blockKey, candidates.recomputeMilliseconds, candidates.blockBytes)
      return [{ blockKey, replica: replica.configuration.name, link, sizeBytes: candidates.blockBytes, value }]
    }), this._clock.monotonic())
    await Promise.all(stores.map(async link => { await this._exportQueued(link, candidates.onExported) }))
  }

  private async _startImport (
    replica: EngineReplica, place: LocatedBlock, onImported: (bytes: number) => void
  ): Promise<boolean> {
    const key = transferKey(replica, place.block.blockKey)
    const running = this._import(replica, place, onImported)
    this._runningImports.set(key, running)
    try {
      return await running
    } finally {
      this._runningImports.delete(key)
    }
  }

  private async _import (
    replica: EngineReplica, { block, store }: LocatedBlock, onImported: (bytes: number) => void
  ): Promise<boolean> {
    const { name, address } = store.configuration
    const startedAt = this._clock.monotonic()
    const predictedEnd = startedAt + this.links.predict(name, block.sizeBytes, startedAt)
    this.imports.begin(replica.configuration.name, block.blockKey, predictedEnd, startedAt)
    const transfer = this.links.onStarted(name, block.sizeBytes, startedAt)
    const imported = await replica.engine.importBlock(block, address)
    const now = this._clock.monotonic()
    this.imports.end(replica.configuration.name, block.blockKey)
    if (imported.isErr) {
      this._recordFailedTransfer(transfer, imported.error)
      return false
    }
    this.links.onFinished(transfer, now)
    onImported(block.sizeBytes)
    return true
  }

  private async _exportQueued (link: string, onExported: (bytes: number) => void): Promise<void> {
    for (;;) {
      const next = this._exportQueue.next(link, this.links, this._clock.monotonic())
      if (next === undefined) return
      await this._export(next, onExported)
    }
  }

  private async _export (next: BlockExport, onExported: (bytes: number) => void): Promise<void> {
    const replica = this._fleet.findEngine(next.replica)
    const store = this._fleet.stores.find(({ configuration }) => configuration.name === next.link)
    if (replica === undefined || store === undefined) return
    const transfer = this.links.onStarted(next.link, next.sizeBytes, this._clock.monotonic())
    const exported = await replica.engine.exportBlock(next.blockKey, store.configuration.address)
    if (exported.isErr) return this._recordFailedTransfer(transfer, exported.error)
    this.links.onFinished(transfer, this._clock.monotonic())
    onExported(exported.value.sizeBytes)
  }

  /** A refusal means that the block was evicted, freed or differs from the expected one: a miss, not a failure of the link. */
  private _recordFailedTransfer (transfer: LinkTransfer, error: PlatformError): void {
    if (error instanceof PlatformRefusedError) this.links.onRefused(transfer)
    else this.links.onFailed(transfer, this._clock.monotonic())
  }

  private _storesFor (blockKeys: readonly string[]): StoreReplica[] {
    const [first] = blockKeys
    if (first === undefined) return []
    const names = storesForPrompt(first, this._fleet.stores.map(({ configuration }) => configuration), this._dataCentre)
    return this._fleet.stores.filter(({ configuration }) => names.includes(configuration.name))
  }

  private _configureLinks (): void {
    this.links.configure(this._fleet.stores.map(({ configuration }) =>
      ({ name: configuration.name, bytesPerSecond: configuration.linkBytesPerSecond })))
  }
}

function transferKey (replica: EngineReplica, blockKey: string): string {
  return `${replica.configuration.name}\n${blockKey}`
}
