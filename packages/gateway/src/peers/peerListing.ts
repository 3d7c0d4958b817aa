/** Asks another instance for its catalog, for a start while the store is away. */
import http from 'node:http'
import { catalogListingSchema, frontRecordSchema, type Milliseconds } from '@wasabihead/coordination'
import * as z from 'zod'

/** What an instance tells one that starts. */
const peerListingSchema = z.object({
  /** The store's revision that the catalog reaches. */
  revision: z.number(),
  catalog: catalogListingSchema,
  fronts: z.array(frontRecordSchema)
})
/** What an instance tells one that starts. */
export type PeerListing = z.infer<typeof peerListingSchema>

/** Path of the catalog on the control address. */
export const LISTING_PATH = '/v1/catalog'
const MAXIMUM_BYTES = 16_777_216

/** The catalog of the instance at a control address. Rejects where none comes in time. */
export async function askPeerListing (controlAddress: string, timeout: Milliseconds): Promise<PeerListing> {
  const body = await new Promise<string>((resolve, reject) => {
    const request = http.get(`http://${controlAddress}${LISTING_PATH}`, { signal: AbortSignal.timeout(timeout), agent: false }, response => {
      const chunks: Buffer[] = []
      let length = 0
      response.on('data', (chunk: Buffer) => {
        length += chunk.length
        if (length > MAXIMUM_BYTES) request.destroy(new Error('the catalog is too large'))
        chunks.push(chunk)
      })
      response.once('end', () => { resolve(Buffer.concat(chunks).toString('utf8')) })
      response.once('error', reject)
    })
    request.once('error', reject)
  })
  return peerListingSchema.parse(JSON.parse(body))
}
