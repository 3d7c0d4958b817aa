export {
  checkSource, ConfigurationController, type ConfigurationChange, type ConfigurationControllerDependencies
} from './configurationController.js'
export { ConfigurationPeerClient, ConfigurationPeerRoutes } from './configurationPeers.js'
export { ConfigurationRoutes } from './configurationRoutes.js'
export { ConfigurationConflictError, OutcomeUnknownError, PromotionMismatchError, type ApplyError } from './errors.js'
