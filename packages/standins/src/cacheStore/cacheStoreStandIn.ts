/** Stand-in for a cache store. Each write of a block creates a generation, which is visible to readers only after its commit. */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import { StandInServer } from '../common/standInServer.js'

const lookUpSchema = z.object({ block_keys: z.array(z.string()) })
const commitSchema = z.object({ digest: z.string() })

interface Generation {
  data: string
  /** SHA-256 of `data` in hexadecimal; undefined until the generation is committed. */
  digest: string | undefined
}

/** Keeps blocks in memory; reading, writing and look-up are HTTP routes below `/blocks`. */
export class CacheStoreStandIn extends StandInServer {
  private _nextGeneration = 1
  private readonly _blocks = new Map<string, Map<number, Generation>>()
  private _reads = 0

  /** @param _capacityBlocks block keys kept after a commit; beyond it, the keys that were written first are evicted */
  constructor (private readonly _capacityBlocks: number) {
    super()
    const generationPath = '/blocks/:key/generations/:generation'
    this.router.post('/blocks/look-up', context => {
      context.body = { blocks: this._lookUp(lookUpSchema.parse(context.request.body).block_keys) }
    })
    this.router.post('/blocks/:key/generations', context => {
      context.body = { generation: this._openGeneration(String(context.params.key)) }
    })
    this.router.put(generationPath, context => {
      const generation = this._findGeneration(context.params)
      if (generation === undefined) return context.throw(404, 'no such generation')
      generation.data = String(context.request.body)
      context.body = {}
    })
    this.router.post(`${generationPath}/commit`, context => {
      const generation = this._findGeneration(context.params)
      const { digest } = commitSchema.parse(context.request.body)
      if (generation === undefined || digestOf(generation.data) !== digest) return context.throw(409, 'the digest does not match the generation')
      generation.digest = digest
      this._evictOldest()
      context.body = {}
    })
    this.router.get(generationPath, context => {
      const generation = this._findGeneration(context.params)
      if (generation?.digest === undefined) return context.throw(404, 'the generation is not committed, or was evicted')
      this._reads += 1
      context.type = 'text/plain'
      context.body = generation.data
    })
    this.router.delete(generationPath, context => {
      this._blocks.get(String(context.params.key))?.delete(Number(context.params.generation))
      context.body = {}
    })
    this.router.get('/standin/counts', context => { context.body = { reads: this._reads, blocks: this._blocks.size } })
  }

  private _lookUp (blockKeys: readonly string[]): object[] {
    return blockKeys.flatMap(key => {
      const committed = [...this._blocks.get(key) ?? []].filter(([, generation]) => generation.digest !== undefined)
      const latest = committed.at(-1)
      if (latest === undefined) return []
      const [generation, { data, digest }] = latest
      return [{ block_key: key, generation, digest, size_bytes: data.length }]
    })
  }

  private _openGeneration (key: string): number {
    const generation = this._nextGeneration++
    const generations = this._blocks.get(key) ?? new Map<number, Generation>()
    generations.set(generation, { data: '', digest: undefined })
    this._blocks.set(key, generations)
    return generation
  }

  private _findGeneration (parameters: Record<string, string>): Generation | undefined {
    return this._blocks.get(String(parameters.key))?.get(Number(parameters.generation))
  }

  private _evictOldest (): void {
    while (this._blocks.size > this._capacityBlocks) {
      this._blocks.delete(this._blocks.keys().next().value as string)
    }
  }
}

function digestOf (data: string): string {
  return createHash('sha256').update(data).digest('hex')
}
