export {
  checkSource, ConfigurationConflictError, ConfigurationKeeper, type ApplyError, type ConfigurationChange
} from './configurationKeeper.js'
