/** Requests the catalog from another instance, for a start while the store is unreachable. */
import http from 'node:http'
import { catalogListingSchema, frontRecordSchema, type Milliseconds } from '@wasabihead/coordination'
import * as z from 'zod'

/** The catalog and the instances that a running instance sends to a starting one. */
const peerListingSchema = z.object({
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

/**
 * Reads the catalog of the instance at a control address. Rejects if it does not arrive whole before the timeout, or is too large
 * or malformed.
 */
export async function requestPeerListing (controlAddress: string, timeout: Milliseconds): Promise<PeerListing> {
  const body = await new Promise<string>((resolve, reject) => {
    const request = http.get(`http://${controlAddress}${LISTING_PATH}`, { signal: AbortSignal.timeout(timeout), agent: false }, response => {
      const chunks: Buffer[] = []
      let length = 0
      response.on('data', (chunk: Buffer) => {
        length += chunk.length
        if (length > MAXIMUM_LISTING_BYTES) request.destroy(new Error('the catalog is too large'))
        chunks.push(chunk)
      })
      response.once('end', () => { resolve(Buffer.concat(chunks).toString('utf8')) })
      response.once('error', reject)
    })
    request.once('error', reject)
  })
  return peerListingSchema.parse(JSON.parse(body))
}
