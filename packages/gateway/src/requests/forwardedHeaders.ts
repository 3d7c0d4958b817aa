/** Selects the headers that are forwarded between a caller and a replica. */
import { RELAY_HEADER } from './relayMessages.js'

/** Headers that apply to one connection only. */
const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'content-length', 'expect', RELAY_HEADER
])

/**
 * The headers to forward, as pairs: without those of the connection, those that the connection header names, and those that
 * `isForwarded` rejects, which is called with names in lower case.
 */
export function forwardedHeaders (rawHeaders: readonly string[], isForwarded: (name: string) => boolean): [string, string][] {
  const named = namedByConnection(rawHeaders)
  const forwarded: [string, string][] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string
    const lowerName = name.toLowerCase()
    if (CONNECTION_HEADERS.has(lowerName) || named.has(lowerName) || !isForwarded(lowerName)) continue
    forwarded.push([name, rawHeaders[index + 1] as string])
  }
  return forwarded
}

/** The headers with another host, as for a request whose target names it (RFC 9112, 3.2.2). */
export function withHost (rawHeaders: readonly string[], host: string): string[] {
  return rawHeaders.map((text, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === 'host' ? host : text)
}

function namedByConnection (rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue
    for (const token of (rawHeaders[index + 1] as string).split(',')) named.add(token.trim().toLowerCase())
  }
  // The host header is forwarded even if the connection header names it.
  named.delete('host')
  return named
}
