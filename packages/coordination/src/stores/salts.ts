/** Salts: names of the spaces in which prompt parts are cached. A request never finds a part of another space. */

/** What separates one cache space from another. */
export interface CacheSpace {
  /** Name of the workspaces that share the space, from `SharingGroups`; it has no slash. */
  group: string
  model: string
  weightVersion: number
}

/** The salt of a space. */
export function saltOf ({ group, model, weightVersion }: CacheSpace): string {
  return [group, encodeURIComponent(model), String(weightVersion)].join('/')
}

/** The space of a salt; undefined for a string that is not a salt of this system. */
export function spaceOf (salt: string): CacheSpace | undefined {
  const [group, model, version, ...rest] = salt.split('/')
  const weightVersion = Number(version)
  if (group === undefined || model === undefined || rest.length > 0 || !Number.isInteger(weightVersion)) return undefined
  try {
    return { group, model: decodeURIComponent(model), weightVersion }
  } catch {
    return undefined
  }
}
