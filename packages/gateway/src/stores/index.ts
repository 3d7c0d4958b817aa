export { StoreFollower, type StoreFollowerSettings } from './storeFollower.js'
