/** A caller's request that was read completely and matched to a route. */
import type http from 'node:http'
import type { Milliseconds, Route, WorkspaceAccess } from '@wasabihead/coordination'
import type { CallerHead } from '../protocol/index.js'
import type { RelayedRequest } from './relayMessages.js'

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
  /** When the answer must be complete. */
  deadline: Milliseconds
  /** Digest of the API key, host, target and body; the same when a caller sends a request again. */
  fingerprint: string
  /** What it may have in common with other requests that crash replicas: its content without the caller, and its prompt parts. */
  features: readonly string[]
  response: http.ServerResponse
  /** What the peer that relayed the request says about it; undefined if its caller is connected to this instance. */
  relayed: RelayedRequest | undefined
}
