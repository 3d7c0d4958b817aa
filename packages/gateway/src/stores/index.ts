export { StoreCollector, type StoreCollectorSettings } from './storeCollector.js'
export { StoreFollower, type StoreFollowerSettings } from './storeFollower.js'
