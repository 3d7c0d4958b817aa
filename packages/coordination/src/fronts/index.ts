export {
  ActiveInstances, capacityOf, MAXIMUM_ADDRESSES, namedAddresses, namedInstances, rankInstances, type MachineSize,
  type RankedInstance
} from './activeInstances.js'
export { ActiveRounds, concernsAll, type RoundKind, type RoundMessage, type RoundSender } from './activeRounds.js'
export { FrontDirectory, type FrontDirectorySettings, type ReceivedHeartbeat } from './frontDirectory.js'
export { intervalsForRound, isRoundDue, silenceTimeout } from './heartbeatRounds.js'
export { PauseGuard, type PauseGuardSettings } from './pauseGuard.js'
export { isLeaseOutdated, registrationLease, type RegistrationLease } from './registrationLease.js'
export { frontRecordSchema, heartbeatSchema, type FrontRecord, type Heartbeat } from './messages.js'
