export { Heartbeats, type HeartbeatSettings } from './heartbeats.js'
export { requestPeerListing, LISTING_PATH, type PeerListing } from './peerListing.js'
