export { CatalogLoop, FRONT_KEY_PREFIX, HOST_KEY_PREFIX, type CatalogLoopSettings } from './catalogLoop.js'
export { VersionRecords } from './versionRecords.js'
export { CrashRecords } from './crashRecords.js'
export { Registration, type RegistrationSettings } from './registration.js'
