export { ClaimCoordinator } from './claimCoordinator.js'
export { ClaimPeerClient, ClaimPeerRoutes } from './claimPeers.js'
