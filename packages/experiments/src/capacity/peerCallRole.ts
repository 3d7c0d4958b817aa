/** Cost of calls between instances: processor time and bytes of one call, for the caller and the callee together. */
import type { ConnectRouter } from '@connectrpc/connect'
import { MembershipService, PeerConnections, PeerRoutes, PeerServer } from '@wasabihead/daemon'
import { CapacityRole, type CapacitySample } from './capacityRole.js'

const CALLS = 2_000
const WARM_UP_CALLS = 300
const BYTES_PER_CALL = 400
const LOOPBACK = '127.0.0.1'

class EchoRoutes extends PeerRoutes {
  override register (router: ConnectRouter): void {
    router.service(MembershipService, { probe: () => ({}) })
  }
}

/** Measures the mean processor time of small calls, and scales it to several rates. */
export class PeerCallRole extends CapacityRole {
  override readonly name = 'peer calls'
  override readonly mechanism = 'connect-es over one kept HTTP/2 connection for each peer'
  override readonly unit = 'calls a second, both sides'
  override readonly sizes = [10, 20, 40] as const
  override readonly targetSize = 40

  override async measure (size: number): Promise<CapacitySample> {
    const server = new PeerServer([new EchoRoutes()])
    const address = `http://${LOOPBACK}:${await server.start(LOOPBACK, 0)}`
    try {
      const connections = new PeerConnections()
      await callRepeatedly(connections, address, WARM_UP_CALLS)
      const before = process.cpuUsage()
      await callRepeatedly(connections, address, CALLS)
      const used = process.cpuUsage(before)
      const microsecondsPerCall = (used.user + used.system) / CALLS
      return {
        size,
        coreShare: microsecondsPerCall * size / 1_000_000,
        stateBytes: 0,
        networkBytesPerSecond: size * BYTES_PER_CALL,
        keyValueCallsPerSecond: 0
      }
    } finally {
      await server.stop()
    }
  }
}

async function callRepeatedly (connections: PeerConnections, address: string, count: number): Promise<void> {
  for (let call = 0; call < count; call++) {
    const answer = await connections.call(MembershipService, address, async client => await client.probe({}))
    if (answer.isErr) throw answer.error
  }
}
