/** Client and server of the calls between instances about the homes of prompts. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Result } from 'true-myth'
import type { HomeDirectory, Milliseconds, PromptPlacement, ReplicaHint } from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import { PeerRoutes, type PeerConnections, type PeerUnreachableError } from '../peers/index.js'
import { RoutingService } from '../peers/gen/wasabihead/v1/routing_pb.js'

const CALL_TIMEOUT: Milliseconds = 1_000
/** Maximum age that fits the message's 32-bit field, about 49 days. */
const MAXIMUM_AGE: Milliseconds = 0xffffffff

/** Calls the homes of prompts. */
export class HomePeerClient {
  constructor (private readonly _connections: PeerConnections) {}

  /**
   * Hints of the home about the replicas that were sent the blocks.
   *
   * @param blockKeys shortened keys, from the prompt's first block on
   */
  async findReplicas (address: string, blockKeys: string[]): Promise<Result<ReplicaHint[], PeerUnreachableError>> {
    return await this._connections.call(RoutingService, address, async client => {
      const { hints } = await client.askHome({ blockKeys }, { timeoutMs: CALL_TIMEOUT })
      return hints.map(({ replica, incarnation, blockCount, ageMilliseconds }) =>
        ({ replica, incarnation: Number(incarnation), blockCount, age: ageMilliseconds }))
    })
  }

  /** Reports a placement to the home. */
  async reportPlacement (address: string, placement: PromptPlacement): Promise<Result<void, PeerUnreachableError>> {
    return await this._connections.call(RoutingService, address, async client => {
      const { replica, incarnation, blockKeys } = placement
      const request = { replica, incarnation: BigInt(incarnation), blockKeys: [...blockKeys] }
      await client.tellHome(request, { timeoutMs: CALL_TIMEOUT })
    })
  }
}

/** Answers peers about the prompts whose home is this instance. */
export class HomePeerRoutes extends PeerRoutes {
  constructor (private readonly _directory: HomeDirectory, private readonly _clock: Clock) {
    super()
  }

  override register (router: ConnectRouter): void {
    router.service(RoutingService, {
      askHome: ({ blockKeys }) => ({ hints: this._directory.findReplicas(blockKeys, this._clock.monotonic()).map(hintToWire) }),
      tellHome: ({ replica, incarnation, blockKeys }) => {
        this._directory.record({ replica, incarnation: Number(incarnation), blockKeys }, this._clock.monotonic())
        return {}
      }
    })
  }
}

function hintToWire ({ replica, incarnation, blockCount, age }: ReplicaHint) {
  const ageMilliseconds = Math.min(MAXIMUM_AGE, Math.round(age))
  return { replica, incarnation: BigInt(incarnation), blockCount, ageMilliseconds }
}
