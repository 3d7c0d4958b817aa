/** Ownership of bytes that were read from connections. */
import { CopyReclaimer } from './copyReclaimer.js'

declare const owned: unique symbol

/** Bytes that are never overwritten, so that the receiver may retain them without a copy. */
export type OwnedBytes = Buffer & { readonly [owned]: true }

/** Maximum bytes of one read; large answers arrive in reads of this size. */
const READ_BUFFER_BYTES = 65_536

/** Receives bytes that were read. Returns whether to continue reading at once; otherwise the socket is paused. */
export type ReadListener = (bytes: OwnedBytes) => boolean

/**
 * The buffer that all connections of this process read into. The next read on any connection overwrites it, so only copies
 * leave this file.
 */
const sharedBuffer = Buffer.allocUnsafe(READ_BUFFER_BYTES)
const reclaimer = new CopyReclaimer()

/** The `onread` option of a socket: it reads into the shared buffer and gives the listener owned copies. */
export function onreadOption (listener: ReadListener): { buffer: Uint8Array, callback: (length: number) => boolean } {
  return {
    buffer: sharedBuffer,
    callback: length => listener(ownedCopy(sharedBuffer.subarray(0, length)))
  }
}

/** A slice of owned bytes, which shares their memory and is owned, too. */
export function ownedSlice (bytes: OwnedBytes, begin: number, end: number): OwnedBytes {
  return bytes.subarray(begin, end) as OwnedBytes
}

/** Concatenates owned bytes; a single piece is returned without a copy. */
export function concatenateOwned (pieces: readonly OwnedBytes[]): OwnedBytes {
  if (pieces.length === 1) return pieces[0] as OwnedBytes
  const whole = Buffer.concat(pieces)
  // Collections between the reads of a large whole would only promote its pieces, which minor ones do not reclaim then.
  if (whole.length <= 2 * READ_BUFFER_BYTES) reclaimer.onCopied(whole.length)
  return whole as OwnedBytes
}

/** Copies bytes; the copy is owned by the caller. */
export function ownedCopy (bytes: Uint8Array): OwnedBytes {
  reclaimer.onCopied(bytes.length)
  return Buffer.from(bytes) as OwnedBytes
}
