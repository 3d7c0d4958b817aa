export { MemberRoutes } from './memberRoutes.js'
export { MembershipLoop } from './membershipLoop.js'
export { MembershipPeerClient, MembershipPeerRoutes } from './membershipPeers.js'
