export { PeerClient, PeerUnreachableError } from './peerClient.js'
export { PeerHandlers, PeerServer } from './peerServer.js'
