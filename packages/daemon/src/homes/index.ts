export { HomeKeeper } from './homeKeeper.js'
export { HomePeerClient, HomePeerRoutes } from './homePeers.js'
