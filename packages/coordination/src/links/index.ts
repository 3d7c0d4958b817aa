export { PeerLinks, type RelayPeer } from './peerLinks.js'
export { ServiceLinks, type LinkChange } from './serviceLinks.js'
