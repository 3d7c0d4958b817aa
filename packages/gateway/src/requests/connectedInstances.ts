/** The instances that may take on duties for the whole fleet that need engines or cache stores. */
import type { GatewayState } from './gatewayState.js'

/** Names of the live instances that can connect to the replicas of every engine service; of all live ones if none is known to. */
export function connectedInstances ({ catalog, fronts, links, peerLinks, now }: GatewayState): string[] {
  const services = catalog.routes?.configuration.services ?? []
  const engines = services.filter(({ engine }) => engine !== undefined).map(({ name }) => name)
  return peerLinks.connectedInstances(engines, fronts.self.name, links.cutOff, fronts.livePeers(now()), now())
}
