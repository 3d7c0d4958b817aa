/** Predicts, for one prompt, over which links its blocks can be imported and when, given the transfers in flight. */
import type { Milliseconds } from '../common/index.js'
import type { LinkEstimates } from './linkEstimates.js'

interface ForecastLink {
  name: string
  /** Time until the transfers in flight are complete. */
  waitTime: Milliseconds
  timePerBlock: Milliseconds
}

/** Created once for a prompt, then reset and used for each candidate replica. */
export class ImportForecast {
  private readonly _links: ForecastLink[] = []
  private readonly _linksOfBlocks: number[][]
  private readonly _plannedBlocks: number[]

  constructor (
    blockKeys: readonly string[], linksOfBlocks: ReadonlyMap<string, readonly string[]>, links: LinkEstimates,
    blockBytes: number, now: Milliseconds
  ) {
    this._linksOfBlocks = blockKeys.map(blockKey =>
      (linksOfBlocks.get(blockKey) ?? []).map(link => this._indexOf(link, links, blockBytes, now)))
    this._plannedBlocks = this._links.map(() => 0)
  }

  /** Discards the planned imports, before planning for the next replica. */
  reset (): void {
    this._plannedBlocks.fill(0)
  }

  /**
   * Plans the import of one more block over its fastest link.
   * @param block index of the block in the prompt
   * @returns the link and the time from now until the import ends; undefined if no store holds the block
   */
  plan (block: number): { link: string, endsAfter: Milliseconds } | undefined {
    let quickest = -1
    let endsAfter = Infinity
    for (const index of this._linksOfBlocks[block] ?? []) {
      const link = this._links[index] as ForecastLink
      const time = link.waitTime + ((this._plannedBlocks[index] as number) + 1) * link.timePerBlock
      if (time < endsAfter) {
        quickest = index
        endsAfter = time
      }
    }
    if (quickest === -1) return undefined
    this._plannedBlocks[quickest] = (this._plannedBlocks[quickest] as number) + 1
    return { link: (this._links[quickest] as ForecastLink).name, endsAfter }
  }

  private _indexOf (name: string, links: LinkEstimates, blockBytes: number, now: Milliseconds): number {
    const known = this._links.findIndex(link => link.name === name)
    if (known !== -1) return known
    const waitTime = links.predict(name, 0, now)
    this._links.push({ name, waitTime, timePerBlock: links.predict(name, blockBytes, now) - waitTime })
    return this._links.length - 1
  }
}
