/** Chooses the cache stores for a prompt's blocks: only a few, so that a look-up does not have to query every store. */
import { firstByRendezvous, rankByRendezvous } from '../common/index.js'

/** Maximum number of stores that hold the blocks of one prompt. */
const MAXIMUM_STORES = 2

/** A store and its data centre. */
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

/** The store to which a block is exported, of its prompt's stores; a prompt's blocks are spread over their links. */
export function storeForBlock (blockKey: string, stores: readonly string[]): string | undefined {
  return firstByRendezvous(blockKey, stores)
}
