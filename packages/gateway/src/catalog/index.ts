export { CatalogLoop, FRONT_KEYS, type CatalogLoopSettings } from './catalogLoop.js'
export { Registration, type RegistrationSettings } from './registration.js'
