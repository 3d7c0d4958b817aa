/** Requests the catalog from another instance, for a start while the store is unreachable. */
import { catalogListingSchema, frontRecordSchema, type Milliseconds } from '@wasabihead/coordination'
import * as z from 'zod'
import { requestFromPeer } from './peerRequest.js'

/** The catalog and the instances that a running instance sends to a starting one. */
const peerListingSchema = z.object({
  /** The era of the store in which that revision was given out; absent from builds that know no eras. */
  era: z.number().optional(),
  /** Revision of the store up to which the catalog is complete. */
  revision: z.number(),
  catalog: catalogListingSchema,
  fronts: z.array(frontRecordSchema)
})
/** The catalog and the instances that a running instance sends to a starting one. */
export type PeerListing = z.infer<typeof peerListingSchema>

/** Path of the catalog at the control address. */
export const LISTING_PATH = '/v1/catalog'
const MAXIMUM_LISTING_BYTES = 16_777_216
/** A listing with a large configuration takes a narrow link this multiple of the timeout. */
const WHOLE_TIMEOUT_FACTOR = 6

/**
 * Reads the catalog of the instance at a control address. Rejects if it does not arrive, or is too large or malformed.
 * @param timeout longest time without a byte of it
 */
export async function requestPeerListing (controlAddress: string, timeout: Milliseconds): Promise<PeerListing> {
  const body = await requestFromPeer(controlAddress, LISTING_PATH, {
    timeout, wholeTimeout: timeout * WHOLE_TIMEOUT_FACTOR, maximumBytes: MAXIMUM_LISTING_BYTES
  })
  return peerListingSchema.parse(JSON.parse(body))
}
