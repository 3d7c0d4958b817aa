/** What one instance believes of the configuration, the replicas and the named weight versions, and how old that is. */
import type { Milliseconds } from '../common/index.js'
import type { CatalogListing, NamedWeightVersion, Replica, Revised, RoutingConfiguration } from './messages.js'
import { NEWS_MARGIN } from './readSchedule.js'
import { RouteTable } from './routeTable.js'

/** Settings of the catalog. */
export interface CatalogSettings {
  /** How long entries that lapsed while the store was away may take to return once it answers again. */
  returnGrace: Milliseconds
  /** Listings further apart than this leave open what happened between them. */
  longestGap: Milliseconds
}

/** A change of a belief, for the log and for those that depend on it. */
export type CatalogChange =
  | { kind: 'configuration', version: number, revision: number }
  | { kind: 'replica-added', replica: Replica }
  | { kind: 'replica-draining', replica: Replica }
  | { kind: 'replica-removed', replica: Replica, reason: 'unlisted' | 'restarted' }
  /** `namedAfter` is the earliest time at which it may have been named; -Infinity where that is not known. */
  | { kind: 'weight-version' | 'weight-version-dated', model: string, version: number, namedAfter: Milliseconds }

/** A version is forgotten once a newer one has been named for this long: longer than any bound that counts from a naming. */
const REPLACED_VERSIONS_KEPT: Milliseconds = 60_000
/** Ages are told for this long after a naming; by then an unknown age leads to the same decisions. */
const NAMING_NEWS: Milliseconds = 15_000

interface KnownReplica extends Revised<Replica> {
  /** Whether it was listed since the store was last away. */
  isConfirmed: boolean
}

interface NamedVersion extends Revised<number> {
  /** When it may have been named at the earliest: at the last listing that lacked it, here or at another instance. */
  namedAfter: Milliseconds
  /** When this instance learned of it: it was named by then at the latest. */
  knownSince: Milliseconds
}

/** Holds the beliefs. A higher revision of the store always wins, whoever told it; nothing goes back within one run. */
export class ServiceCatalog {
  private _configuration: Revised<RouteTable> | undefined
  private readonly _replicas = new Map<string, KnownReplica>()
  /** The last versions named of each model, the newest last. */
  private readonly _weightVersions = new Map<string, NamedVersion[]>()
  private _listedAt: Milliseconds = -Infinity
  private _graceUntil: Milliseconds = -Infinity
  private _byService = new Map<string, Replica[]>()
  private _hasKeptUnlisted = false

  constructor (private readonly _settings: CatalogSettings) {}

  /** The configuration in force; undefined until one is known. */
  get routes (): RouteTable | undefined {
    return this._configuration?.value
  }

  /** The store's revision of the configuration in force; 0 until one is known. */
  get configurationRevision (): number {
    return this._configuration?.revision ?? 0
  }

  /** When the store was last listed. */
  get listedAt (): Milliseconds {
    return this._listedAt
  }

  /** When another listing is needed to tell whether entries that lapsed with the store have returned; Infinity where none is. */
  get settlesAt (): Milliseconds {
    return this._hasKeptUnlisted ? this._graceUntil : Infinity
  }

  /** The replicas of a service that may get new requests. */
  usableReplicas (service: string): readonly Replica[] {
    return this._byService.get(service) ?? []
  }

  /** All known replicas. */
  get replicas (): Replica[] {
    return [...this._replicas.values()].map(({ value }) => value)
  }

  /** A replica by its id. */
  replica (id: string): Replica | undefined {
    return this._replicas.get(id)?.value
  }

  /** The named weight version of a model, and when it may have been named at the earliest. */
  namedVersion (model: string): { version: number, namedAfter: Milliseconds } | undefined {
    const named = this._weightVersions.get(model)?.at(-1)
    return named === undefined ? undefined : { version: named.value, namedAfter: named.namedAfter }
  }

  /**
   * The newest weight version of a model that may have been named at or before a time; a newer one does not lift what it
   * asks for.
   */
  versionNamedBefore (model: string, time: Milliseconds): number | undefined {
    return this._weightVersions.get(model)?.findLast(({ namedAfter }) => namedAfter <= time)?.value
  }

  /** The newest weight version of a model that was surely named at or before a time. */
  versionKnownBefore (model: string, time: Milliseconds): number | undefined {
    return this._weightVersions.get(model)?.findLast(({ knownSince }) => knownSince <= time)?.value
  }

  /** The models with a named weight version. */
  get namedModels (): string[] {
    return [...this._weightVersions.keys()]
  }

  /** Takes a complete listing by the store that was asked for at `askedAt`. */
  applyListing (listing: CatalogListing, askedAt: Milliseconds, now: Milliseconds): CatalogChange[] {
    if (now - this._listedAt > this._settings.longestGap) {
      this._graceUntil = now + this._settings.returnGrace
      for (const known of this._replicas.values()) known.isConfirmed = false
    }
    const changes = this._takeHigher(listing, this._listedAt, now)
    this._listedAt = askedAt
    const listed = new Set(listing.replicas.map(({ value }) => value.id))
    this._hasKeptUnlisted = false
    for (const [id, known] of this._replicas) {
      if (listed.has(id)) {
        known.isConfirmed = true
        continue
      }
      // An entry that was listed since the store's return did not lapse with it: its replica has left.
      if (!known.isConfirmed && now < this._graceUntil) {
        this._hasKeptUnlisted = true
        continue
      }
      this._replicas.delete(id)
      changes.push({ kind: 'replica-removed', replica: known.value, reason: 'unlisted' })
    }
    this._index()
    return changes
  }

  /** At `time` the store held nothing that is not in the last listing. */
  confirm (time: Milliseconds): void {
    if (Number.isFinite(this._listedAt)) this._listedAt = Math.max(this._listedAt, time)
  }

  /** Takes what another instance, asked at `askedAt`, knows: only what is newer, and no removals. */
  applyPeerListing (listing: CatalogListing, askedAt: Milliseconds, now: Milliseconds): CatalogChange[] {
    const changes = this._takeHigher(listing, this._listedAt, now)
    changes.push(...this._date(listing.weightVersions, askedAt, now))
    this._index()
    return changes
  }

  /** What to tell the other instances of versions named lately: one that has just started cannot know for how long they are. */
  recentNamings (now: Milliseconds): NamedWeightVersion[] {
    return [...this._weightVersions].flatMap(([model, versions]) => {
      const isRecent = now - (versions.at(-1)?.namedAfter ?? -Infinity) < NAMING_NEWS
      return isRecent ? versions.map(version => describeNaming(model, version, now)) : []
    })
  }

  /** Takes what another instance tells of versions named lately. */
  hearNamings (namings: readonly NamedWeightVersion[], now: Milliseconds): CatalogChange[] {
    return this._date(namings, now - NEWS_MARGIN, now)
  }

  /** An answer or a report of this run of the replica named its weight version, which is newer than its registration. */
  observeWeightVersion (replica: Replica, model: string, version: number): boolean {
    const known = this._replicas.get(replica.id)
    if (known === undefined || known.value.startedAt !== replica.startedAt) return false
    if ((known.value.weightVersions[model] ?? 0) >= version) return false
    known.value = { ...known.value, weightVersions: { ...known.value.weightVersions, [model]: version } }
    this._index()
    return true
  }

  /** What this instance tells one that starts without the store. */
  listing (now: Milliseconds): CatalogListing {
    const configuration = this._configuration
    return {
      configuration: configuration && { revision: configuration.revision, value: configuration.value.configuration },
      replicas: [...this._replicas.values()].map(({ revision, value }) => ({ revision, value })),
      weightVersions: [...this._weightVersions].flatMap(([model, versions]) => (
        versions.map(version => describeNaming(model, version, now))))
    }
  }

  /** @param namedAfter when versions that are new may have been named at the earliest */
  private _takeHigher (listing: CatalogListing, namedAfter: Milliseconds, now: Milliseconds): CatalogChange[] {
    const changes: CatalogChange[] = []
    this._takeConfiguration(listing.configuration, changes)
    for (const replica of listing.replicas) this._takeReplica(replica, changes)
    for (const { revision, value: { model, version } } of listing.weightVersions) {
      const known = this._weightVersions.get(model) ?? []
      if ((known.at(-1)?.value ?? 0) >= version) continue
      const versions = [...known, { revision, value: version, namedAfter, knownSince: now }]
      const inForce = versions.findLastIndex(named => named.namedAfter <= now - REPLACED_VERSIONS_KEPT)
      this._weightVersions.set(model, versions.slice(Math.max(0, inForce)))
      changes.push({ kind: 'weight-version', model, version, namedAfter })
    }
    return changes
  }

  /**
   * Takes the ages that another instance tells. Where the newest version is not the same, that instance may know nothing of
   * those before it, and the own bounds stay.
   * @param toldAt the earliest time at which the ages were told
   */
  private _date (namings: readonly NamedWeightVersion[], toldAt: Milliseconds, now: Milliseconds): CatalogChange[] {
    const changes: CatalogChange[] = []
    for (const [model, known] of this._weightVersions) {
      const told = namings.filter(({ value }) => value.model === model)
      if (told.at(-1)?.value.version !== known.at(-1)?.value) continue
      const versions = new Map(known.map(version => [version.value, version]))
      for (const { revision, value: { version }, age = Infinity } of told) {
        const own = versions.get(version) ?? { revision, value: version, namedAfter: -Infinity, knownSince: now }
        versions.set(version, { ...own, namedAfter: Math.max(toldAt - age, own.namedAfter) })
      }
      const newest = versions.get(known.at(-1)?.value ?? 0)
      if (newest !== undefined && newest.namedAfter !== known.at(-1)?.namedAfter) {
        changes.push({ kind: 'weight-version-dated', model, version: newest.value, namedAfter: newest.namedAfter })
      }
      this._weightVersions.set(model, [...versions.values()].sort((left, right) => left.value - right.value))
    }
    return changes
  }

  private _takeConfiguration (heard: Revised<RoutingConfiguration> | undefined, changes: CatalogChange[]): void {
    if (heard === undefined || heard.revision <= this.configurationRevision) return
    this._configuration = { revision: heard.revision, value: new RouteTable(heard.value) }
    changes.push({ kind: 'configuration', version: heard.value.version, revision: heard.revision })
  }

  private _takeReplica (heard: Revised<Replica>, changes: CatalogChange[]): void {
    const { id } = heard.value
    const known = this._replicas.get(id)
    if (known !== undefined && known.revision >= heard.revision) return
    const isRestarted = known !== undefined && known.value.startedAt !== heard.value.startedAt
    if (isRestarted) changes.push({ kind: 'replica-removed', replica: known.value, reason: 'restarted' })
    const value = known === undefined || isRestarted ? heard.value : withHigherVersions(heard.value, known.value.weightVersions)
    this._replicas.set(id, { revision: heard.revision, value, isConfirmed: false })
    if (known === undefined || isRestarted) changes.push({ kind: 'replica-added', replica: heard.value })
    if (heard.value.isDraining && !(known?.value.isDraining === true && !isRestarted)) {
      changes.push({ kind: 'replica-draining', replica: heard.value })
    }
  }

  private _index (): void {
    this._byService = new Map()
    for (const { value } of this._replicas.values()) {
      if (value.isDraining) continue
      const replicas = this._byService.get(value.service) ?? []
      replicas.push(value)
      this._byService.set(value.service, replicas)
    }
  }
}

/** A registration is written from time to time and may be older than what was observed; weights never go back in one run. */
function withHigherVersions (replica: Replica, observed: Replica['weightVersions']): Replica {
  const weightVersions = { ...replica.weightVersions }
  for (const [model, version] of Object.entries(observed)) {
    if (version > (weightVersions[model] ?? 0)) weightVersions[model] = version
  }
  return { ...replica, weightVersions }
}

function describeNaming (model: string, { revision, value, namedAfter }: NamedVersion, now: Milliseconds): NamedWeightVersion {
  const naming = { revision, value: { model, version: value } }
  return Number.isFinite(namedAfter) ? { ...naming, age: Math.ceil(now - namedAfter) } : naming
}
