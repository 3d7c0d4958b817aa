export { BELIEF_LIFETIME, StoredParts, type StoreAnswer, type StoreEvent, type StoreParts } from './storedParts.js'
