/** Simulations, measurements and process helpers, exported for the tests. */
export * from './coordination/index.js'
export * from './demonstration/index.js'
export * from './load/index.js'
export * from './measurement/index.js'
export * from './processes/index.js'
export * from './quarantine/index.js'
export * from './simulation/index.js'
