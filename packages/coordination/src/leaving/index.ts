export { LEAVING_HOLD, LEAVING_REFRESH, LeavingServers, type LeavingNews, type LeavingWord } from './leavingServers.js'
export { LEAVING_TICK_INTERVAL, LeavingSpread, type LeavingEffect, type LeavingMessage } from './leavingSpread.js'
