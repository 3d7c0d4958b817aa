/** Which workspaces share cached parts of prompts under one configuration, and the names of their groups. */
import { contentDigest } from '../common/index.js'
import type { WorkspaceAccess } from './messages.js'

/** Group of the workspaces that share where none is isolated. */
const ALL_SHARE = ''
/** Begins names that are not those of a workspace, in which it is encoded. */
const RESERVED_PREFIX = '@'
const DIGEST_LENGTH = 20

/** A workspace as far as it decides who shares. */
export type SharingWorkspace = Pick<WorkspaceAccess, 'name' | 'isIsolated'>

/**
 * The sharing groups of one configuration. An isolated workspace has a group of its own, named after it. All others share one
 * group, named after the set of isolated workspaces. So a group has only members that were not isolated under any configuration
 * that uses it, in whatever order configurations follow each other, and instances agree on names without any other state: a part
 * of a shared group was left by a workspace outside the set that names the group, and is found only under configurations with
 * the same set.
 */
export class SharingGroups {
  /** Group of the workspaces that are not isolated, and of requests without a workspace. */
  readonly shared: string
  private readonly _groups = new Map<string, string>()
  private readonly _inUse: ReadonlySet<string>

  /** @param workspaces those of the configuration; of several entries with one name, one that is isolated decides */
  constructor (workspaces: readonly SharingWorkspace[] = []) {
    const isolated = new Set(workspaces.filter(({ isIsolated }) => isIsolated).map(({ name }) => name))
    this.shared = isolated.size === 0 ? ALL_SHARE : groupWithout(isolated)
    for (const { name } of workspaces) this._groups.set(name, isolated.has(name) ? ownGroupOf(name) : this.shared)
    this._inUse = new Set([this.shared, ...this._groups.values()])
  }

  /**
   * The group whose parts a request may use and adds to.
   * @param workspace name of the request's workspace; undefined if it has none. One that the configuration does not have, since
   * it was removed after the request arrived, shares nothing.
   */
  groupOf (workspace: string | undefined): string {
    return workspace === undefined ? this.shared : this._groups.get(workspace) ?? ownGroupOf(workspace)
  }

  /** Whether requests use a group under this configuration. */
  isInUse (group: string): boolean {
    return this._inUse.has(group)
  }
}

function groupWithout (isolated: ReadonlySet<string>): string {
  return RESERVED_PREFIX + contentDigest(JSON.stringify([...isolated].sort())).slice(0, DIGEST_LENGTH)
}

/** The name in characters that a header may have; escaped as in JSON first, since it may not be well-formed text. */
function ownGroupOf (workspace: string): string {
  return workspace === '' ? RESERVED_PREFIX : encodeURIComponent(JSON.stringify(workspace).slice(1, -1))
}
