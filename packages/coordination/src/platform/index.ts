export {
  ModelEngine, PlainService,
  type CacheEvent, type CacheEventBatch, type CacheSnapshot, type EngineOrder, type EnginePart, type EngineRequest,
  type EngineState, type LoadReport, type ServiceAnswer, type ServiceCall, type StoredBlock
} from './backendServer.js'
export {
  PlatformAmbiguousError, PlatformRefusedError, WeightVersionRefusedError, type PlatformError
} from './errors.js'
export {
  ABSENT_REVISION, KeyValueService, NO_ERA,
  type CompareAndSwap, type CompareAndSwapOutcome, type KeyState, type VersionedValue, type Watch
} from './keyValueService.js'
export { StoreEra, type EraVerdict } from './storeEra.js'
export { CacheStore, HostList, WeightStore, type ListedHost } from './stores.js'
