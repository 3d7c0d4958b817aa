export { InvalidSettingError, type SettingFault } from './errors.js'
export { readSettings, type CommandLine } from './readSettings.js'
export { describeSettings, environmentVariableOf, settingsSchema, type SettingDescription, type Settings } from './settingsSchema.js'
