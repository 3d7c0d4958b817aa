export { ClaimCoordinator } from './claimCoordinator.js'
export { ClaimDirectory } from './claimDirectory.js'
export { ClaimPeerClient, ClaimPeerRoutes } from './claimPeers.js'
export { ClaimRoutes } from './claimRoutes.js'
