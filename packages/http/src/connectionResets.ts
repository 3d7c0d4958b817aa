/**
 * Resets of connections. Where bytes and a reset arrive together, Node.js reports the reset as an orderly end, so that an answer
 * that ends with its connection looks complete.
 */
import net from 'node:net'

/** A socket that fails if its connection is reset, even where Node.js takes the reset for an orderly end. */
export class ResetAwareSocket extends net.Socket {
  static open (options: net.NetConnectOpts): ResetAwareSocket {
    return new ResetAwareSocket(options).connect(options)
  }

  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !this.writable) return this.errored === null && super.push(chunk, encoding)
    // Sends nothing, but the kernel refuses it on a connection that was reset, also by what is still being written before it.
    // The stream then ends with the error.
    this.write('', error => { if (error == null) super.push(null) })
    return false
  }
}
