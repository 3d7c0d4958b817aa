/** What the parts of one gateway share. */
import type {
  CachedParts, RetryDelays, EngineSpeeds, FleetLoads, FleetRetryBudget, FrontDirectory, LoadingReplicas, Milliseconds,
  ReadSchedule, RepeatedCrashes, ReplicaHealth, ReplicaLimits, ReplicaNotices, SeededRandom, SentPrompts, ServiceCatalog,
  StoredParts, StoreMirror
} from '@wasabihead/coordination'
import type { ChannelPool } from '../channels/index.js'
import type { CallerProtocol, ReplicaProtocol } from '../protocol/index.js'
import type { DecisionLog, GatewayMetrics } from '../telemetry/index.js'

/** How requests treat replicas whose weights were replaced. Times count from when the new version was first seen. */
export interface OldWeightsSettings {
  /** From then on replicas with the new version are preferred. */
  avoidAfter: Milliseconds
  /** From then on only they get requests. */
  excludeAfter: Milliseconds
}

/** Beliefs, connections and tools. */
export interface GatewayState {
  catalog: ServiceCatalog
  mirror: StoreMirror
  readSchedule: ReadSchedule
  fronts: FrontDirectory
  loads: FleetLoads
  loading: LoadingReplicas
  sentPrompts: SentPrompts
  storedParts: StoredParts
  health: ReplicaHealth
  notices: ReplicaNotices
  limits: ReplicaLimits
  comeBackTimes: RetryDelays
  speeds: EngineSpeeds
  cachedParts: CachedParts
  retryBudget: FleetRetryBudget
  crashes: RepeatedCrashes
  channels: ChannelPool
  callerProtocol: CallerProtocol
  replicaProtocol: ReplicaProtocol
  log: DecisionLog
  metrics: GatewayMetrics
  zone: string
  oldWeights: OldWeightsSettings
  now: () => Milliseconds
  /** Counts suspensions of the machine: for the age of what was told by others, whose time went on. */
  beliefNow: () => Milliseconds
  random: SeededRandom
}
