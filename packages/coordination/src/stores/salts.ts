/** Salts: names of the spaces in which prompt parts are cached. A request never finds a part of another space. */

/** What separates one cache space from another. */
export interface CacheSpace {
  /** Name of the isolated workspace; empty for all workspaces that share their cached parts. */
  wall: string
  model: string
  weightVersion: number
}

/** The salt of a space. */
export function saltOf ({ wall, model, weightVersion }: CacheSpace): string {
  return [wall, model, String(weightVersion)].map(encodeURIComponent).join('/')
}

/** The space of a salt; undefined for a string that is not a salt of this system. */
export function spaceOf (salt: string): CacheSpace | undefined {
  const [wall, model, version, ...rest] = salt.split('/')
  const weightVersion = Number(version)
  if (wall === undefined || model === undefined || rest.length > 0 || !Number.isInteger(weightVersion)) return undefined
  return { wall: decodeURIComponent(wall), model: decodeURIComponent(model), weightVersion }
}
