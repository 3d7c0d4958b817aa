export {
  checkSource, ConfigurationConflictError, ConfigurationKeeper, type ApplyError, type ConfigurationChange
} from './configurationKeeper.js'
export { ConfigurationPeerClient, ConfigurationPeerRoutes } from './configurationPeers.js'
export { ConfigurationRoutes } from './configurationRoutes.js'
