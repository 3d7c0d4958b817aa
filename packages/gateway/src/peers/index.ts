export { Heartbeats, type HeartbeatSettings } from './heartbeats.js'
export { REQUEST_ID_PARAMETER, readStoreChange, requestStreamOrigin, STREAM_ORIGIN_PATH } from './streamOriginRequest.js'
export { requestPeerListing, LISTING_PATH, type PeerListing } from './peerListing.js'
