export { PromptHomes } from './promptHomes.js'
export { HomePeerClient, HomePeerRoutes } from './homePeers.js'
