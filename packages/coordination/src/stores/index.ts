export { saltOf, spaceOf, type CacheSpace } from './salts.js'
export { BELIEF_LIFETIME, StoredParts, type StoreAnswer, type StoreEvent, type StoreNews, type StoreParts } from './storedParts.js'
