/** Connections to other instances. They are kept for each address and dropped together when one is found silent. */
import type { DescService } from '@bufbuild/protobuf'
import { Code, ConnectError, createClient, type Client, type Transport } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { Result } from 'true-myth'
import { ActionableError, type Milliseconds } from '@wasabihead/coordination'

const CALL_TIMEOUT: Milliseconds = 5_000
const PING_INTERVAL: Milliseconds = 5_000
const PING_TIMEOUT: Milliseconds = 1_000
const IDLE_CONNECTION_TIMEOUT: Milliseconds = 60_000
/** Failures that speak of the connection or the instance, and not of the call. */
const CONNECTION_CODES = new Set([Code.DeadlineExceeded, Code.Unavailable, Code.Internal, Code.Aborted, Code.Unknown])

/** An instance gave no answer. The call may have taken effect. */
export class PeerUnreachableError extends ActionableError {
  readonly kind = 'peer-unreachable'
}

/** Calls services of other instances by their peer address. */
export class PeerConnections {
  private readonly _transports = new Map<string, Transport>()

  /**
   * Calls a service. A call without an answer drops the connection, since a silent one would fail every later call too:
   * the next call opens a new one, and only when that fails as well does the failure speak of the instance.
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
