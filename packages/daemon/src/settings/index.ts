export {
  environmentVariableOf, InvalidSettingError, readSettings, settingsSchema, type CommandLine, type Settings
} from './settings.js'
