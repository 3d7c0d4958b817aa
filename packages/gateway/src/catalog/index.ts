export { CatalogLoop, FRONT_KEYS, HOST_KEYS, type CatalogLoopSettings } from './catalogLoop.js'
export { CrashRecords } from './crashRecords.js'
export { Registration, type RegistrationSettings } from './registration.js'
