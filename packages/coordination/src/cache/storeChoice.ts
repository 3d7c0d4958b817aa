/** Which cache stores a prompt's blocks are kept in: few of them, so that no look-up has to ask every store. */
import { firstByRendezvous, rankByRendezvous } from '../common/index.js'

/** Most stores that hold the blocks of one prompt. */
const MAXIMUM_STORES = 2

/** A store and where it stands. */
export interface PlacedStore {
  name: string
  dataCentre: string
}

/** The stores for a prompt, by the key of its first block: those of the data centre first, in rendezvous order. */
export function storesForPrompt (firstBlockKey: string, stores: readonly PlacedStore[], dataCentre: string): string[] {
  const near = stores.filter(store => store.dataCentre === dataCentre).map(({ name }) => name)
  const far = stores.filter(store => store.dataCentre !== dataCentre).map(({ name }) => name)
  return [...rankByRendezvous(firstBlockKey, near), ...rankByRendezvous(firstBlockKey, far)].slice(0, MAXIMUM_STORES)
}

/** The one of a prompt's stores that a block is exported to, so that a prompt's blocks divide over their links. */
export function storeForBlock (blockKey: string, stores: readonly string[]): string | undefined {
  return firstByRendezvous(blockKey, stores)
}
