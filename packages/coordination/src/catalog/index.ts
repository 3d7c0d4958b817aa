export {
  cacheStoreSchema, callerLimitsSchema, catalogListingSchema, engineSchema, announcedWeightVersionSchema, replicaSchema,
  requestKindSchema, routeSchema, routeTargetSchema, routingConfigurationSchema, serviceSchema, workspaceSchema,
  type CacheStoreDescription, type CallerLimits, type CatalogListing, type Engine, type AnnouncedWeightVersion, type Replica,
  type RequestKind, type Revised, type Route, type RouteTarget, type RoutingConfiguration, type ServiceDescription,
  type WorkspaceAccess
} from './messages.js'
export { CatalogCurrency, type CatalogCurrencySettings } from './catalogCurrency.js'
export { RouteTable, type RouteMatch, type RouteRefusal } from './routeTable.js'
export { SharingGroups, type SharingWorkspace } from './sharingGroups.js'
export { ChangeLog, peerChangesSchema, type PeerChanges } from './changeLog.js'
export { Evacuations, type EvacuationChanges } from './evacuations.js'
export { ServiceCatalog, type CatalogChange, type CatalogSettings } from './serviceCatalog.js'
export {
  catalogStatusSchema, MESSAGE_DELAY_MARGIN, ReadSchedule, type CatalogStatus, type StatusVerdict,
  type ReadRequest, type ReadScheduleSettings
} from './readSchedule.js'
export { StoreMirror, type StoreChange, type StoreChanges, type StoreSnapshot } from './storeMirror.js'
