/** Stand-in for a cache store: blocks are written under a new generation and visible only once committed. */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import { StandInServer } from '../common/standInServer.js'

const lookUpSchema = z.object({ block_keys: z.array(z.string()) })
const commitSchema = z.object({ digest: z.string() })

interface Generation {
  data: string
  digest: string | undefined
}

/** The cache store stand-in. */
export class CacheStoreStandIn extends StandInServer {
  private _nextGeneration = 1
  private readonly _blocks = new Map<string, Map<number, Generation>>()
  private _reads = 0

  /** @param _capacityBlocks most committed blocks; the oldest are freed */
  constructor (private readonly _capacityBlocks: number) {
    super()
    const one = '/blocks/:key/generations/:generation'
    this.router.post('/blocks/look-up', context => {
      context.body = { blocks: this._lookUp(lookUpSchema.parse(context.request.body).block_keys) }
    })
    this.router.post('/blocks/:key/generations', context => {
      context.body = { generation: this._open(String(context.params.key)) }
    })
    this.router.put(one, context => {
      const generation = this._find(context.params)
      if (generation === undefined) return context.throw(404, 'no such generation')
      generation.data = String(context.request.body)
      context.body = {}
    })
    this.router.post(`${one}/commit`, context => {
      const generation = this._find(context.params)
      const { digest } = commitSchema.parse(context.request.body)
      if (generation === undefined || digestOf(generation.data) !== digest) return context.throw(409, 'the digest differs')
      generation.digest = digest
      this._freeOldest()
      context.body = {}
    })
    this.router.get(one, context => {
      const generation = this._find(context.params)
      if (generation?.digest === undefined) return context.throw(404, 'not committed or freed')
      this._reads += 1
      context.type = 'text/plain'
      context.body = generation.data
    })
    this.router.delete(one, context => {
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

  private _open (key: string): number {
    const generation = this._nextGeneration++
    const generations = this._blocks.get(key) ?? new Map<number, Generation>()
    generations.set(generation, { data: '', digest: undefined })
    this._blocks.set(key, generations)
    return generation
  }

  private _find (parameters: Record<string, string>): Generation | undefined {
    return this._blocks.get(String(parameters.key))?.get(Number(parameters.generation))
  }

  private _freeOldest (): void {
    while (this._blocks.size > this._capacityBlocks) {
      this._blocks.delete(this._blocks.keys().next().value as string)
    }
  }
}

function digestOf (data: string): string {
  return createHash('sha256').update(data).digest('hex')
}
