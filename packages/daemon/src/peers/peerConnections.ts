/** Connections to other instances. They are kept for each address and dropped together when one is found silent. */
import type { DescService } from '@bufbuild/protobuf'
import { createClient, type Client, type Transport } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { Result } from 'true-myth'
import { RemediedError } from '@wasabihead/coordination'

/** An instance gave no answer. The call may have taken effect. */
export class PeerUnreachableError extends RemediedError {
  readonly kind = 'peer-unreachable'
}

/** Calls services of other instances by their peer address. */
export class PeerConnections {
  private readonly _transports = new Map<string, Transport>()

  /** Calls a service; any failure drops the connection, since a silent one would fail every later call too. */
  async call<Service extends DescService, Value> (
    service: Service, address: string, perform: (client: Client<Service>) => Promise<Value>
  ): Promise<Result<Value, PeerUnreachableError>> {
    try {
      return Result.ok(await perform(createClient(service, this._transportFor(address))))
    } catch (error) {
      this._transports.delete(address)
      return Result.err(new PeerUnreachableError(`No answer from ${address} (${String(error)})`, 'Try another instance'))
    }
  }

  private _transportFor (address: string): Transport {
    const known = this._transports.get(address)
    if (known !== undefined) return known
    const transport = createConnectTransport({ baseUrl: address, httpVersion: '2' })
    this._transports.set(address, transport)
    return transport
  }
}
