export {
  cacheStoreSchema, callerLimitsSchema, catalogListingSchema, engineSchema, namedWeightVersionSchema, replicaSchema,
  requestKindSchema, routeSchema, routeTargetSchema, routingConfigurationSchema, serviceSchema, workspaceSchema,
  type CacheStoreDescription, type CallerLimits, type CatalogListing, type Engine, type NamedWeightVersion, type Replica,
  type RequestKind, type Revised, type Route, type RouteTarget, type RoutingConfiguration, type ServiceDescription,
  type WorkspaceAccess
} from './messages.js'
export { RouteTable, type RouteMatch, type RouteRefusal } from './routeTable.js'
export { ChangeLog, toldChangesSchema, type ToldChanges } from './changeLog.js'
export { ServiceCatalog, type CatalogChange, type CatalogSettings } from './serviceCatalog.js'
export { catalogNewsSchema, NEWS_MARGIN, ReadSchedule, type CatalogNews, type NewsVerdict, type ReadScheduleSettings } from './readSchedule.js'
export { StoreMirror, type StoreChange, type StoreChanges, type StoreSnapshot } from './storeMirror.js'
