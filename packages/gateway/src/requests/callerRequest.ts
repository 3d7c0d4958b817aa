/** A caller's request that was read whole and has a route. */
import type http from 'node:http'
import type { Milliseconds, Route, WorkspaceAccess } from '@wasabihead/coordination'
import type { CallerHead } from '../protocol/index.js'

/** A request with everything that decides how it is served. */
export interface CallerRequest {
  head: CallerHead
  method: string
  /** Path with query, as the caller sent it. */
  target: string
  rawHeaders: readonly string[]
  body: Buffer
  route: Route
  workspace: WorkspaceAccess | undefined
  receivedAt: Milliseconds
  /** When the final answer is due. */
  deadline: Milliseconds
  /** The same for the same request sent again: its caller, path and body. */
  fingerprint: string
  response: http.ServerResponse
}
