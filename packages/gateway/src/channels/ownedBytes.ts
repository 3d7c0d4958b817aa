/** Who owns bytes that were read, and until when. */

declare const owned: unique symbol

/** Bytes that nobody writes to any more: whoever got them may keep them for as long as it likes. */
export type OwnedBytes = Buffer & { readonly [owned]: true }

/** Bytes of a read; large answers come in reads of this size. */
const READ_SIZE = 65_536

/** Takes bytes that were read; whether to go on reading at once. */
export type ReadListener = (bytes: OwnedBytes) => boolean

/**
 * The buffer that all connections of this process read into. The next read, of whatever connection, overwrites it, so that
 * only copies leave this file.
 */
const sharedBuffer = Buffer.allocUnsafe(READ_SIZE)

/** The `onread` option of a socket. */
export function readInto (listener: ReadListener): { buffer: Uint8Array, callback: (length: number) => boolean } {
  return { buffer: sharedBuffer, callback: length => listener(ownedCopy(sharedBuffer.subarray(0, length))) }
}

/** A part of owned bytes, which is owned like them. */
export function partOf (bytes: OwnedBytes, begin: number, end: number): OwnedBytes {
  return bytes.subarray(begin, end) as OwnedBytes
}

/** Owned bytes after each other. */
export function joined (pieces: readonly OwnedBytes[]): OwnedBytes {
  return (pieces.length === 1 ? pieces[0] : Buffer.concat(pieces)) as OwnedBytes
}

/** A copy, which belongs to whoever asked for it. */
export function ownedCopy (bytes: Uint8Array): OwnedBytes {
  return Buffer.from(bytes) as OwnedBytes
}
