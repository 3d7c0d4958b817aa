export { Heartbeats, type HeartbeatSettings } from './heartbeats.js'
export { askPeerListing, LISTING_PATH } from './peerListing.js'
