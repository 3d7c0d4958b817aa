/** Responses that report when more of an answer waits for its caller. */
import http from 'node:http'

/** Emits `buffered` after each write and at the end. A periodic check alone misses answers that arrive in a burst. */
export class MeasuredResponse extends http.ServerResponse {
  override write (...parameters: unknown[]): boolean {
    const hasRoom = http.ServerResponse.prototype.write.apply(this, parameters as Parameters<http.ServerResponse['write']>)
    this.emit('buffered')
    return hasRoom
  }

  override end (...parameters: unknown[]): this {
    http.ServerResponse.prototype.end.apply(this, parameters as Parameters<http.ServerResponse['end']>)
    this.emit('buffered')
    return this
  }
}
