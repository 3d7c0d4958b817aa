export { Heartbeats, type HeartbeatSettings } from './heartbeats.js'
export { askPeerListing, LISTING_PATH, type PeerListing } from './peerListing.js'
