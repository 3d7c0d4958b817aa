/** One instance's copy of the configuration, the replicas and the announced weight versions, and how old it is. */
import type { Milliseconds } from '../common/index.js'
import { NO_ERA } from '../platform/index.js'
import { Evacuations } from './evacuations.js'
import type { CatalogListing, AnnouncedWeightVersion, Replica, Revised, RoutingConfiguration } from './messages.js'
import { MESSAGE_DELAY_MARGIN } from './readSchedule.js'
import { RemovedReplicas } from './removedReplicas.js'
import { RouteTable } from './routeTable.js'

/** Settings of the catalog. */
export interface CatalogSettings {
  /** After an outage of the store, how long entries that expired meanwhile have for registering again. */
  returnGrace: Milliseconds
  /** Listings further apart than this count as an outage of the store, during which registrations may have expired. */
  longestGap: Milliseconds
}

/** A change of the catalog, for the log and for dependent components. */
export type CatalogChange =
  | { kind: 'configuration', version: number, revision: number, isSharingChanged: boolean }
  | { kind: 'replica-added', replica: Replica }
  | { kind: 'replica-draining', replica: Replica }
  | { kind: 'replica-removed', replica: Replica, reason: 'unlisted' }
  /** `registeredUntil` is the last time at which the run that has ended was certainly the registered one. */
  | { kind: 'replica-removed', replica: Replica, reason: 'restarted', successor: Replica, registeredUntil: Milliseconds }
  /** A run that was removed as unlisted is followed by another one under its id. */
  | { kind: 'replica-replaced', replica: Replica, successor: Replica, registeredUntil: Milliseconds }
  | { kind: 'data-centre-evacuated' | 'data-centre-restored', zone: string }
  /** `announcedAfter` is the earliest possible time of the announcement; -Infinity where it is not known. */
  | { kind: 'weight-version' | 'weight-version-dated', model: string, version: number, announcedAfter: Milliseconds }

/** A replaced version is retained this long after its successor's announcement, beyond every bound that counts from it. */
const REPLACED_VERSION_RETENTION: Milliseconds = 60_000
/** The age of an announcement is sent to peers for this long; beyond it, an unknown age leads to the same decisions. */
const ANNOUNCEMENT_GOSSIP_DURATION: Milliseconds = 15_000

/** Streams of a run may be taken up for this long after it was removed. */
const UNLISTED_RETENTION: Milliseconds = 3_600_000

interface KnownReplica extends Revised<Replica> {
  /** Whether it has been listed since the last outage of the store. */
  isConfirmed: boolean
  /** When the store last certainly listed it; undefined if the last listing did. */
  listedUntil: Milliseconds | undefined
}

/** A run that was removed because it was not listed any more. */
interface UnlistedRun {
  replica: Replica
  listedUntil: Milliseconds
  at: Milliseconds
}

interface ConfigurationInForce extends Revised<RouteTable> {
  /** Whether it was certainly written after the one before it, so that none of an earlier era can follow it. */
  isLaterWrite: boolean
}

interface AnnouncedVersion extends Revised<number> {
  /** Earliest possible time of the announcement: the last listing without it, at this instance or a peer. */
  announcedAfter: Milliseconds
  /** When this instance learned of the version: the latest possible time of the announcement. */
  knownSince: Milliseconds
}

/**
 * The catalog of one instance, from the store's listings and from peers. Within an era of the store the higher revision always
 * wins, whatever its source, so that no entry goes back to an older state within one run. In a later era the store may hold an
 * older copy: what cannot be true any more is ignored until it is written again.
 */
export class ServiceCatalog {
  private _configuration: ConfigurationInForce | undefined
  /** The configuration of an older copy of the store that is not put in force again: its era and revision there. */
  private _passedOver: { era: number, revision: number } | undefined
  private _sharingSince: Milliseconds = -Infinity
  private readonly _replicas = new Map<string, KnownReplica>()
  private readonly _removed: RemovedReplicas
  private readonly _evacuations = new Evacuations()
  /** The last run of each replica that is not registered any more, by id. */
  private readonly _unlisted = new Map<string, UnlistedRun>()
  /** The latest announced versions of each model, newest last. */
  private readonly _weightVersions = new Map<string, AnnouncedVersion[]>()
  private _listedAt: Milliseconds = -Infinity
  private _listedEra: number | undefined
  private _graceUntil: Milliseconds = -Infinity
  private _byService = new Map<string, Replica[]>()
  private _hasRetainedUnlisted = false

  constructor (private readonly _settings: CatalogSettings) {
    this._removed = new RemovedReplicas(_settings.returnGrace + _settings.longestGap)
  }

  /** The configuration in force; undefined until one is known. */
  get routes (): RouteTable | undefined {
    return this._configuration?.value
  }

  /** The store's revision of the configuration in force; 0 until one is known. */
  get configurationRevision (): number {
    return this._configuration?.revision ?? 0
  }

  /** The era of the store in which that revision was given out. */
  get configurationEra (): number {
    return this._configuration?.era ?? NO_ERA
  }

  /** Since when this instance has known a configuration with the sharing groups that are in use. */
  get sharingSince (): Milliseconds {
    return this._sharingSince
  }

  /** Whether another instance's configuration is newer than the one in force here. */
  isConfigurationBehind (era: number | undefined, revision: number): boolean {
    if (era === undefined || era === this.configurationEra) return revision > this.configurationRevision
    return era > this.configurationEra
  }

  /** The latest time at which the catalog is known to have matched the store. */
  get listedAt (): Milliseconds {
    return this._listedAt
  }

  /** When another listing is needed to decide on entries that expired during an outage of the store; Infinity where none is. */
  get recheckAt (): Milliseconds {
    return Math.min(this._hasRetainedUnlisted ? this._graceUntil : Infinity, this._removed.recheckAt)
  }

  /** The replicas of a service that may receive new requests. */
  usableReplicas (service: string): readonly Replica[] {
    return this._byService.get(service) ?? []
  }

  /** Whether operators have evacuated a data centre, so that nothing more is sent to its replicas. */
  isEvacuated (zone: string): boolean {
    return this._evacuations.has(zone)
  }

  /** The evacuated data centres. */
  get evacuatedZones (): string[] {
    return this._evacuations.entries.map(({ value }) => value)
  }

  /** All known replicas, draining ones included. */
  get replicas (): Replica[] {
    return [...this._replicas.values()].map(({ value }) => value)
  }

  replica (id: string): Replica | undefined {
    return this._replicas.get(id)?.value
  }

  /** Until when a run was certainly the registered one; undefined if another one has replaced it, or it is not known any more. */
  registeredUntil ({ id, startedAt }: Pick<Replica, 'id' | 'startedAt'>): Milliseconds | undefined {
    const known = this._replicas.get(id)
    if (known?.value.startedAt === startedAt) return known.isConfirmed ? this._listedAt : this._certainUntil(known)
    const unlisted = this._unlisted.get(id)
    return unlisted?.replica.startedAt === startedAt ? this._certainUntil(unlisted) : undefined
  }

  /** Whether the entry of a replica has expired and no run has registered under its id since. */
  hasExpired (id: string): boolean {
    return this._unlisted.has(id)
  }

  /** The newest announced weight version of a model, and the earliest possible time of its announcement. */
  announcedVersion (model: string): { version: number, announcedAfter: Milliseconds } | undefined {
    const named = this._weightVersions.get(model)?.at(-1)
    return named === undefined ? undefined : { version: named.value, announcedAfter: named.announcedAfter }
  }

  /**
   * The newest weight version of a model that may have been announced at or before a time. It stays required after newer
   * versions are announced.
   */
  versionPossiblyAnnouncedBy (model: string, time: Milliseconds): number | undefined {
    return this._weightVersions.get(model)?.findLast(({ announcedAfter }) => announcedAfter <= time)?.value
  }

  /** The newest weight version of a model that was certainly announced at or before a time. */
  versionCertainlyAnnouncedBy (model: string, time: Milliseconds): number | undefined {
    return this._weightVersions.get(model)?.findLast(({ knownSince }) => knownSince <= time)?.value
  }

  /** The models with an announced weight version. */
  get announcedModels (): string[] {
    return [...this._weightVersions.keys()]
  }

  /** Applies a complete listing of the store that was requested at `askedAt`, and removes unlisted replicas. */
  applyListing (listing: CatalogListing, askedAt: Milliseconds, now: Milliseconds): CatalogChange[] {
    const era = listing.era ?? NO_ERA
    const isReturned = this._listedEra !== undefined && era !== this._listedEra
    this._listedEra = era
    if (isReturned || now - this._listedAt > this._settings.longestGap) {
      this._graceUntil = now + this._settings.returnGrace
      for (const known of this._replicas.values()) known.isConfirmed = false
    }
    const changes = this._applyNewer(listing, this._listedAt, now)
    const listedBefore = this._listedAt
    this._listedAt = askedAt
    const listed = new Set(listing.replicas.map(({ value }) => value.id))
    this._hasRetainedUnlisted = false
    for (const [id, known] of this._replicas) {
      if (listed.has(id)) {
        known.isConfirmed = true
        known.listedUntil = undefined
        continue
      }
      known.listedUntil ??= listedBefore
      // An entry that has been listed since the outage did not expire because of it: its replica has left.
      if (!known.isConfirmed && now < this._graceUntil) {
        this._hasRetainedUnlisted = true
        continue
      }
      this._replicas.delete(id)
      this._removed.add(known.value, era, now)
      this._unlisted.set(id, { replica: known.value, listedUntil: known.listedUntil, at: now })
      changes.push({ kind: 'replica-removed', replica: known.value, reason: 'unlisted' })
    }
    this._removed.retain(listed, now)
    if (listing.evacuations !== undefined) {
      const { evacuated, restored } = this._evacuations.applyListing(listing.evacuations, era)
      changes.push(...evacuationChanges('data-centre-evacuated', evacuated), ...evacuationChanges('data-centre-restored', restored))
    }
    for (const [id, { at }] of this._unlisted) if (now - at > UNLISTED_RETENTION) this._unlisted.delete(id)
    this._rebuildServiceIndex()
    return changes
  }

  /** Records that at `time` the store held nothing that is not in the last listing. */
  confirm (time: Milliseconds): void {
    if (Number.isFinite(this._listedAt)) this._listedAt = Math.max(this._listedAt, time)
  }

  /** Applies the newer entries of a peer's catalog that was requested at `askedAt`; it removes nothing. */
  applyPeerListing (listing: CatalogListing, askedAt: Milliseconds, now: Milliseconds): CatalogChange[] {
    const changes = this._applyNewer(listing, this._listedAt, now)
    changes.push(...this._applyAnnouncementAges(listing.weightVersions, askedAt, now))
    const evacuated = this._evacuations.applyPeerListing(listing.evacuations ?? [])
    changes.push(...evacuationChanges('data-centre-evacuated', evacuated))
    this._rebuildServiceIndex()
    return changes
  }

  /** The recently announced versions, to send to peers: an instance that has just started cannot know their ages. */
  recentAnnouncements (now: Milliseconds): AnnouncedWeightVersion[] {
    return [...this._weightVersions].flatMap(([model, versions]) => {
      const isRecent = now - (versions.at(-1)?.announcedAfter ?? -Infinity) < ANNOUNCEMENT_GOSSIP_DURATION
      return isRecent ? versions.map(version => toAnnouncement(model, version, now)) : []
    })
  }

  /** Applies the ages of recently announced versions that a peer has sent. */
  applyPeerAnnouncements (namings: readonly AnnouncedWeightVersion[], now: Milliseconds): CatalogChange[] {
    return this._applyAnnouncementAges(namings, now - MESSAGE_DELAY_MARGIN, now)
  }

  /**
   * Records the weight version that an answer or a report of this run of the replica has shown, which may be newer than its
   * registration. Returns whether it was.
   */
  observeWeightVersion (replica: Replica, model: string, version: number): boolean {
    const known = this._replicas.get(replica.id)
    if (known === undefined || known.value.startedAt !== replica.startedAt) return false
    if ((known.value.weightVersions[model] ?? 0) >= version) return false
    known.value = { ...known.value, weightVersions: { ...known.value.weightVersions, [model]: version } }
    this._rebuildServiceIndex()
    return true
  }

  /** The whole catalog, to send to an instance that starts while it cannot read the store. */
  listing (now: Milliseconds): CatalogListing {
    const configuration = this._configuration
    return {
      configuration: configuration && {
        era: configuration.era, revision: configuration.revision, value: configuration.value.configuration
      },
      replicas: [...this._replicas.values()].map(({ era, revision, value }) => ({ era, revision, value })),
      weightVersions: [...this._weightVersions].flatMap(([model, versions]) => (
        versions.map(version => toAnnouncement(model, version, now)))),
      ...(this.evacuatedZones.length > 0 ? { evacuations: this._evacuations.entries } : {})
    }
  }

  /** @param announcedAfter time of the last listing, after which what is new here was written */
  private _applyNewer (listing: CatalogListing, announcedAfter: Milliseconds, now: Milliseconds): CatalogChange[] {
    const changes: CatalogChange[] = []
    this._applyConfiguration(listing.configuration, changes, now)
    for (const replica of listing.replicas) this._applyReplica(replica, changes, now)
    for (const { revision, value: { model, version } } of listing.weightVersions) {
      const known = this._weightVersions.get(model) ?? []
      if ((known.at(-1)?.value ?? 0) >= version) continue
      const versions = [...known, { revision, value: version, announcedAfter, knownSince: now }]
      const inForce = versions.findLastIndex(named => named.announcedAfter <= now - REPLACED_VERSION_RETENTION)
      this._weightVersions.set(model, versions.slice(Math.max(0, inForce)))
      changes.push({ kind: 'weight-version', model, version, announcedAfter })
    }
    return changes
  }

  /**
   * Applies the ages that a peer has reported. Where its newest version is another one, the peer may lack the versions before
   * it, so its ages are ignored.
   * @param reportedAt the earliest time at which the peer may have reported the ages
   */
  private _applyAnnouncementAges (
    namings: readonly AnnouncedWeightVersion[], reportedAt: Milliseconds, now: Milliseconds
  ): CatalogChange[] {
    const changes: CatalogChange[] = []
    for (const [model, known] of this._weightVersions) {
      const reported = namings.filter(({ value }) => value.model === model)
      if (reported.at(-1)?.value.version !== known.at(-1)?.value) continue
      const versions = new Map(known.map(version => [version.value, version]))
      for (const { revision, value: { version }, age = Infinity } of reported) {
        const own = versions.get(version) ?? { revision, value: version, announcedAfter: -Infinity, knownSince: now }
        // A delayed message makes the bound later. A known bound stays, since such delays would add up from peer to peer.
        if (Number.isFinite(own.announcedAfter)) continue
        versions.set(version, { ...own, announcedAfter: reportedAt - age })
      }
      const newest = versions.get(known.at(-1)?.value ?? 0)
      if (newest !== undefined && newest.announcedAfter !== known.at(-1)?.announcedAfter) {
        changes.push({ kind: 'weight-version-dated', model, version: newest.value, announcedAfter: newest.announcedAfter })
      }
      this._weightVersions.set(model, [...versions.values()].sort((left, right) => left.value - right.value))
    }
    return changes
  }

  private _applyConfiguration (
    received: Revised<RoutingConfiguration> | undefined, changes: CatalogChange[], now: Milliseconds
  ): void {
    if (received === undefined) return
    const isLaterWrite = this._isLaterWrite(received)
    if (!isLaterWrite && !this._isLaterVersion(received)) {
      const { era = NO_ERA, revision } = received
      if (era > this.configurationEra) this._passedOver = { era, revision }
      return
    }
    const value = new RouteTable(received.value)
    const isSharingChanged = value.sharing.shared !== this.routes?.sharing.shared
    if (isSharingChanged) this._sharingSince = now
    this._configuration = { era: received.era, revision: received.revision, value, isLaterWrite }
    changes.push({ kind: 'configuration', version: received.value.version, revision: received.revision, isSharingChanged })
  }

  /** Whether the configuration was certainly written after the one in force, whatever its version is. */
  private _isLaterWrite ({ era = NO_ERA, revision }: Revised<RoutingConfiguration>): boolean {
    const known = this._configuration
    if (known === undefined || era < this.configurationEra) return false
    // An older copy of the store holds no later revision; nor does the first listing of an era, of what is written after it.
    return revision > known.revision || (this._passedOver?.era === era && revision > this._passedOver.revision)
  }

  /** Revisions of two eras cannot be compared; the operator's version shows which configuration was accepted later. */
  private _isLaterVersion ({ era = NO_ERA, value: { version } }: Revised<RoutingConfiguration>): boolean {
    const known = this._configuration
    if (known === undefined) return true
    if (era === this.configurationEra || (era < this.configurationEra && known.isLaterWrite)) return false
    const knownVersion = known.value.configuration.version
    return version === knownVersion ? era > this.configurationEra : version > knownVersion
  }

  private _applyReplica (entry: Revised<Replica>, changes: CatalogChange[], now: Milliseconds): void {
    const { id } = entry.value
    const known = this._replicas.get(id)
    const received = known === undefined ? entry : withoutReturn(entry, known)
    if (known === undefined ? this._removed.isCopy(entry, now) : !isNewerReplica(received, known)) return
    const isRestarted = known !== undefined && known.value.startedAt !== received.value.startedAt
    if (isRestarted) {
      const registeredUntil = this.registeredUntil(known.value) ?? -Infinity
      changes.push({
        kind: 'replica-removed', replica: known.value, reason: 'restarted', successor: received.value, registeredUntil
      })
    }
    const unlisted = known === undefined ? this._unlisted.get(id) : undefined
    const isReplaced = unlisted !== undefined && unlisted.replica.startedAt !== received.value.startedAt
    if (isReplaced) {
      const { replica } = unlisted
      changes.push({ kind: 'replica-replaced', replica, successor: received.value, registeredUntil: this._certainUntil(unlisted) })
    }
    const value = known === undefined || isRestarted
      ? received.value
      : withHigherVersions(received.value, known.value.weightVersions)
    this._removed.delete(id)
    this._unlisted.delete(id)
    // An entry of the run before, which a peer still had, is not listed again by that.
    const listedUntil = isReplaced || isRestarted ? undefined : unlisted?.listedUntil ?? known?.listedUntil
    this._replicas.set(id, { era: received.era, revision: received.revision, value, isConfirmed: false, listedUntil })
    if (known === undefined || isRestarted) changes.push({ kind: 'replica-added', replica: received.value })
    if (received.value.isDraining && !(known?.value.isDraining === true && !isRestarted)) {
      changes.push({ kind: 'replica-draining', replica: received.value })
    }
  }

  /** An entry that has expired, or may have, was written by its run for the last time up to a lifetime earlier. */
  private _certainUntil ({ listedUntil = this._listedAt }: Pick<KnownReplica, 'listedUntil'>): Milliseconds {
    return listedUntil - this._settings.longestGap
  }

  private _rebuildServiceIndex (): void {
    this._byService = new Map()
    for (const { value } of this._replicas.values()) {
      if (value.isDraining) continue
      const replicas = this._byService.get(value.service) ?? []
      replicas.push(value)
      this._byService.set(value.service, replicas)
    }
  }
}

function evacuationChanges (
  kind: 'data-centre-evacuated' | 'data-centre-restored', zones: readonly string[]
): CatalogChange[] {
  return zones.map(zone => ({ kind, zone }))
}

function isNewerReplica (received: Revised<Replica>, known: Revised<Replica>): boolean {
  const [era, knownEra] = [received.era ?? NO_ERA, known.era ?? NO_ERA]
  if (era === knownEra) return received.revision > known.revision
  // An older copy may have the run before the one that is known.
  return era > knownEra && received.value.startedAt >= known.value.startedAt
}

/** An older copy may have a draining run as it was before; it does not accept requests again. */
function withoutReturn (received: Revised<Replica>, known: Revised<Replica>): Revised<Replica> {
  const isSameRun = received.value.startedAt === known.value.startedAt
  if ((received.era ?? NO_ERA) === (known.era ?? NO_ERA) || !isSameRun || !known.value.isDraining) return received
  return { ...received, value: { ...received.value, isDraining: true } }
}

/** Registrations are written periodically and may lag behind observed versions; versions never go back within one run. */
function withHigherVersions (replica: Replica, observed: Replica['weightVersions']): Replica {
  const weightVersions = { ...replica.weightVersions }
  for (const [model, version] of Object.entries(observed)) {
    if (version > (weightVersions[model] ?? 0)) weightVersions[model] = version
  }
  return { ...replica, weightVersions }
}

function toAnnouncement (
  model: string, { revision, value, announcedAfter }: AnnouncedVersion, now: Milliseconds
): AnnouncedWeightVersion {
  const announcement = { revision, value: { model, version: value } }
  return Number.isFinite(announcedAfter) ? { ...announcement, age: Math.ceil(now - announcedAfter) } : announcement
}
