export { GracefulStop, type GracefulStopSettings, type StopPhase, type UnsentRequest } from './gracefulStop.js'
export { LEAVING_RETENTION, LEAVING_REFRESH_INTERVAL, LeavingServers, type LeavingUpdate, type LeavingWord } from './leavingServers.js'
export { LEAVING_TICK_INTERVAL, LeavingPropagation, type LeavingEffect, type LeavingMessage } from './leavingPropagation.js'
