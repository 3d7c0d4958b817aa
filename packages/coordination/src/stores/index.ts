export { BELIEF_LIFETIME, StoredParts, type StoreAnswer, type StoreEvent } from './storedParts.js'
