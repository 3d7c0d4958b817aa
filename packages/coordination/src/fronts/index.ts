export { FrontDirectory, type FrontDirectorySettings } from './frontDirectory.js'
export { intervalsForRound, isRoundDue, silenceTimeout } from './heartbeatRounds.js'
export { PauseGuard, type PauseGuardSettings } from './pauseGuard.js'
export { frontRecordSchema, heartbeatSchema, type FrontRecord, type Heartbeat } from './messages.js'
