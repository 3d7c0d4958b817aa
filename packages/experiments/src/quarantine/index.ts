export { CrashReplay, ReplayedHost, type CrashEvent, type CrashReplayOptions, type HostFactory } from './crashReplay.js'
export { CrashingRequestMeasurement } from './crashingRequestMeasurement.js'
