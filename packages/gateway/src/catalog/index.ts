export { CatalogLoop, FRONT_KEYS, HOST_KEYS, type CatalogLoopSettings } from './catalogLoop.js'
export { Registration, type RegistrationSettings } from './registration.js'
