/** Connections to other instances: one transport for each address, replaced when a call on it gets no answer. */
import type { DescService } from '@bufbuild/protobuf'
import { Code, ConnectError, createClient, type Client, type Transport } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { Result } from 'true-myth'
import { ActionableError, type Milliseconds } from '@wasabihead/coordination'

const CALL_TIMEOUT: Milliseconds = 5_000
const PING_INTERVAL: Milliseconds = 5_000
const PING_TIMEOUT: Milliseconds = 1_000
const IDLE_CONNECTION_TIMEOUT: Milliseconds = 60_000
/** Codes of failures that may be caused by the connection or the instance, rather than by the call. */
const CONNECTION_CODES = new Set([Code.DeadlineExceeded, Code.Unavailable, Code.Internal, Code.Aborted, Code.Unknown])

/** A call to another instance failed. The call may have taken effect. */
export class PeerUnreachableError extends ActionableError {
  readonly kind = 'peer-unreachable'
}

/** Calls services of other instances at their peer addresses. */
export class PeerConnections {
  private readonly _transports = new Map<string, Transport>()

  /**
   * Calls a service; returns `PeerUnreachableError` for every failure of the call. If the call gets no answer, the connection
   * is dropped, since a dead connection would fail every later call. The next call opens a new connection, so only a
   * further failure indicates that the instance itself does not answer.
   */
  async call<Service extends DescService, Value> (
    service: Service, address: string, perform: (client: Client<Service>) => Promise<Value>
  ): Promise<Result<Value, PeerUnreachableError>> {
    try {
      return Result.ok(await perform(createClient(service, this._transportFor(address))))
    } catch (error) {
      if (CONNECTION_CODES.has(ConnectError.from(error).code)) this._transports.delete(address)
      return Result.err(new PeerUnreachableError(`No answer from ${address} (${String(error)})`, 'Try another instance'))
    }
  }

  private _transportFor (address: string): Transport {
    const known = this._transports.get(address)
    if (known !== undefined) return known
    const transport = createConnectTransport({
      baseUrl: address,
      httpVersion: '2',
      defaultTimeoutMs: CALL_TIMEOUT,
      pingIntervalMs: PING_INTERVAL,
      pingTimeoutMs: PING_TIMEOUT,
      idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT
    })
    this._transports.set(address, transport)
    return transport
  }
}
