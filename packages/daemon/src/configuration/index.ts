export {
  checkSource, ConfigurationKeeper, type ConfigurationChange, type ConfigurationKeeperParts
} from './configurationKeeper.js'
export { ConfigurationPeerClient, ConfigurationPeerRoutes } from './configurationPeers.js'
export { ConfigurationRoutes } from './configurationRoutes.js'
export { ConfigurationConflictError, OutcomeUnknownError, PromotionMismatchError, type ApplyError } from './errors.js'
