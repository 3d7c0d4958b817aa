export { LEAVING_HOLD, LEAVING_REFRESH, LeavingServers, type LeavingNews } from './leavingServers.js'
