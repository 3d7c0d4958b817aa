/** The daemon as a library, for tests and for embedding. */
export * from './adapters/index.js'
export * from './configuration/index.js'
export * from './instance/index.js'
export * from './peers/index.js'
export * from './settings/index.js'
export * from './telemetry/index.js'
