export { CrashReplay, ReplayedKeeper, type CrashEvent, type CrashReplayOptions, type KeeperMaker } from './crashReplay.js'
export { CrashingRequestMeasurement } from './crashingRequestMeasurement.js'
