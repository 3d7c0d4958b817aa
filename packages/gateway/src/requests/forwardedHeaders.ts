/** Which headers go on to the other side. */

/** Headers that concern one connection only. */
const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'content-length', 'expect'
])

/** The headers as pairs, without those of the connection, those it names, and those that `isPassed` refuses. */
export function passedHeaders (rawHeaders: readonly string[], isPassed: (name: string) => boolean): [string, string][] {
  const named = namedByConnection(rawHeaders)
  const passed: [string, string][] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string
    const lowerName = name.toLowerCase()
    if (CONNECTION_HEADERS.has(lowerName) || named.has(lowerName) || !isPassed(lowerName)) continue
    passed.push([name, rawHeaders[index + 1] as string])
  }
  return passed
}

function namedByConnection (rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue
    for (const token of (rawHeaders[index + 1] as string).split(',')) named.add(token.trim().toLowerCase())
  }
  // These reach the other side whatever the connection header says; it must not remove them.
  named.delete('host')
  return named
}
