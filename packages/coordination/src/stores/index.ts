export { saltOf, spaceOf, type CacheSpace } from './salts.js'
export { StaleSpaces, type StaleSpaceSettings } from './staleSpaces.js'
export { STORE_STATE_LIFETIME, StoredParts, type StoreAnswer, type StoreEvent, type StoreUpdate, type StorePartList } from './storedParts.js'
