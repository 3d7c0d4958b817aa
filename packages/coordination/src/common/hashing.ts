/** Hash functions for placement and for content. */
import { createHash } from 'node:crypto'

const FNV_OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** A fast 32-bit hash (FNV-1a with the MurmurHash3 finalizer) for placement only; not for secrets or identity. */
export function placementHash (text: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  return mixBits(hash)
}

/** SHA-256 digest of the text, in hexadecimal; identifies contents. */
export function contentDigest (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

function mixBits (value: number): number {
  let mixed = value
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
