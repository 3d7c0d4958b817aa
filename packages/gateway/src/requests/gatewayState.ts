/** State that is shared by the components of one gateway instance. */
import type {
  CachedParts, CatalogCurrency, CrashReport, RetryDelays, EngineSpeeds, FleetLoads, FleetRetryBudget, FrontDirectory,
  GracefulStop, LoadingReplicas, Milliseconds, PeerLinks, ReadSchedule, RepeatedCrashes, Replica, ReplicaHealth,
  ReplicaLimits, ReplicaNotices, SeededRandom, SentPrompts, ServerPace, ServiceCatalog, ServiceLinks, SoftwareVersions,
  StoredParts, StoreMirror, StreamOrigin, StreamOrigins, ColdReplicas
} from '@wasabihead/coordination'
import type { CallerGuard } from '@wasabihead/http'
import type { ChannelPool } from '../channels/index.js'
import type { CallerProtocol, ReplicaProtocol } from '../protocol/index.js'
import type { DecisionLog, GatewayMetrics } from '../telemetry/index.js'
import type { WaitQueues } from './waitQueues.js'

/** How long replicas with replaced weights still serve requests, from the earliest possible announcement of the new version. */
export interface OldWeightsSettings {
  /** After this time replicas with the new version are preferred. */
  avoidAfter: Milliseconds
  /** After this time only replicas with the new version get requests. */
  excludeAfter: Milliseconds
}

/** Observed state of the fleet, connections, protocols, clocks and telemetry of one instance. */
export interface GatewayState {
  catalog: ServiceCatalog
  mirror: StoreMirror
  readSchedule: ReadSchedule
  catalogCurrency: CatalogCurrency
  fronts: FrontDirectory
  loads: FleetLoads
  loadingReplicas: LoadingReplicas
  sentPrompts: SentPrompts
  storedParts: StoredParts
  health: ReplicaHealth
  notices: ReplicaNotices
  links: ServiceLinks
  peerLinks: PeerLinks
  replicaLimits: ReplicaLimits
  coldReplicas: ColdReplicas
  retryDelays: RetryDelays
  /** Absent where requests wait with a timer each, as they do unless the settings require the queue. */
  waitQueues?: WaitQueues | undefined
  serverPace: ServerPace
  speeds: EngineSpeeds
  cachedParts: CachedParts
  retryBudget: FleetRetryBudget
  gracefulStop: GracefulStop
  crashes: RepeatedCrashes
  softwareVersions: SoftwareVersions
  streamOrigins: StreamOrigins
  /** Asks other instances where a stream began: `unknown` if they don't know, `unanswered` if one of them did not answer. */
  requestStreamOrigin: (requestId: string) => Promise<StreamOrigin | 'unknown' | 'unanswered'>
  /** This instance passed on the first event of a stream that can be taken up. */
  onStreamBegan: () => void
  /** The software version of streams that this instance began is not known any more. */
  onStreamsAmbiguous: () => void
  /** A connection to a replica ended during a request, so that the replica may have crashed. */
  onReplicaLost: (replica: Replica, report: CrashReport) => void
  /** Bounds what connections of callers hold, at all addresses of this process. */
  callerGuard: CallerGuard
  channels: ChannelPool
  callerProtocol: CallerProtocol
  replicaProtocol: ReplicaProtocol
  log: DecisionLog
  metrics: GatewayMetrics
  zone: string
  oldWeights: OldWeightsSettings
  /** Whether replicas of all services have a pace after their start. */
  isPaceForAllServices: boolean
  /** Monotonic clock; may stand still while the machine is suspended. */
  now: () => Milliseconds
  /** Monotonic clock that counts suspensions of the machine: for the age of reports by others, whose time went on meanwhile. */
  suspensionAwareNow: () => Milliseconds
  random: SeededRandom
}
