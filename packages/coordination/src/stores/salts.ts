/** Salts: names of the spaces in which prompt parts are cached. A request never finds a part of another space. */

/** What separates one cache space from another. */
export interface CacheSpace {
  /** Name of the isolated workspace; empty for all workspaces that share their cached parts. */
  workspace: string
  model: string
  weightVersion: number
}

/** The salt of a space. */
export function saltOf ({ workspace, model, weightVersion }: CacheSpace): string {
  return [workspace, model, String(weightVersion)].map(encodeURIComponent).join('/')
}

/** The space of a salt; undefined for a string that is not a salt of this system. */
export function spaceOf (salt: string): CacheSpace | undefined {
  const [workspace, model, version, ...rest] = salt.split('/')
  const weightVersion = Number(version)
  if (workspace === undefined || model === undefined || rest.length > 0 || !Number.isInteger(weightVersion)) return undefined
  return { workspace: decodeURIComponent(workspace), model: decodeURIComponent(model), weightVersion }
}
