/** Settings of one gateway instance. Durations are milliseconds. */
import type {
  CatalogCurrencySettings, CatalogSettings, FleetRetryBudgetSettings, FrontDirectorySettings, FrontRecord, GracefulStopSettings,
  MachineSize, ReadScheduleSettings
} from '@wasabihead/coordination'
import type { CallerGuardSettings } from '@wasabihead/http'
import type { CatalogLoopSettings, RegistrationSettings } from '../catalog/index.js'
import type { ChannelPoolSettings } from '../channels/index.js'
import type { HeartbeatSettings } from '../peers/index.js'
import type { OldWeightsSettings } from '../requests/index.js'
import type { RolloutLoopSettings } from '../rollout/index.js'
import type { StoreCollectorSettings, StoreFollowerSettings } from '../stores/index.js'
import type { DecisionLogSettings } from '../telemetry/index.js'

/** Settings of one gateway instance. */
export interface GatewaySettings {
  self: Omit<FrontRecord, 'isLeaving'>
  /** Size of the machine, by which instances of a large fleet are ranked. */
  machine?: MachineSize | undefined
  listen: { front: string, readiness: string, control: string, directory: string, metrics: string }
  /** Control addresses of other instances, which may be stale. */
  seeds: readonly string[]
  catalog: CatalogSettings
  catalogLoop: CatalogLoopSettings
  readSchedule: ReadScheduleSettings
  catalogCurrency: CatalogCurrencySettings
  directory: FrontDirectorySettings
  registration: Omit<RegistrationSettings, 'key'>
  /** Its lease outlives the process, since hosts that are disconnected still count. */
  hostRegistration: Omit<RegistrationSettings, 'key'>
  heartbeats: HeartbeatSettings
  callers: CallerGuardSettings
  channels: ChannelPoolSettings
  retryBudget: FleetRetryBudgetSettings
  /** Whether replicas of all services have a pace after their start; otherwise only those of services that are cold at first. */
  isPaceForAllServices: boolean
  /** Whether the whole fleet starts for the first time. */
  isFirstRun: boolean
  oldWeights: OldWeightsSettings
  storeFollower: StoreFollowerSettings
  storeCollector: StoreCollectorSettings
  rollout: Omit<RolloutLoopSettings, 'roleKey'>
  gracefulStop: GracefulStopSettings
  /** Whether requests that find no room wait in one queue for each service, and placement learns from answers. */
  hasWaitQueue: boolean
  log: Omit<DecisionLogSettings, 'host'>
}
