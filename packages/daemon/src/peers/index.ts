export { instanceFromWire, instanceToWire } from './instanceConversions.js'
export { PeerConnections, PeerUnreachableError } from './peerConnections.js'
export { PeerRoutes, PeerServer } from './peerServer.js'
export { MembershipService } from './gen/wasabihead/v1/membership_pb.js'
