/** Client and server of the calls between instances that transfer the configuration. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Result } from 'true-myth'
import type { ConfigurationRecord, Milliseconds } from '@wasabihead/coordination'
import { PeerRoutes, type PeerConnections, type PeerUnreachableError } from '../peers/index.js'
import { ConfigurationService } from '../peers/gen/wasabihead/v1/configuration_pb.js'
import type { ConfigurationController } from './configurationController.js'
import { decodeRecord } from './configurationStore.js'

const CALL_TIMEOUT: Milliseconds = 2_000

/** Fetches configurations from other instances. */
export class ConfigurationPeerClient {
  constructor (private readonly _connections: PeerConnections) {}

  /** The peer's record if it is newer than the known revision, else undefined. */
  async fetch (
    address: string, knownRevision: number
  ): Promise<Result<ConfigurationRecord | undefined, PeerUnreachableError>> {
    return await this._connections.call(ConfigurationService, address, async client => {
      const request = { knownRevision: BigInt(knownRevision) }
      const { storedConfiguration } = await client.fetchConfiguration(request, { timeoutMs: CALL_TIMEOUT })
      return storedConfiguration === '' ? undefined : decodeRecord(storedConfiguration)
    })
  }
}

/** Serves the configuration to other instances. */
export class ConfigurationPeerRoutes extends PeerRoutes {
  constructor (private readonly _controller: ConfigurationController) {
    super()
  }

  override register (router: ConnectRouter): void {
    router.service(ConfigurationService, {
      fetchConfiguration: request => {
        const current = this._controller.state.current
        const isNewer = current !== undefined && current.revision > Number(request.knownRevision)
        return { storedConfiguration: isNewer ? JSON.stringify(current) : '' }
      }
    })
  }
}
