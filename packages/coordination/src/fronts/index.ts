export { FrontDirectory, type FrontDirectorySettings } from './frontDirectory.js'
export { frontRecordSchema, heartbeatSchema, type FrontRecord, type Heartbeat } from './messages.js'
