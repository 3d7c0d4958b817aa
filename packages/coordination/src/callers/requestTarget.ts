/** The target of a request (RFC 9112, 3.2). */

/** Where a request goes. */
export interface RequestTarget {
  /** Host and port; without a port if it has none. */
  host: string
  /** Path and query. */
  pathAndQuery: string
}

const ABSOLUTE_FORM = /^https?:\/\/([^/?#]*)([^#]*)/i

/** Reads a target, which may be a whole URL; its host then counts instead of the one in the header. */
export function readRequestTarget (target: string, hostHeader: string): RequestTarget {
  const match = ABSOLUTE_FORM.exec(target)
  if (match === null) return { host: hostHeader, pathAndQuery: target }
  const [, host = '', pathAndQuery = ''] = match
  return { host, pathAndQuery: pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}` }
}

/** The path of a path and query. */
export function pathOf (pathAndQuery: string): string {
  return pathAndQuery.split('?', 1)[0] as string
}
