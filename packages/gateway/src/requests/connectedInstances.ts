/** The instances that may take on duties for the whole fleet that need engines or cache stores. */
import type { GatewayState } from './gatewayState.js'

/**
 * Names of the live instances that can connect to the replicas of every engine service; of all live ones if none is known to. In
 * a large fleet only the active ones, which report to all data centres.
 */
export function connectedInstances ({ catalog, fronts, links, peerLinks, now }: GatewayState): string[] {
  const services = catalog.routes?.configuration.services ?? []
  const engines = services.filter(({ engine }) => engine !== undefined).map(({ name }) => name)
  const connected = peerLinks.connectedInstances(engines, fronts.self.name, links.cutOff, fronts.livePeers(now()), now())
  const active = connected.filter(name => fronts.isActive(name, now()))
  return active.length > 0 ? active : connected
}
