export { instanceFromWire, instanceToWire } from './instanceConversions.js'
export { PeerConnections, PeerUnreachableError } from './peerConnections.js'
export { PeerRoutes, PeerServer } from './peerServer.js'
