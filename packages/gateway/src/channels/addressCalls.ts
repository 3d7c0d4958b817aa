/** The gateway's own calls to replicas and stores, apart from forwarded requests. Answers are read whole. */
import type { Milliseconds } from '@wasabihead/coordination'
import type { ReplicaCall, ReplicaProtocol } from '../protocol/index.js'
import type { ChannelPool } from './channelPool.js'
import { BufferedBytes } from './bufferedBytes.js'

/** The answer to a call, or for the log the reason why there is none. */
export type CallOutcome =
  | { isAnswered: true, status: number, body: string }
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

/** The longest answers are lists of a cache store's parts, about 40 bytes for each part. */
const MAXIMUM_ANSWER_BYTES = 4_194_304

/** Sends a call and reads the whole answer. Never rejects: every failure is an outcome without an answer. */
export async function callAddress (
  { channels, replicaProtocol }: CallContext, target: CallTarget, call: ReplicaCall, timeout: Milliseconds
): Promise<CallOutcome> {
  return await new Promise(resolve => {
    const channel = channels.acquire(target, true)
    const timer = setTimeout(() => {
      channel.cancel()
      resolve({ isAnswered: false, reason: `no answer within ${timeout} ms` })
    }, timeout)
    const body = new BufferedBytes()
    let status = 0
    const lengthHeader: [string, string][] = call.body === '' ? [] : [['Content-Length', String(Buffer.byteLength(call.body))]]
    channel.send({
      method: call.method,
      target: call.path,
      headers: [['Host', target.address], ...call.headers, ...lengthHeader],
      body: call.body === '' ? undefined : Buffer.from(call.body)
    }, {
      // The answer to a caller's request has an id, and may come late on a connection that carried the request.
      isExpected: ({ status: received, headers }) => replicaProtocol.readAnswer(received, headers).requestId === undefined,
      onHead: head => { status = head.status },
      onBody: chunk => {
        body.add(chunk)
        if (body.length <= MAXIMUM_ANSWER_BYTES) return
        clearTimeout(timer)
        channel.cancel()
        resolve({ isAnswered: false, reason: `the answer is longer than ${MAXIMUM_ANSWER_BYTES} bytes` })
      },
      onEnd: () => {
        clearTimeout(timer)
        resolve({ isAnswered: true, status, body: body.takeAll().toString('utf8') })
      },
      onFault: (fault, detail) => {
        clearTimeout(timer)
        resolve({ isAnswered: false, reason: `${fault}: ${detail}` })
      }
    })
  })
}
