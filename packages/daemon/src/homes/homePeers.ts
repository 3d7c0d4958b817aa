/** The routing state of returning prompts between instances. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Result } from 'true-myth'
import type { HomeDirectory, Milliseconds, PromptPlacement, ReplicaHint } from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import { PeerRoutes, type PeerConnections, type PeerUnreachableError } from '../peers/index.js'
import { RoutingService } from '../peers/gen/wasabihead/v1/routing_pb.js'

const CALL_TIMEOUT: Milliseconds = 1_000
/** Greatest age that the wire carries: that of a placement made 49 days ago. */
const MAXIMUM_AGE: Milliseconds = 0xffffffff

/** Calls the homes of prompts. */
export class HomePeerClient {
  constructor (private readonly _connections: PeerConnections) {}

  /**
   * The replicas that were given the blocks.
   *
   * @param blockKeys shortened keys, from the prompt's first block on
   */
  async ask (address: string, blockKeys: string[]): Promise<Result<ReplicaHint[], PeerUnreachableError>> {
    return await this._connections.call(RoutingService, address, async client => {
      const { hints } = await client.askHome({ blockKeys }, { timeoutMs: CALL_TIMEOUT })
      return hints.map(({ replica, incarnation, blockCount, ageMilliseconds }) =>
        ({ replica, incarnation: Number(incarnation), blockCount, age: ageMilliseconds }))
    })
  }

  /** Tells the home of a placement. */
  async tell (address: string, placement: PromptPlacement): Promise<Result<void, PeerUnreachableError>> {
    return await this._connections.call(RoutingService, address, async client => {
      const { replica, incarnation, blockKeys } = placement
      const request = { replica, incarnation: BigInt(incarnation), blockKeys: [...blockKeys] }
      await client.tellHome(request, { timeoutMs: CALL_TIMEOUT })
    })
  }
}

/** Serves the routing state of the prompts homed here. */
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
