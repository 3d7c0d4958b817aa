/** Finds the route and the workspace of a request. */
import type { Milliseconds } from '../common/index.js'
import type { Route, RoutingConfiguration, ServiceDescription, WorkspaceAccess } from './messages.js'
import { SharingGroups } from './sharingGroups.js'

/** Why a request is rejected: no route matches, or its API key is missing or unknown. */
export type RouteRefusal = 'no-route' | 'unknown-key'

/** The route of a request, and the workspace that it runs for. */
export interface RouteMatch {
  route: Route
  /** Absent on public routes and where the configuration has no workspaces. */
  workspace?: WorkspaceAccess | undefined
}

/** An index of one configuration. */
export class RouteTable {
  /** Which workspaces share cached parts. */
  readonly sharing: SharingGroups
  private readonly _routesByHost = new Map<string, Route[]>()
  private readonly _workspaceByKey = new Map<string, WorkspaceAccess>()
  private readonly _services = new Map<string, ServiceDescription>()
  private readonly _shortestObjectives = new Map<string, Milliseconds>()

  /** @param configuration the configuration in force */
  constructor (readonly configuration: RoutingConfiguration) {
    this.sharing = new SharingGroups(configuration.workspaces)
    for (const route of configuration.routes) {
      const host = comparableHost(route.host)
      const routes = this._routesByHost.get(host) ?? []
      routes.push(route)
      this._routesByHost.set(host, routes)
    }
    // The longest matching prefix wins.
    for (const routes of this._routesByHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    }
    for (const workspace of configuration.workspaces ?? []) {
      for (const key of workspace.keys) this._workspaceByKey.set(key, workspace)
    }
    for (const service of configuration.services) this._services.set(service.name, service)
    for (const { kind, targets, objective } of configuration.routes) {
      if (kind !== 'streaming') continue
      for (const { service } of targets) {
        this._shortestObjectives.set(service, Math.min(objective, this.shortestObjective(service)))
      }
    }
  }

  /** The shortest objective among the streaming routes that send to a service; Infinity if there are none. */
  shortestObjective (service: string): Milliseconds {
    return this._shortestObjectives.get(service) ?? Infinity
  }

  service (name: string): ServiceDescription | undefined {
    return this._services.get(name)
  }

  /**
   * Finds the route of a host and path, and the key's workspace.
   * @param host the Host header; a port is ignored
   * @param path the path without its query
   */
  match (host: string, path: string, key: string | undefined): RouteMatch | RouteRefusal {
    const routes = this._routesByHost.get(comparableHost(host))
    const route = routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
    if (route === undefined) return 'no-route'
    if (this.configuration.workspaces === undefined) return { route }
    const workspace = key === undefined ? undefined : this._workspaceByKey.get(key)
    if (route.isPublic) return { route, workspace }
    return workspace === undefined ? 'unknown-key' : { route, workspace }
  }
}

const PORT = /:\d*$/
const ROOT_DOT = /\.$/

/** A host as names are compared: in lower case, without a port, which may be empty, and without the dot of an absolute name. */
function comparableHost (host: string): string {
  return host.replace(PORT, '').replace(ROOT_DOT, '').toLowerCase()
}
