/** Decides which cache spaces no request uses any more, so that stores that evict nothing may free their parts. */
import type { Milliseconds } from '../common/index.js'
import type { ServiceCatalog } from '../catalog/index.js'
import type { FrontRecord } from '../fronts/index.js'
import { spaceOf } from './salts.js'

/** Settings of the decision. */
export interface StaleSpaceSettings {
  /** How long after the latest possible change parts are freed; every instance in touch knows of it, and no fetch is left. */
  freeAfter: Milliseconds
}

/**
 * A call that frees parts may be executed until this long after the catalog was known to match the store. It is shorter than the
 * pause of fetches after a change of the sharing groups, since a later configuration may use a group again.
 */
const FREE_WINDOW: Milliseconds = 1_000

/** The judgement of one instance, by its catalog. Times are those of the catalog's clock. Salts of others are never stale. */
export class StaleSpaces {
  constructor (private readonly _catalog: ServiceCatalog, private readonly _settings: StaleSpaceSettings) {}

  /** The latest time at which parts of a group that is not used now may be freed. */
  get freeUntil (): Milliseconds {
    return this._catalog.listedAt + FREE_WINDOW
  }

  /** Whether a newer version was announced long enough ago and every replica of the model has loaded it. */
  hasReplacedWeights (salt: string, now: Milliseconds): boolean {
    const space = spaceOf(salt)
    if (space === undefined) return false
    const { model, weightVersion } = space
    const required = this._catalog.versionCertainlyAnnouncedBy(model, now - this._settings.freeAfter)
    if (required === undefined || weightVersion >= required) return false
    return this._catalog.replicas.every(({ weightVersions }) => (weightVersions[model] ?? required) >= required)
  }

  /**
   * Whether the workspaces that share have been other ones for long enough.
   * @param peers the other instances; one of an older build goes on with the groups that it knows
   */
  hasUnusedGroup (salt: string, peers: readonly FrontRecord[], now: Milliseconds): boolean {
    const { routes, sharingSince } = this._catalog
    const group = spaceOf(salt)?.group
    if (group === undefined || routes === undefined || routes.sharing.isInUse(group)) return false
    const isSettled = now - sharingSince >= this._settings.freeAfter && now <= this.freeUntil
    return isSettled && peers.every(({ knowsSharingGroups = false }) => knowsSharingGroups)
  }
}
