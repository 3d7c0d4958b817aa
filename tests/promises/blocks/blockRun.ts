/** Runs prompts of two workspaces concurrently through the routing decisions, under restarts, frees and weight swaps. */
import {
  blockKeysOf, BYTES_PER_TOKEN, ImportTable, LinkEstimates, ReplicaTable, SeededRandom, TieredPlacementPolicy,
  type BlockScope, type StoredBlock
} from '@wasabihead/coordination'
import { VirtualTime } from '@wasabihead/experiments'
import type { BlockContent, BlockRead } from './blockHistory.js'
import { EngineFake, StoreFake } from './fakes.js'

const REQUESTS = 150
const FREES = 1_500
const DURATION = 60_000
const BLOCK_TOKENS = 4
const BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
const PROMPTS = 8
const STORE_PLACES = 24
const WORKSPACES = ['harrowgate', 'warmerhomes']

/** The behaviour of a run. Specs break it on purpose, to check that the proof fails. */
export interface BlockRunVariant {
  scopeOf: (scope: BlockScope) => BlockScope
  findsPartialBlocks: boolean
  checksWhatItReads: boolean
}

/** The correct behaviour. */
export const correctVariant: BlockRunVariant = { scopeOf: scope => scope, findsPartialBlocks: false, checksWhatItReads: true }

interface AdmittedRequest {
  id: number
  workspace: string
  weightVersion: string
  prompt: string
  blockKeys: string[]
}

type PlacedBlock = StoredBlock & { place: number }

/** One run in virtual time; the same seed gives the same run. */
export class BlockRun {
  readonly history: BlockRead[] = []
  readonly counts = { requests: 0, imports: 0, misses: 0, restarts: 0, frees: 0, swaps: 0 }
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _engines = [0, 1, 2].map(index => new EngineFake(`engine-${index}`, 12))
  private readonly _stores = [0, 1].map(index => new StoreFake(`store-${index}`, STORE_PLACES))
  private readonly _table = new ReplicaTable()
  private readonly _links = new LinkEstimates()
  private readonly _imports = new ImportTable()
  private readonly _policy = new TieredPlacementPolicy()
  private _weightVersion = 'v1'

  constructor (seed: number, private readonly _variant: BlockRunVariant) {
    this._random = new SeededRandom(seed)
    this._table.configure(this._engines.map(({ name }) => ({ name, dataCentre: 'leeds' })))
    this._links.configure(this._stores.map(({ name }) => ({ name, bytesPerSecond: 1_000 })))
  }

  /** Schedules all requests and faults at random times and runs to the end. */
  run (): this {
    for (let id = 0; id < REQUESTS; id++) this._atRandomTime(() => { this._admit(id) })
    for (let index = 0; index < REQUESTS; index++) this._atRandomTime(() => { this._readCache(this._random.pick(this._engines)) })
    for (let index = 0; index < FREES; index++) this._atRandomTime(() => { this._freeRandomPlace() })
    for (let index = 0; index < 6; index++) this._atRandomTime(() => { this._restartRandomEngine() })
    for (let index = 0; index < 4; index++) this._atRandomTime(() => { this._swapWeightVersion() })
    this._time.runUntil(DURATION * 2)
    return this
  }

  private _atRandomTime (perform: () => void): void {
    this._time.after(this._random.next() * DURATION, perform)
  }

  /** Admits a request. Its weight version is fixed here, whatever swaps happen while it waits. */
  private _admit (id: number): void {
    const workspace = this._random.pick(WORKSPACES)
    const weightVersion = this._weightVersion
    const prompt = `rulebook of all ${this._random.integer(PROMPTS)} `.repeat(2)
    const scope = { workspaceSecret: 's', workspace, model: 'policy', weightVersion, adapter: '', blockTokens: BLOCK_TOKENS }
    const request = { id, workspace, weightVersion, prompt, blockKeys: blockKeysOf(this._variant.scopeOf(scope), prompt) }
    this.counts.requests += 1
    const located = this._stores.map(store => store.lookUp(request.blockKeys, this._variant.findsPartialBlocks))
    this._time.after(this._random.next() * 500, () => { this._place(request, located) })
  }

  private _place (request: AdmittedRequest, located: readonly PlacedBlock[][]): void {
    const linksOfBlocks = new Map<string, string[]>()
    located.forEach((blocks, store) => {
      for (const { blockKey } of blocks) linksOfBlocks.set(blockKey, [...linksOfBlocks.get(blockKey) ?? [], `store-${store}`])
    })
    const placement = this._policy.place({
      promptTokens: request.blockKeys.length * BLOCK_TOKENS,
      blockKeys: request.blockKeys,
      blockTokens: BLOCK_TOKENS,
      blockBytes: 1,
      prefillTokensPerSecond: 100,
      storedBlockKeys: new Set(linksOfBlocks.keys()),
      linkBytesPerSecond: 1_000,
      linksOfBlocks,
      links: this._links,
      imports: this._imports,
      recomputeWeight: 0.5
    }, this._table.replicas, this._time.now)
    const engine = this._engines.find(({ name }) => name === placement?.replica)
    if (placement === undefined || engine === undefined) return
    this._table.onDispatched(engine.name, BLOCK_TOKENS, BLOCK_TOKENS, request.blockKeys, this._time.now)
    for (const { blockKey, link } of placement.imports ?? []) {
      const block = located[Number(link.split('-')[1])]?.find(candidate => candidate.blockKey === blockKey)
      if (block !== undefined) this._import(engine, block, link)
    }
    this._time.after(300 + this._random.next() * 500, () => { this._execute(request, engine) })
  }

  private _import (engine: EngineFake, block: PlacedBlock, link: string): void {
    if (!this._imports.begin(engine.name, block.blockKey, this._time.now + 100, this._time.now)) return
    const { incarnation } = engine
    this._time.after(this._random.next() * 200, () => {
      const content = this._stores.find(({ name }) => name === link)?.read(block, this._variant.checksWhatItReads)
      this._imports.end(engine.name, block.blockKey)
      if (content === undefined) this.counts.misses += 1
      if (content === undefined || engine.incarnation !== incarnation) return
      this.counts.imports += 1
      engine.hold(block.blockKey, content)
    })
  }

  /** Reuses the leading blocks that the engine has cached under the request's keys, and computes the others. */
  private _execute (request: AdmittedRequest, engine: EngineFake): void {
    let isLeading = true
    request.blockKeys.forEach((blockKey, index) => {
      const text = request.prompt.slice(0, (index + 1) * BLOCK_BYTES)
      const held = engine.held.get(blockKey)
      isLeading = isLeading && held !== undefined
      if (isLeading && held !== undefined) this._recordRead(request, text, held)
      const { workspace, weightVersion } = request
      engine.hold(blockKey, isLeading && held !== undefined ? held : { workspace, weightVersion, text, isWhole: true })
    })
    this._table.onFinished(engine.name, request.blockKeys, this._time.now)
    for (const blockKey of request.blockKeys) this._export(engine, blockKey)
  }

  private _recordRead (request: AdmittedRequest, text: string, content: BlockContent): void {
    const { id, workspace, weightVersion } = request
    this.history.push({
      request: id, workspace, admittedVersion: weightVersion, ranVersion: weightVersion, text, content
    })
  }

  private _export (engine: EngineFake, blockKey: string): void {
    const store = this._random.pick(this._stores)
    const content = engine.held.get(blockKey)
    if (content === undefined || store.lookUp([blockKey], true).length > 0) return
    const place = this._random.integer(STORE_PLACES)
    const generation = store.open(blockKey, content, place)
    // Some exports never commit, as when the writing engine is lost.
    if (this._random.next() < 0.1) return
    this._time.after(this._random.next() * 800, () => { store.commit(place, generation) })
  }

  /** Reads the cache events or a snapshot of an engine. They arrive late; those of an old incarnation must be dropped. */
  private _readCache (engine: EngineFake): void {
    const { name, incarnation, eventSequence: sequence, events } = engine
    const blockKeys = [...engine.held.keys()]
    const needsSnapshot = this._table.find(name)?.needsSnapshot === true
    this._time.after(this._random.next() * 3_000, () => {
      if (needsSnapshot) this._table.onCacheSnapshot(name, { incarnation, sequence, blockKeys })
      else this._table.onCacheEvents(name, { incarnation, events, lastSequence: sequence })
    })
  }

  private _freeRandomPlace (): void {
    this.counts.frees += 1
    this._random.pick(this._stores).free(this._random.integer(STORE_PLACES))
  }

  private _restartRandomEngine (): void {
    this.counts.restarts += 1
    this._random.pick(this._engines).restart()
  }

  private _swapWeightVersion (): void {
    this.counts.swaps += 1
    this._weightVersion = this._weightVersion === 'v1' ? 'v2' : 'v1'
  }
}
