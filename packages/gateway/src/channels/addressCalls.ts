/** The gateway's own calls to replicas and stores, apart from forwarded requests. Answers are read whole. */
import type { Milliseconds } from '@wasabihead/coordination'
import type { ReplicaCall, ReplicaProtocol } from '../protocol/index.js'
import type { ChannelPool } from './channelPool.js'
import { exchangeWhole } from './wholeExchange.js'

/** The answer to a call, or for the log the reason why there is none. */
export type CallOutcome =
  | { isAnswered: true, status: number, body: string, coldLeft?: Milliseconds }
  | { isAnswered: false, reason: string }

/** The destination of a call. */
export interface CallTarget {
  /** Key of the connections in the pool: the run of a replica, or the address of a store. */
  id: string
  /** IP address and port. */
  address: string
}

/** What calls need of their instance. */
export interface CallContext {
  channels: ChannelPool
  replicaProtocol: Pick<ReplicaProtocol, 'readAnswer'>
}

/** Sends a call and reads the whole answer. Never rejects: every failure is an outcome without an answer. */
export async function callAddress (
  { channels, replicaProtocol }: CallContext, target: CallTarget, call: ReplicaCall, timeout: Milliseconds
): Promise<CallOutcome> {
  const lengthHeader: [string, string][] = call.body === '' ? [] : [['Content-Length', String(Buffer.byteLength(call.body))]]
  const outcome = await exchangeWhole(channels.acquire(target, true), {
    method: call.method,
    target: call.path,
    headers: [['Host', target.address], ...call.headers, ...lengthHeader],
    body: call.body === '' ? undefined : Buffer.from(call.body)
  }, {
    timeout,
    maximumBytes: call.maximumAnswerBytes,
    // The answer to a caller's request has an id, and may come late on a connection that carried the request.
    isExpected: ({ status, headers }) => replicaProtocol.readAnswer(status, headers).requestId === undefined
  })
  if (!outcome.isAnswered) return outcome
  const { head: { status, headers: fields }, body } = outcome
  const { coldLeft } = replicaProtocol.readAnswer(status, fields)
  return { isAnswered: true, status, body, ...(coldLeft === undefined ? {} : { coldLeft }) }
}
