export { LeavingLoop } from './leavingLoop.js'
export { LeavingPeerClient, LeavingPeerRoutes } from './leavingPeers.js'
export { LeavingRoutes } from './leavingRoutes.js'
