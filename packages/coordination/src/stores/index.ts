export { BELIEF_LIFETIME, StoredParts, type StoreAnswer, type StoreEvent, type StoreNews, type StoreParts } from './storedParts.js'
