/** Answers that are given up after they have begun. */
import type http from 'node:http'

/**
 * Closes the connection of an answer, so that its caller sees that it is incomplete. For a caller of HTTP/1.0, an orderly close
 * completes an answer without a length; the connection is reset then.
 */
export function breakOff (response: http.ServerResponse): void {
  const { socket } = response
  const endsWithConnection = response.headersSent && response.req.httpVersion === '1.0' && !response.hasHeader('content-length')
  // A connection that is being shut down cannot be reset.
  if (endsWithConnection && socket !== null && !socket.writableEnded) socket.resetAndDestroy()
  else response.destroy()
}
