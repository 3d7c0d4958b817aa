/** Names of the spaces in which prompt parts are cached: parts of two spaces are never found for each other. */

/** What a space is for. */
export interface CacheSpace {
  /** The isolated workspace, or empty for those that share. */
  wall: string
  model: string
  weightVersion: number
}

/** The space's name. */
export function saltOf ({ wall, model, weightVersion }: CacheSpace): string {
  return [wall, model, String(weightVersion)].map(encodeURIComponent).join('/')
}

/** The space of a name; undefined for a name that is not ours. */
export function spaceOf (salt: string): CacheSpace | undefined {
  const [wall, model, version, ...rest] = salt.split('/')
  const weightVersion = Number(version)
  if (wall === undefined || model === undefined || rest.length > 0 || !Number.isInteger(weightVersion)) return undefined
  return { wall: decodeURIComponent(wall), model: decodeURIComponent(model), weightVersion }
}
